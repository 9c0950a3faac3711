"""Run the process of a host, and tell which of its ends the soak has caused."""

import signal
import time
from pathlib import Path

from cicadadoor.errors import ExitStatus
from tests.utils.processes import TestProcess

# Exit codes of a process that was told to stop; it is ended by the signal itself if it
# has only just started.
_STOPPED_CODES = frozenset(
    (
        int(ExitStatus.SUCCESS),
        int(ExitStatus.STOPPED_WITH_WORK_LEFT),
        -signal.SIGTERM,
    )
)
# A second SIGTERM ends the drain of the first, which lasts up to this long.
_DRAIN_S = 5.0


class SentSignal:
    """Record a signal that the soak has sent."""

    __slots__ = ('at_s', 'number', 'pid')

    def __init__(self, pid: int, number: int) -> None:
        self.at_s = time.monotonic()
        self.pid = pid
        self.number = number


class SoakProcess(TestProcess):
    """Record the signals sent to a process, and the ends that none of them caused."""

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        self.signals: list[SentSignal] = []
        self.violations: list[str] = []
        self._ended_pid = 0
        super().__init__(name, arguments, folder)

    def start(self) -> None:
        """Start the process, and check how the previous one has ended."""
        if self._child is not None:
            self.check_end()
        super().start()

    def send(self, signal_number: int) -> None:
        """Record and send a signal."""
        if self.is_running():
            self.signals.append(SentSignal(self.pid, signal_number))
        super().send(signal_number)

    def kill(self) -> None:
        """Record and send SIGKILL, and wait for the end."""
        if self.is_running():
            self.signals.append(SentSignal(self.pid, signal.SIGKILL))
        super().kill()

    def check_end(self) -> None:
        """Add a violation if the process has ended and was not told to."""
        if self.is_running() or self.pid == self._ended_pid:
            return
        self._ended_pid = self.pid
        sent = {each.number for each in self.signals if each.pid == self.pid}
        code = self.wait()
        if signal.SIGKILL in sent or (
            signal.SIGTERM in sent and code in _STOPPED_CODES
        ):
            return
        self.violations.append(
            f'{self.name}: process {self.pid} ended by itself with {code}'
        )

    def is_disturbed(self, from_s: float, to_s: float) -> bool:
        """Tell whether a signal of this time may cost a request its answer.

        SIGTERM alone may not, and SIGHUP may not either.
        """
        paused_s: float | None = None
        terminated: set[int] = set()
        for each in self.signals:
            if each.at_s > to_s:
                break
            if each.number == signal.SIGSTOP:
                paused_s = each.at_s
            elif each.number in {signal.SIGCONT, signal.SIGKILL}:
                if each.at_s >= from_s and (
                    paused_s is not None or each.number == signal.SIGKILL
                ):
                    return True
                paused_s = None
            elif each.number == signal.SIGTERM:
                if each.pid in terminated and each.at_s >= from_s - _DRAIN_S:
                    return True
                terminated.add(each.pid)
        return paused_s is not None
