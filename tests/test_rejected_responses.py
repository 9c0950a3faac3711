"""Test that responses which are rejected or cut off leave no memory behind."""

import gc
import tracemalloc
import weakref
from collections.abc import Iterator

import anyio
import pytest

from cicadadoor.decisions.memory_account import MemoryAccount
from cicadadoor.entry import connections
from cicadadoor.entry.connections import connect
from cicadadoor.entry.response_reader import (
    ConnectionBrokenError,
    InvalidResponseError,
)
from tests.utils.endless_backend import EndlessBackend
from tests.utils.raw_server import serving
from tests.utils.waiting import until
from tests.utils.watched_host import Scene, watched_host

HEADERS = [(b'Host', b'a')]
UNFRAMED = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
SIZED = b'HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_BODY_BYTES = 4_194_304
_PIECE = bytes(65_536)
_ACCOUNT_BYTES = 64_000_000
# Below the body of one rejected response.
_LEFT_BYTES = 1_000_000
_TEST_TIMEOUT_S = 20
_HOST_TIMEOUT_S = 300


@pytest.fixture
def traced() -> Iterator[None]:
    """Trace allocations, and keep the garbage collector from hiding a retained one."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    yield
    tracemalloc.stop()
    gc.enable()


def respond(head: bytes, end: str):
    """Return a handler that sends a part of a body, and then ends it or stays open."""

    async def handle(request, connection) -> None:
        await connection.write(head)
        for _ in range(_BODY_BYTES // len(_PIECE)):
            if head == CHUNKED:
                await connection.write(b'10000\r\n' + _PIECE + b'\r\n')
            else:
                await connection.write(_PIECE)
        if end == 'garbage':
            await connection.write(b'no chunk size\r\n')
        elif end == 'reset':
            connection.reset()
        elif end == 'close':
            connection.close()
        elif end == 'endless':
            await connection.write(_PIECE)
        await connection.closed()

    return handle


class TestUnusableResponses:
    """Guard against buffers that outlive their release from the memory account."""

    @pytest.mark.parametrize(
        ('head', 'end'),
        (
            (UNFRAMED, 'endless'),
            (CHUNKED, 'endless'),
            (CHUNKED, 'garbage'),
            (SIZED, 'close'),
            (SIZED, 'reset'),
        ),
        ids=(
            'endless_unframed',
            'endless_chunked',
            'garbled_chunk',
            'closed_early',
            'reset_early',
        ),
    )
    def test_unusable_response_is_freed_with_its_reservation(
        self, monkeypatch, traced, head, end
    ):
        if end == 'endless':
            monkeypatch.setattr(connections, 'MAX_RESPONSE_BYTES', _BODY_BYTES)
        assert measure_left_bytes(respond(head, end), reject) < _LEFT_BYTES

    def test_response_of_a_cancelled_request_is_freed_with_its_reservation(
        self, traced
    ):
        async def work(connection) -> None:
            account = connection._reader._account
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(connection.exchange, 'GET', b'/', HEADERS, b'')
                await until(lambda: account.held_bytes >= _BODY_BYTES)
                tasks.cancel_scope.cancel()

        handler = respond(SIZED, 'open')
        assert measure_left_bytes(handler, work) < _LEFT_BYTES

    @pytest.mark.parametrize(
        'start', (b'HTTP/1.1 200 OK\r\nA: ', b'no response\r\n\r\n')
    )
    def test_bytes_in_the_parser_of_a_rejected_head_are_freed(self, traced, start):
        async def endless_line(request, connection) -> None:
            await connection.write(start)
            await connection.write(_PIECE)
            await connection.write(_PIECE)
            await connection.closed()

        async def main() -> None:
            with anyio.fail_after(_TEST_TIMEOUT_S):
                async with serving(endless_line) as server:
                    connection = await connect(server.address, 5)
                    parser = weakref.ref(connection._parser)
                    await reject(connection)
                    del connection
                    await until(lambda: parser() is None)

        anyio.run(main)


async def reject(connection) -> None:
    with pytest.raises((InvalidResponseError, ConnectionBrokenError)):
        await connection.exchange('GET', b'/', HEADERS, b'')


def measure_left_bytes(handler, work) -> int:
    """Return the memory that is allocated beyond the account after the work."""
    left = []

    async def main() -> None:
        account = MemoryAccount(_ACCOUNT_BYTES)
        with anyio.fail_after(_TEST_TIMEOUT_S):
            async with serving(handler) as server:
                connection = await connect(server.address, 5, account)
                before, _ = tracemalloc.get_traced_memory()
                await work(connection)
                assert account.held_bytes == 0
                after, _ = tracemalloc.get_traced_memory()
                left.append(after - before)

    anyio.run(main)
    return left[0]


class TestHostProcess:
    """Guard against a host that ends because of responses which it has rejected."""

    @pytest.mark.parametrize('framing', ('unframed', 'chunked', 'head', 'garbage'))
    def test_endless_responses_in_sequence_do_not_exceed_the_memory(
        self, tmp_path, framing
    ):
        async def call_in_sequence(scene: Scene) -> None:
            for _ in range(8):
                assert await scene.call(f'/fetch/endless/{framing}') == 502

        run_beside_unsafe_requests(tmp_path, 300, call_in_sequence)

    @pytest.mark.parametrize('framing', ('unframed', 'chunked', 'head', 'garbage'))
    @pytest.mark.parametrize('memory_mb', (152, 300))
    def test_endless_responses_at_once_do_not_exceed_the_memory(
        self, tmp_path, memory_mb, framing
    ):
        async def call_at_once(scene: Scene) -> None:
            async with anyio.create_task_group() as tasks:
                for _ in range(16):
                    tasks.start_soon(scene.call, f'/fetch/endless/{framing}')

        run_beside_unsafe_requests(tmp_path, memory_mb, call_at_once)


def run_beside_unsafe_requests(folder, memory_mb: int, work) -> None:
    """Run the work on a host, and check the memory and the unsafe requests on it."""

    async def run(scene: Scene, backend: EndlessBackend) -> None:
        statuses = []

        async def book() -> None:
            statuses.append(await scene.call('/book/1', method='POST'))

        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(book)
            await until(lambda: backend.running == 4)
            await work(scene)
            backend.released.set()
        assert statuses == [200, 200, 200, 200]
        found = await scene.faults()
        assert not found, found

    async def main() -> None:
        backend = EndlessBackend()
        with anyio.fail_after(_HOST_TIMEOUT_S):
            async with watched_host(
                folder, backend, memory_mb=memory_mb, max_descriptors=400
            ) as scene:
                await run(scene, backend)

    anyio.run(main)
