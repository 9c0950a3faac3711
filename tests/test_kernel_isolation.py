"""Guard work in flight against what other parts of the process meet."""

import asyncio
from functools import partial

import anyio
import pytest

from cicadadoor.kernel import Kernel, OnFault, Service
from tests.test_kernel import _Busy, _run


class _Cancelled(Service):
    """Meet, in the background, a cancellation that no scope asked for."""

    name = 'cancelled'

    def __init__(self, on_fault: OnFault, *, at_close: bool = False) -> None:
        self._on_fault = on_fault
        self._may_begin = anyio.Event()
        self._at_close = at_close

    async def start(self, kernel: Kernel) -> None:
        """Begin the task."""
        kernel.spawn(self._wait, on_fault=self._on_fault)

    async def stop(self, grace_s: float) -> None:
        """Let the task meet the cancellation now at the latest."""
        self._may_begin.set()
        await anyio.sleep(0.05)

    async def _wait(self) -> None:
        if self._at_close:
            await self._may_begin.wait()
        future = asyncio.get_running_loop().create_future()
        future.cancel()
        await future


class TestCancellation:
    """Guard work in flight against a cancellation in another task."""

    @pytest.mark.parametrize('on_fault', [OnFault.RESTART, OnFault.CONTINUE])
    def test_cancellation_in_one_task_does_not_interrupt_others(self, on_fault):
        """Libraries raise CancelledError of their own, pynng among them."""
        busy = _Busy()
        left = anyio.run(partial(_run, _Cancelled(on_fault), busy, grace_s=5))
        assert not busy.left
        assert left == ''  # noqa: PLC1901

    def test_cancellation_while_services_close_does_not_fail_the_stop(self):
        """A planned stop must not end in a fault for what its own end causes."""
        cancelled = _Cancelled(OnFault.STOP, at_close=True)
        assert not anyio.run(partial(_run, cancelled, grace_s=0))


class _EndlessLeave(Service):
    """Never be done with leaving, as with a socket that stays full."""

    name = 'endless'

    async def leave(self) -> None:
        """Wait for ever."""
        await anyio.sleep_forever()


class TestLeaving:
    """Guard the end of a stop against one service."""

    def test_service_that_leaves_without_end_does_not_keep_the_process(self):
        """The process would be killed with its requests in flight."""

        async def main() -> None:
            with anyio.fail_after(8):
                await _run(_EndlessLeave(), grace_s=0.1)

        anyio.run(main)


class _StopRecorder(Service):
    """Note the steps of a stop, and take some time over leaving."""

    name = 'steps'

    def __init__(self) -> None:
        self.steps: list[str] = []

    async def leave(self) -> None:
        """Take some time."""
        await anyio.sleep(1)

    def refuse(self) -> None:
        """Note it."""
        self.steps.append('refuse')

    async def stop(self, grace_s: float) -> None:
        """Note it."""
        self.steps.append('stop')


class TestSecondSignal:
    """Guard callers against an end that comes while services leave."""

    def test_second_signal_while_services_leave_refuses_new_work(self):
        """What arrives from then on must not be begun."""
        recorder = _StopRecorder()
        kernel = Kernel()
        kernel.register(recorder)
        anyio.run(kernel.run, partial(anyio.sleep, 0.05), 0)
        assert recorder.steps == ['refuse', 'stop']
