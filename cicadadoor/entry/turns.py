"""Limit how many requests are sent on in one pass of the event loop."""

import asyncio
from itertools import islice

import anyio
from anyio import lowlevel


class TurnQueue:
    """Let a few waiting requests continue in each pass of the event loop.

    The event loop reads from sockets between two passes. Short passes let it notice the
    disconnect of a caller before the caller's request is sent on.
    """

    def __init__(self, turns_per_pass: int) -> None:
        self._turns_per_pass = turns_per_pass
        # In the order of arrival.
        self._waiting: dict[anyio.Event, None] = {}
        self._is_scheduled = False

    async def wait(self) -> None:
        """Wait for a turn; a cancelled caller takes none."""
        turn = anyio.Event()
        self._waiting[turn] = None
        self._schedule()
        try:
            await turn.wait()
        finally:
            self._waiting.pop(turn, None)
        await lowlevel.checkpoint_if_cancelled()

    def _schedule(self) -> None:
        if self._is_scheduled:
            return
        self._is_scheduled = True
        asyncio.get_running_loop().call_soon(self._start_turns)

    def _start_turns(self) -> None:
        self._is_scheduled = False
        for turn in tuple(islice(self._waiting, self._turns_per_pass)):
            self._waiting.pop(turn)
            turn.set()
        if self._waiting:
            self._schedule()
