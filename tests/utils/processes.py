"""Start, signal and end the processes of a test."""

import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

_END_LIMIT_S = 60
# Below the range from which the system gives ports to outgoing connections.
_PORTS = (15_000, 32_000)


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


class Ports:
    """Hand out free loopback ports, none of them twice."""

    _given: set[int] = set()

    @classmethod
    def free(cls) -> int:
        """Return a port that is free now."""
        while True:
            with socket.socket() as probe:
                port = random.randrange(*_PORTS)
                try:
                    probe.bind(('', port))
                except OSError:
                    continue
            if port not in cls._given:
                cls._given.add(port)
                return port

    @classmethod
    def address(cls) -> str:
        """Return a free loopback address."""
        return f'127.0.0.1:{cls.free()}'
