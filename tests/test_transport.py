"""Check how operations of the messaging library end."""

import asyncio

import anyio
import pynng
import pytest

from cicadadoor.links.transport import complete
from tests.utils.processes import Ports


async def _cancelled_by_library() -> None:
    raise asyncio.CancelledError


class TestComplete:
    """Guard against a lost connection that ends the whole daemon."""

    def test_cancellation_by_the_library_is_an_error_of_the_link(self):
        """A CancelledError of a task without a cancelled scope ended the agent."""

        async def work() -> None:
            async with anyio.create_task_group():
                with pytest.raises(pynng.Canceled):
                    await complete(_cancelled_by_library())
                await anyio.sleep(0)

        anyio.run(work)

    def test_deadline_ends_the_wait_and_nothing_else(self):
        """A peer that is connected and silent ended the agent of each other host."""

        async def work() -> None:
            with pynng.Pair0(listen=f'tcp://{Ports.address()}') as silent:
                with anyio.move_on_after(0.01) as scope:
                    await complete(silent.arecv())
            assert scope.cancelled_caught

        anyio.run(work)
