"""Test which responses give way to a request body when the memory is short."""

from contextlib import suppress
from functools import partial

import anyio

from cicadadoor.decisions.memory_account import MemoryAccount, Owner
from cicadadoor.decisions.progress_limits import ReadingProgress
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

    def test_no_response_that_is_read_in_time_is_cut_for_a_body(self):
        """The body arrives in tenths of a second, in which a reader takes little."""

        async def work(scene, readers):
            for _ in range(12):
                for reader in readers:
                    await skip(reader, 16_384)
                await scene.pass_time(1)
            assert await send_body(scene, BODY_BYTES) == 503
            for reader in readers:
                await skip(reader, RESPONSE_BYTES // 2)

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


class TestAccount:
    """Guard against room that the first bytes of a body take from responses."""

    def test_first_bytes_of_a_large_body_end_no_response_that_is_read(self):
        """The last tenth of the account is for small holders, and is full here."""
        account = MemoryAccount(100_000_000)
        owner = Owner('1.1.1.1')
        assert account.open('request_body', owner).grow(50_000_000)
        responses = [account.open('response', owner) for _ in range(500)]
        for response in responses:
            response.on_evict = response.close
            response.is_moving = partial(bool, 1)
            assert response.grow(100_000)
        assert not account.open('request_body', owner).grow(16_384, 40_000_000)
        assert account.evictions == 0

    def test_small_request_is_served_beside_responses_that_are_read(self):
        account = MemoryAccount(100_000_000)
        owner = Owner('1.1.1.1')
        responses = [account.open('response', owner) for _ in range(1000)]
        for response in responses:
            response.on_evict = response.close
            response.is_moving = partial(bool, 1)
            assert response.grow(100_000)
        assert account.open('connection', owner).grow(16_384)
        assert account.evictions == 1


class TestReadingProgress:
    """Guard against clients that are taken for readers, or for stalled, wrongly."""

    def test_client_that_stops_after_much_is_not_in_time(self):
        progress = ReadingProgress()
        progress.note(0, 100)
        progress.note(50_000_000, 101)
        assert progress.is_in_time
        for second in range(102, 107):
            progress.note(50_000_000, second)
        assert not progress.is_in_time

    def test_client_that_trickles_is_not_in_time(self):
        progress = ReadingProgress()
        for second in range(6):
            progress.note(second * 4000, second)
        assert not progress.is_in_time

    def test_client_at_the_stated_rate_in_large_steps_is_in_time(self):
        """Kernels acknowledge up to 64 KB at once."""
        progress = ReadingProgress()
        for second in range(60):
            progress.note(second // 4 * 65_536, second)
            assert progress.is_in_time

    def test_time_without_a_response_does_not_count(self):
        progress = ReadingProgress()
        progress.note(0, 100)
        progress.note(1000, 200)
        assert progress.is_in_time
