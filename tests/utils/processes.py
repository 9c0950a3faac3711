"""Start, signal and end the processes of a test."""

import fcntl
import random
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import IO

_END_LIMIT_S = 60
# Below the range from which the system gives ports to outgoing connections.
_PORTS = (15_000, 32_000)
_LOCK_FILE = 'cicadadoor-test-ports.lock'


class TestProcess:
    """Run one child process and keep what it logs in a file."""

    __test__ = False

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        self.name = name
        self.log_file = folder / f'{name}.log'
        self._arguments = arguments
        self._child: subprocess.Popen[bytes] | None = None
        self.start()

    def start(self) -> None:
        """Start the process, also again after its end."""
        with self.log_file.open('ab') as log:
            self._child = subprocess.Popen(
                self._arguments,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._child.pid

    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._child.poll() is None

    def send(self, signal_number: int) -> None:
        """Send a signal to this process only."""
        self._child.send_signal(signal_number)

    def pause(self) -> None:
        """Stop the process in place."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.send(signal.SIGCONT)

    def kill(self) -> None:
        """End the process at once."""
        self._child.kill()
        self._child.wait(_END_LIMIT_S)

    def terminate(self) -> int:
        """Ask the process to end and return its exit code."""
        self._child.terminate()
        return self._child.wait(_END_LIMIT_S)

    def wait(self) -> int:
        """Return the exit code once the process has ended."""
        return self._child.wait(_END_LIMIT_S)

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self.log_file.read_text()


def python_module(module: str, *arguments: str) -> list[str]:
    """Return the command line of a module run by this interpreter."""
    return [sys.executable, '-m', module, *arguments]


def program(name: str, *arguments: str) -> list[str]:
    """Return the command line of an installed program of this environment."""
    return [str(Path(sys.executable).parent / name), *arguments]


class NoFreePortError(Exception):
    """Raise when every port of the range is taken."""


class Ports:
    """Hand out free loopback ports, none of them twice.

    Other runs of the tests on this machine are given other ports: each port is a byte
    of a shared file, locked until this process ends.
    """

    # Tests fix the seed of the shared generator; runs would draw the same ports.
    _random = random.SystemRandom()
    _given: set[int] = set()
    _locks: IO[bytes] | None = None

    @classmethod
    def free(cls) -> int:
        """Return a port that is free now; raise NoFreePortError if none is."""
        first, end = _PORTS
        start = cls._random.randrange(first, end)
        for port in (*range(start, end), *range(first, start)):
            if port not in cls._given and cls._is_free(port):
                cls._given.add(port)
                return port
        raise NoFreePortError(f'no port from {first} to {end - 1} is free')

    @classmethod
    def address(cls) -> str:
        """Return a free loopback address."""
        return f'127.0.0.1:{cls.free()}'

    @classmethod
    def _is_free(cls, port: int) -> bool:
        if cls._locks is None:
            cls._locks = (Path(tempfile.gettempdir()) / _LOCK_FILE).open('ab')
        try:
            fcntl.lockf(cls._locks, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except OSError:
            return False
        with socket.socket() as probe:
            try:
                probe.bind(('', port))
            except OSError:
                return False
        return True
