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

    def __init__(self, on_fault: OnFault) -> None:
        self._on_fault = on_fault

    async def start(self, kernel: Kernel) -> None:
        """Begin the task."""
        kernel.spawn(self._wait, on_fault=self._on_fault)

    async def _wait(self) -> None:
        future = asyncio.get_running_loop().create_future()
        future.cancel()
        await future


class TestCancellation:
    """Guard work in flight against a cancellation in another task."""

    @pytest.mark.parametrize('on_fault', [OnFault.RESTART, OnFault.GO_ON])
    def test_cancellation_in_one_task_cuts_no_work_of_others(self, on_fault):
        """Libraries raise CancelledError of their own, pynng among them."""
        busy = _Busy()
        left = anyio.run(partial(_run, _Cancelled(on_fault), busy, grace_s=5))
        assert not busy.left
        assert left == ''  # noqa: PLC1901


