"""Test signals that reach the entry host daemon before it has started."""

import os
import signal
import subprocess
import sys

import pytest

from cicadadoor.errors import ExitStatus

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
