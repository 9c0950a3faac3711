"""Test how the kernel runs and stops services."""

import asyncio
import selectors
from functools import partial

import anyio
import pytest

from cicadadoor.kernel import Kernel, OnFault, Service


class _Resource(Service):
    """Hold a resource that a background task uses, as a prober does."""

    name = 'resource'

    def __init__(self, fails_at_once: bool) -> None:
        self._is_closed = anyio.Event()
        self._fails_at_once = fails_at_once

    async def start(self, kernel: Kernel) -> None:
        """Start the task that uses the resource."""
        kernel.spawn(self._use)

    async def stop(self, grace_s: float) -> None:
        """Close the resource, and let the task notice."""
        self._is_closed.set()
        await anyio.sleep(0.01)

    async def _use(self) -> None:
        if not self._fails_at_once:
            await self._is_closed.wait()
        raise RuntimeError('the resource is closed')


class _FailingLeave(Service):
    """Fail when asked to leave."""

    name = 'failing'

    async def leave(self) -> None:
        """Fail."""
        raise RuntimeError('cannot leave')


class _FailingTask(Service):
    """Raise once in a background task, at the start or when the process stops."""

    name = 'failing_task'

    def __init__(self, *, fails_at_leave: bool) -> None:
        self._fails_at_leave = fails_at_leave
        self._is_leaving = anyio.Event()

    async def start(self, kernel: Kernel) -> None:
        """Start the task."""
        kernel.spawn(self._fail)

    async def leave(self) -> None:
        """Let the task raise while the service is still leaving."""
        self._is_leaving.set()
        await anyio.sleep(0.05)

    async def _fail(self) -> None:
        if self._fails_at_leave:
            await self._is_leaving.wait()
        raise RuntimeError('the task failed')


class _FailingTwice(Service):
    """Raise twice in a background task that is restarted."""

    name = 'failing_twice'

    def __init__(self) -> None:
        self.start_count = 0

    async def start(self, kernel: Kernel) -> None:
        """Start the task."""
        kernel.spawn(self._work, on_fault=OnFault.RESTART)

    async def _work(self) -> None:
        self.start_count += 1
        if self.start_count < 3:
            raise RuntimeError('the task failed')


class _Busy(Service):
    """Have work in flight that ends after 0.2 s."""

    name = 'busy'

    def __init__(self) -> None:
        self.left = 1

    async def start(self, kernel: Kernel) -> None:
        """Start the work."""
        kernel.spawn(self._work)

    def work_left(self) -> int:
        """Return the number of work items in flight."""
        return self.left

    async def _work(self) -> None:
        await anyio.sleep(0.2)
        self.left = 0


class _SimulatedSelector(selectors.DefaultSelector):
    """Move the time on instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready now."""
        self.now_s += timeout or 0
        return super().select(0)


class _SimulatedLoop(asyncio.SelectorEventLoop):
    """Run at a simulated time, so that phases are late by what a test states."""

    def __init__(self) -> None:
        self.clock = _SimulatedSelector()
        super().__init__(self.clock)

    def time(self) -> float:
        """Return the simulated time."""
        return self.clock.now_s


class _LatePhases(Service):
    """Run late in phases of a stop, and record the time that is left for others."""

    name = 'late_phases'

    def __init__(self, *, leave_late_s: float, drain_late_s: float) -> None:
        self._leave_late_s = leave_late_s
        self._drain_late_s = drain_late_s
        self._kernel: Kernel
        self.grace_left_s = 0.0
        self.stop_left_s = 0.0
        self.stopped_s = 0.0

    async def start(self, kernel: Kernel) -> None:
        """Keep the kernel."""
        self._kernel = kernel

    async def leave(self) -> None:
        """Return late."""
        self._pause(self._leave_late_s)

    def refuse(self) -> None:
        """Record how long work may take."""
        self.grace_left_s = self._kernel.grace_left_s

    def work_left(self) -> int:
        """Report work that does not end, late at the first time."""
        self._pause(self._drain_late_s)
        self._drain_late_s = 0
        return 1

    async def stop(self, grace_s: float) -> None:
        """Record the time."""
        self.stop_left_s = grace_s
        self.stopped_s = anyio.current_time()

    def _pause(self, late_s: float) -> None:
        asyncio.get_running_loop().clock.now_s += late_s


