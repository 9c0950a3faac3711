"""Test signals that reach the entry host daemon while it starts and stops."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import anyio
import pytest

from cicadadoor.errors import ExitStatus
from tests.utils.watched_host import watched_host

# Stops the process at the first import of the daemon's modules until a line arrives.
_PAUSE_AT_IMPORT = """
import sys


class Pause:
    def find_spec(self, name, path=None, target=None):
        if name == 'cicadadoor.entry.daemon':
            print('importing', flush=True)
            sys.stdin.readline()


sys.meta_path.insert(0, Pause())
"""
_STARTS = (
    ('-m', 'cicadadoor.entry'),
    ('-c', 'from cicadadoor.entry.__main__ import main; main()'),
)
_TIMEOUT_S = 60


class TestSignalDuringImport:
    """Guard against a SIGHUP that ends a process which is still being started."""

    @pytest.mark.parametrize('start', _STARTS, ids=('module', 'script'))
    def test_sighup_does_not_end_the_process(self, start, tmp_path):
        """The platform sends one whenever it has written the settings."""
        (tmp_path / 'sitecustomize.py').write_text(_PAUSE_AT_IMPORT)
        process = subprocess.Popen(
            [sys.executable, *start, str(tmp_path / 'missing.json')],
            env={**os.environ, 'PYTHONPATH': str(tmp_path)},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        assert process.stdout.readline() == b'importing\n'
        process.send_signal(signal.SIGHUP)
        _, errors = process.communicate(b'\n', timeout=_TIMEOUT_S)
        assert process.returncode == ExitStatus.USAGE, errors


# The end of the interpreter waits for this.
_SLOW_END = """
import atexit
import time

atexit.register(time.sleep, 600)
"""


def stop_host(folder: Path, repeated: signal.Signals | None = None) -> None:
    """Stop a host, send a signal repeatedly until it has ended, and check its end."""

    async def main() -> None:
        async with watched_host(folder, memory_mb=300, max_descriptors=400) as scene:
            process = scene.host.process
            process.send(signal.SIGTERM)
            with anyio.fail_after(_TIMEOUT_S):
                while process.is_running():
                    if repeated is not None:
                        process.send(repeated)
                    await anyio.sleep(0.001)
            assert process.wait() == ExitStatus.SUCCESS, process.log_text()[-500:]

    anyio.run(main)


class TestEndOfProcess:
    """Guard against SIGKILL after the services have stopped."""

    def test_process_ends_without_the_end_of_the_interpreter(
        self, tmp_path, monkeypatch
    ):
        """On a busy machine, it took up to 0.9 s more than the stop may take."""
        (tmp_path / 'sitecustomize.py').write_text(_SLOW_END)
        monkeypatch.setenv(
            'PYTHONPATH',
            os.pathsep.join((str(tmp_path), os.environ.get('PYTHONPATH', ''))),
        )

        stop_host(tmp_path)


class TestSignalDuringStop:
    """Guard against a SIGHUP that ends a process which is being stopped."""

    def test_sighup_until_the_end_does_not_change_the_exit_code(self, tmp_path):
        """Soak seed 3025: the process was ended after its last service had stopped."""

        stop_host(tmp_path, signal.SIGHUP)
