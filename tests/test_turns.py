"""Test how many requests continue in one pass of the event loop."""

import anyio
from anyio import lowlevel

from cicadadoor.entry.turns import TurnQueue

TURNS_PER_PASS = 4


class TestTurnQueue:
    """Check that a long queue does not keep the event loop from reading sockets."""

    def test_few_requests_continue_in_one_pass_in_the_order_of_arrival(self):
        async def work():
            queue = TurnQueue(TURNS_PER_PASS)
            continued: list[int] = []

            async def wait(number: int) -> None:
                await queue.wait()
                continued.append(number)

            async with anyio.create_task_group() as tasks:
                for number in range(20):
                    tasks.start_soon(wait, number)
                counts = [0]
                while counts[-1] < 20:
                    await lowlevel.checkpoint()
                    counts.append(len(continued))
            steps = [after - before for before, after in zip(counts, counts[1:])]
            assert max(steps) == TURNS_PER_PASS
            assert continued == list(range(20))

        anyio.run(work)

    def test_cancelled_request_takes_no_turn(self):
        async def work():
            queue = TurnQueue(TURNS_PER_PASS)
            continued: list[int] = []

            async def wait(number: int, scope: anyio.CancelScope) -> None:
                with scope:
                    await queue.wait()
                    continued.append(number)

            scopes = [anyio.CancelScope() for _ in range(12)]
            async with anyio.create_task_group() as tasks:
                for number, scope in enumerate(scopes):
                    tasks.start_soon(wait, number, scope)
                await lowlevel.checkpoint()
                for scope in scopes[:10]:
                    scope.cancel()
            assert continued == [10, 11]

        anyio.run(work)

    def test_request_that_is_cancelled_in_its_turn_does_not_continue(self):
        async def work():
            queue = TurnQueue(1)
            continued: list[str] = []
            scope = anyio.CancelScope()

            async def wait() -> None:
                with scope:
                    await queue.wait()
                    continued.append('cancelled')

            async def cancel() -> None:
                await queue.wait()
                scope.cancel()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(cancel)
                tasks.start_soon(wait)
            assert not continued

        anyio.run(work)
