"""Test how the kernel runs and stops services."""

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
