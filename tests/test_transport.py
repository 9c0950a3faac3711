"""Check how operations of the messaging library end."""

import asyncio

import anyio
import pynng
import pytest

from cicadadoor.links.transport import complete


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

    def test_cancellation_of_the_task_passes_through(self):
        """A deadline has to end the wait for an answer."""

        async def work() -> None:
            with anyio.move_on_after(0) as scope:
                await complete(anyio.sleep_forever())
            assert scope.cancelled_caught

        anyio.run(work)
