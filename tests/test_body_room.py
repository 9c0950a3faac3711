"""Test which responses give way to a request body when the memory is short."""

from contextlib import suppress
from functools import partial

import anyio

from cicadadoor.decisions.memory_account import Owner
from cicadadoor.entry.exchange import Response
from tests.utils.caller_server import Client, Scene, run_served

# Responses of 12 MB in all beside 20 MB that cannot be reclaimed; large holders may use
# 45 MB.
READER_COUNT = 4
RESPONSE_BYTES = 3_000_000
RUNNING_BYTES = 20_000_000
# Fits only without the responses.
BODY_BYTES = 22_000_000
# Does not fit without them either.
TOO_LARGE_BYTES = 26_000_000
_PIECE = bytes(1_000_000)


async def with_readers(work, scene: Scene) -> None:
    """Run a coroutine function beside clients with responses."""
    running = scene.account.open('request_body', Owner('127.0.0.1'))
    assert running.grow(RUNNING_BYTES)
    readers = [await scene.connect(receive_bytes=16_384) for _ in range(READER_COUNT)]
    for reader in readers:
        await reader.request('/book')
    for exchange in list(await scene.handled(READER_COUNT)):
        exchange.respond(Response(200, [], bytes(RESPONSE_BYTES)))
    await anyio.sleep(0.1)
    await work(scene, readers)
    running.release()


async def skip(client: Client, size_bytes: int) -> None:
    """Read a part of a response."""
    while size_bytes:
        part = await client.receive(size_bytes)
        assert part
        size_bytes -= len(part)


async def send_body(scene: Scene, size_bytes: int) -> int:
    """Send a body at full speed, and return the status of the response."""
    client = await scene.connect()
    await client.request('/now', f'Content-Length: {size_bytes}', method='POST')
    with suppress(ConnectionError):
        for _ in range(size_bytes // len(_PIECE)):
            await client.send(_PIECE)
    return await client.status()


class TestResponses:
    """Guard against responses that are cut although their clients read them."""

    def test_no_response_is_cut_for_a_body_that_is_refused_all_the_same(self):
        async def work(scene, readers):
            # None of the clients has read anything for some time.
            await scene.pass_time(0.5)
            await scene.pass_time(6)
            assert await send_body(scene, TOO_LARGE_BYTES) == 503
            for reader in readers:
                assert len((await reader.response())[2]) == RESPONSE_BYTES

        run_served(partial(with_readers, work))

    def test_responses_that_are_not_read_give_way_to_a_body(self):
        async def work(scene, readers):
            for reader in readers:
                await skip(reader, 500_000)
            await scene.pass_time(0.5)
            # Shorter than the limit for a client that takes nothing.
            await scene.pass_time(8)
            assert len(scene.table) == READER_COUNT
            assert await send_body(scene, BODY_BYTES) == 200
            assert [await reader.is_reset() for reader in readers].count(True)

        run_served(partial(with_readers, work))
