"""Provide a timer whose time a test advances."""

import heapq
import itertools

import anyio

from cicadadoor.timer import Callback, TimerService


class ManualTimer(TimerService):
    """Run callbacks when the test advances the time, in the order they fall due."""

    def __init__(self, now_s: float = 1000.0) -> None:
        self._now_s = now_s
        self._order = itertools.count()
        self._due: list[tuple[float, int, float, Callback]] = []

    def now_s(self) -> float:
        """Return the simulated time."""
        return self._now_s

    def wall_s(self) -> float:
        """Return the same time as `now_s`; tests only compare differences."""
        return self._now_s

    def subscribe(self, name: str, period_s: float, callback: Callback) -> None:
        """Call back at each period."""
        self._add(self._now_s + period_s, period_s, callback)

    def after(self, name: str, delay_s: float, callback: Callback) -> None:
        """Call back once after the delay."""
        self._add(self._now_s + delay_s, 0, callback)

    async def sleep(self, delay_s: float) -> None:
        """Wait until the test has advanced the time by the delay."""
        woken = anyio.Event()

        async def wake() -> None:
            woken.set()

        self.after('sleep', delay_s, wake)
        await woken.wait()

    async def advance(self, delay_s: float) -> None:
        """Advance the time and run callbacks as they fall due."""
        end_s = self._now_s + delay_s
        while self._due and self._due[0][0] <= end_s:
            due_s, _, period_s, callback = heapq.heappop(self._due)
            self._now_s = max(self._now_s, due_s)
            await callback()
            if period_s:
                self._add(due_s + period_s, period_s, callback)
        self._now_s = end_s

    def jump(self, delay_s: float) -> None:
        """Advance the time without running callbacks, as for a paused process."""
        self._now_s += delay_s

    def _add(self, due_s: float, period_s: float, callback: Callback) -> None:
        heapq.heappush(self._due, (due_s, next(self._order), period_s, callback))
