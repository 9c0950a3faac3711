"""Start, signal and stop the processes of a test."""

import fcntl
import random
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import IO

_EXIT_TIMEOUT_S = 60
# Below the ephemeral port range that the system uses for outgoing connections.
_PORT_RANGE = (15_000, 32_000)
_LOCK_FILE = 'cicadadoor-test-ports.lock'


class TestProcess:
    """Run one child process with its output appended to a log file."""

    __test__ = False

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        self.name = name
        self.log_file = folder / f'{name}.log'
        self._arguments = arguments
        self._child: subprocess.Popen[bytes] | None = None
        self.start()

    def start(self) -> None:
        """Start the process, or start it again after it has ended."""
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
        """Tell whether the process is running."""
        return self._child.poll() is None

    def send(self, signal_number: int) -> None:
        """Send a signal to this process only."""
        self._child.send_signal(signal_number)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        self.send(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._child.kill()
        self._child.wait(_EXIT_TIMEOUT_S)

    def terminate(self) -> int:
        """Send SIGTERM and return the exit code."""
        self._child.terminate()
        return self._child.wait(_EXIT_TIMEOUT_S)

    def wait(self) -> int:
        """Wait for the process to end and return its exit code."""
        return self._child.wait(_EXIT_TIMEOUT_S)

    def log_text(self) -> str:
        """Return the contents of the log file."""
        return self.log_file.read_text()


def python_module(module: str, *arguments: str) -> list[str]:
    """Return the command line that runs a module with this interpreter."""
    return [sys.executable, '-m', module, *arguments]


def program(name: str, *arguments: str) -> list[str]:
    """Return the command line of an installed program of this environment."""
    return [str(Path(sys.executable).parent / name), *arguments]


class NoFreePortError(Exception):
    """Report that no port of the range is free."""


class Ports:
    """Allocate free loopback ports, each only once.

    Concurrent test runs on this machine get different ports: each port is reserved by
    a lock on one byte of a shared file, held until this process ends.
    """

    # Tests seed the shared generator, so concurrent runs would draw the same ports.
    _random = random.SystemRandom()
    _reserved: set[int] = set()
    _locks: IO[bytes] | None = None

    @classmethod
    def free(cls) -> int:
        """Reserve and return a free port; raise NoFreePortError if there is none."""
        first, end = _PORT_RANGE
        start = cls._random.randrange(first, end)
        for port in (*range(start, end), *range(first, start)):
            if port not in cls._reserved and cls._is_free(port):
                cls._reserved.add(port)
                return port
        raise NoFreePortError(f'no port from {first} to {end - 1} is free')

    @classmethod
    def address(cls) -> str:
        """Return a loopback address with a free port."""
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