async def _run(*services: Service, grace_s: float = 0) -> str:
    kernel = Kernel()
    for service in services:
        kernel.register(service)

    was_stopped: list[int] = []

    async def wait_for_signal() -> None:
        if was_stopped:
            await anyio.sleep_forever()
        was_stopped.append(1)
        await anyio.sleep(0.01)

    return await kernel.run(wait_for_signal, grace_s)


class TestStop:
    """Guard against a planned stop that ends with an error."""

    def test_task_that_uses_a_closed_resource_does_not_fail_the_stop(self):
        """Services close resources that background tasks may still use."""
        assert not anyio.run(_run, _Resource(fails_at_once=False))

    def test_task_that_fails_before_the_stop_ends_the_process(self):
        """A process whose task has ended with an error must not appear healthy."""
        with pytest.raises(BaseExceptionGroup):
            anyio.run(_run, _Resource(fails_at_once=True))

    def test_failed_leave_does_not_interrupt_work_of_others(self):
        """Requests in flight must complete even if another service fails to leave."""
        busy = _Busy()
        assert not anyio.run(partial(_run, _FailingLeave(), busy, grace_s=5))
        assert not busy.left


class TestStopDuration:
    """Guard against SIGKILL while requests are in flight, after a late phase."""

    @pytest.mark.parametrize(
        ('leave_late_s', 'drain_late_s', 'grace_left_s', 'stop_left_s'),
        (
            (0, 0, 2.4, 0.5),
            (1, 0, 1.7, 0.2),
            (0, 1.5, 2.4, 0.4),
            (0, 1.85, 2.4, 0.05),
            (1, 0.85, 1.7, 0.05),
        ),
    )
    def test_late_phase_shortens_the_next_ones(
        self, leave_late_s, drain_late_s, grace_left_s, stop_left_s
    ):
        """Each phase had its own limit; a busy host took 6.28 s of 6 s."""
        late = _LatePhases(leave_late_s=leave_late_s, drain_late_s=drain_late_s)

        async def main() -> None:
            kernel = Kernel()
            kernel.register(late)
            signals = iter((anyio.sleep(0), anyio.sleep_forever()))
            await kernel.run(lambda: next(signals), 2.4, 3)

        anyio.run(main, backend_options={'loop_factory': _SimulatedLoop})
        assert late.grace_left_s == pytest.approx(grace_left_s)
        assert late.stop_left_s == pytest.approx(stop_left_s)
        assert late.stopped_s < 3


class TestFailedTask:
    """Guard the work in flight against an exception in another task."""

    @pytest.mark.parametrize('fails_at_leave', [False, True])
    def test_failed_task_does_not_interrupt_work_of_others(self, fails_at_leave):
        """The process still ends with the error, but only after the work."""
        busy = _Busy()
        failing = _FailingTask(fails_at_leave=fails_at_leave)
        with pytest.raises(BaseExceptionGroup):
            anyio.run(partial(_run, failing, busy, grace_s=5))
        assert not busy.left

    def test_signal_after_a_fault_does_not_end_the_wait_for_work(self):
        """The platform may signal a host that is already stopping after an error."""
        busy = _Busy()
        failing = _FailingTask(fails_at_leave=False)

        async def main() -> None:
            send, receive = anyio.create_memory_object_stream[None](1)
            kernel = Kernel()
            for service in (failing, busy):
                kernel.register(service)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(kernel.run, receive.receive, 5)
                await anyio.sleep(0.05)
                await send.send(None)

        with pytest.raises(BaseExceptionGroup):
            anyio.run(main)
        assert not busy.left

    def test_failed_task_is_restarted(self):
        """A repeated exception must not stop the task permanently."""
        restarting = _FailingTwice()
        assert not anyio.run(partial(_run, restarting, grace_s=5))
        assert restarting.start_count == 3
