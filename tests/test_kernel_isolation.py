"""Test that a failure in one service does not interrupt the work of others."""

import asyncio
from functools import partial

import anyio
import pytest

from cicadadoor.kernel import Kernel, OnFault, Service
from tests.test_kernel import _Busy, _run


class _Cancelled(Service):
    """Raise CancelledError in a background task that no scope cancelled."""

    name = 'cancelled'

    def __init__(self, on_fault: OnFault, *, at_close: bool = False) -> None:
        self._on_fault = on_fault
        self._is_stopping = anyio.Event()
        self._at_close = at_close

    async def start(self, kernel: Kernel) -> None:
        """Start the task."""
        kernel.spawn(self._wait, on_fault=self._on_fault)

    async def stop(self, grace_s: float) -> None:
        """Let the task raise while services stop."""
        self._is_stopping.set()
        await anyio.sleep(0.05)

    async def _wait(self) -> None:
        if self._at_close:
            await self._is_stopping.wait()
        future = asyncio.get_running_loop().create_future()
        future.cancel()
        await future


class TestCancellation:
    """Guard work in flight against a cancellation in another task."""

    @pytest.mark.parametrize('on_fault', [OnFault.RESTART, OnFault.CONTINUE])
    def test_cancellation_in_one_task_does_not_interrupt_others(self, on_fault):
        """Libraries such as pynng raise their own CancelledError."""
        busy = _Busy()
        left = anyio.run(partial(_run, _Cancelled(on_fault), busy, grace_s=5))
        assert not busy.left
        assert left == ''  # noqa: PLC1901

    def test_cancellation_while_services_close_does_not_fail_the_stop(self):
        """Closing services may cancel tasks; the planned stop must still succeed."""
        cancelled = _Cancelled(OnFault.STOP, at_close=True)
        assert not anyio.run(partial(_run, cancelled, grace_s=0))


class _EndlessLeave(Service):
    """Never finish `leave`, as with a socket whose buffer stays full."""

    name = 'endless'

    async def leave(self) -> None:
        """Wait forever."""
        await anyio.sleep_forever()


class TestLeaving:
    """Guard a stop against a service that blocks it."""

    def test_endless_leave_does_not_block_the_stop(self):
        """The platform would otherwise kill the process with requests in flight."""

        async def main() -> None:
            with anyio.fail_after(8):
                await _run(_EndlessLeave(), grace_s=0.1)

        anyio.run(main)


class _StopRecorder(Service):
    """Record the phases of a stop; `leave` takes 1 s."""

    name = 'steps'

    def __init__(self) -> None:
        self.steps: list[str] = []

    async def leave(self) -> None:
        """Wait for 1 s."""
        await anyio.sleep(1)

    def refuse(self) -> None:
        """Record the call."""
        self.steps.append('refuse')

    async def stop(self, grace_s: float) -> None:
        """Record the call."""
        self.steps.append('stop')


class TestSecondSignal:
    """Guard against new work that arrives after a second signal."""

    def test_second_signal_while_services_leave_refuses_new_work(self):
        """The signal interrupts `leave`; services must still refuse new work."""
        recorder = _StopRecorder()
        kernel = Kernel()
        kernel.register(recorder)
        anyio.run(kernel.run, partial(anyio.sleep, 0.05), 0)
        assert recorder.steps == ['refuse', 'stop']
