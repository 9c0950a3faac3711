"""Provide clocks and timed callbacks."""

import abc
import time
from collections.abc import Awaitable, Callable

import anyio

from cicadadoor.kernel import Kernel, Service
from cicadadoor.telemetry import logs, metrics

log = logs.logger('timer')

# A request passes the event loop several times before it is sent on, so that its
# caller's disconnect may be noticed several times as late.
_LATE_S = 0.1
_MS_PER_S = 1000

Callback = Callable[[], Awaitable[None]]


class TimerService(Service):
    """Read the clocks, and run callbacks periodically or after a delay."""

    name = 'timer'

    @abc.abstractmethod
    def now_s(self) -> float:
        """Return seconds of the boot-time clock, which also counts time suspended."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the epoch; use for display and long expiries only."""

    @abc.abstractmethod
    def subscribe(self, name: str, period_s: float, callback: Callback) -> None:
        """Run the callback once per period until the process stops."""

    @abc.abstractmethod
    def after(self, name: str, delay_s: float, callback: Callback) -> None:
        """Run the callback once after the delay."""

    @abc.abstractmethod
    async def sleep(self, delay_s: float) -> None:
        """Wait for the delay."""


class BootTimer(TimerService):
    """Read the boot-time clock and run callbacks in the event loop."""

    def __init__(self) -> None:
        self._kernel: Kernel | None = None
        self._pending: list[tuple[str, float, Callback, bool]] = []

    async def start(self, kernel: Kernel) -> None:
        """Schedule callbacks, including those registered before the start."""
        self._kernel = kernel
        for pending in self._pending:
            kernel.spawn(self._run, *pending)
        self._pending.clear()

    def now_s(self) -> float:
        """Return seconds of the boot-time clock, which also counts time suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def subscribe(self, name: str, period_s: float, callback: Callback) -> None:
        """Run the callback once per period until the process stops."""
        self._add(name, period_s, callback, repeats=True)

    def after(self, name: str, delay_s: float, callback: Callback) -> None:
        """Run the callback once after the delay."""
        self._add(name, delay_s, callback, repeats=False)

    async def sleep(self, delay_s: float) -> None:
        """Wait for the delay."""
        await anyio.sleep(delay_s)

    def _add(
        self,
        name: str,
        delay_s: float,
        callback: Callback,
        *,
        repeats: bool,
    ) -> None:
        if self._kernel is None:
            self._pending.append((name, delay_s, callback, repeats))
            return
        self._kernel.spawn(self._run, name, delay_s, callback, repeats)

    async def _run(
        self,
        name: str,
        delay_s: float,
        callback: Callback,
        repeats: bool,
    ) -> None:
        await self._wait(name, delay_s)
        await _call(name, callback)
        while repeats:
            await self._wait(name, delay_s)
            await _call(name, callback)

    async def _wait(self, name: str, delay_s: float) -> None:
        due_s = self.now_s() + delay_s
        await anyio.sleep(delay_s)
        late_s = self.now_s() - due_s
        metrics.EVENT_LOOP_DELAY_SECONDS.observe(late_s)
        if late_s > _LATE_S:
            log.warning(
                'event_loop_late', callback=name, late_ms=int(late_s * _MS_PER_S)
            )


async def _call(name: str, callback: Callback) -> None:
    # An exception in one callback must not end the process or the other callbacks.
    try:
        await callback()
    except Exception:
        log.exception('timer_callback_failed', callback=name)
