"""Test backend servers that send endless, oversized or invalid responses."""

import anyio
import pytest
from anyio import lowlevel

from cicadadoor.decisions.memory_account import MemoryAccount
from cicadadoor.entry.connections import connect
from cicadadoor.entry.response_reader import InvalidResponseError
from tests.utils.raw_server import serving
from tests.utils.waiting import until

HEADERS = [(b'Host', b'a')]
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
# Most that a test server sends; a host that reads all of it enforces no limit.
_SENT_BYTES = 8_388_608
_STALLED_BYTES = 3_145_728
_TEST_TIMEOUT_S = 20


def run(handler, work) -> None:
    """Run a coroutine function with a connection to a server that uses the handler."""

    async def main() -> None:
        with anyio.fail_after(_TEST_TIMEOUT_S):
            async with serving(handler) as server:
                connection = await connect(server.address, 5)
                await work(connection)
                connection.abort()

    anyio.run(main)


async def get(connection, method: str = 'GET'):
    return await connection.exchange(method, b'/', HEADERS, b'')


async def assert_rejected(connection) -> None:
    with pytest.raises(InvalidResponseError):
        await get(connection)
    assert connection.is_broken


def endless(first: bytes, part: bytes):
    """Return a handler that sends up to _SENT_BYTES and keeps the connection open."""

    async def handle(request, connection) -> None:
        await connection.write(first)
        for _ in range(_SENT_BYTES // len(part)):
            await connection.write(part)
        await connection.closed()

    return handle


async def silent(request, connection) -> None:
    await connection.closed()


async def exchange_buffered(connection, received: bytes):
    """Deliver bytes at once; return the response and how often other tasks ran."""
    answers = []
    other_task_runs = 0

    async def ask() -> None:
        answers.append(await get(connection))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await until(lambda: connection.has_sent)
        connection.data_received(received)
        while connection.is_busy:
            other_task_runs += 1
            await lowlevel.checkpoint()
    return answers[0], other_task_runs


class TestFramingLimits:
    """Check limits on bytes of a response outside its body."""

    @pytest.mark.parametrize(
        ('first', 'part'),
        (
            (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 100),
            (CHUNKED, b'1\r\na\r\n' * 1000),
            (CHUNKED, b'1;x=' + b'y' * 8000 + b'\r\na\r\n'),
            (CHUNKED, b'1;x=' + b'y' * 8000),
            (CHUNKED + b'0\r\n', b'a: b\r\n' * 100),
            (b'HTTP/1.1 200 OK\r\n', b'a: b\r\n' * 100),
        ),
        ids=(
            'interim_answers',
            'tiny_chunks',
            'chunk_extensions',
            'one_chunk_extension',
            'trailers',
            'header_lines',
        ),
    )
    def test_endless_framing_is_rejected(self, first, part):
        run(endless(first, part), assert_rejected)

    def test_head_received_at_once_is_bounded(self):
        async def work(connection):
            lines = b''.join(b'a%d: b\r\n' % number for number in range(20_000))
            head = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n' + lines + b'\r\n'
            with pytest.raises(ExceptionGroup) as raised:
                await exchange_buffered(connection, head)
            assert raised.group_contains(InvalidResponseError)

        run(silent, work)

    def test_answer_in_many_chunks_yields_to_other_tasks(self):
        async def work(connection):
            chunk = b'40\r\n' + b'a' * 64 + b'\r\n'
            received = CHUNKED + chunk * 3000 + b'0\r\n\r\n'
            answer, other_task_runs = await exchange_buffered(connection, received)
            assert len(answer.body) == 3000 * 64
            assert other_task_runs >= 10

        run(silent, work)

    def test_transport_pauses_until_the_parser_has_caught_up(self):
        async def work(connection):
            chunk = b'40\r\n' + b'a' * 64 + b'\r\n'
            received = CHUNKED + chunk * 6000 + b'0\r\n\r\n'
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(get, connection)
                await until(lambda: connection.has_sent)
                connection.data_received(received)
                assert not connection._transport.is_reading()
            assert not connection.is_broken
            assert connection._transport.is_reading()

        run(silent, work)

    def test_large_chunked_answer_is_read_completely(self):
        async def chunked(request, connection):
            part = b'1000\r\n' + b'a' * 4096 + b'\r\n'
            await connection.write(CHUNKED)
            for _ in range(2048):
                await connection.write(part)
            await connection.write(b'0\r\n\r\n')

        async def work(connection):
            answer = await get(connection)
            assert answer.body == b'a' * _SENT_BYTES
            assert not connection.is_broken

        run(chunked, work)


class TestEarlyRejection:
    """Check that invalid bytes are rejected before the response ends."""

    @pytest.mark.parametrize(
        'content',
        (
            b'SSH-2.0',
            b'HTTP/2',
            b'HTTP/1.1 OK\r\n',
            b'HTTP/1.1 200 OK\r\nno header line\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\nab',
            b'HTTP/1.1 102 Processing\r\n\r\nSSH-2.0',
        ),
    )
    def test_invalid_bytes_are_rejected_at_once(self, content):
        async def stalled(request, connection):
            await connection.write(content)
            await connection.closed()

        run(stalled, assert_rejected)

    def test_head_received_byte_by_byte_is_accepted(self):
        async def slow(request, connection):
            head = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\r\n c\r\n\r\n'
            for byte in head:
                await connection.write(bytes((byte,)))
                await anyio.sleep(0.001)
            await connection.write(b'ab')

        async def work(connection):
            assert (await get(connection)).body == b'ab'

        run(slow, work)

    def test_content_length_of_an_answer_to_head_is_ignored(self):
        async def head_only(request, connection):
            await connection.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\n'
            )

        async def work(connection):
            assert (await get(connection, 'HEAD')).body == b''

        run(head_only, work)


class TestMemoryLimit:
    """Check the memory limit for several endless responses at once."""

    def test_endless_answers_are_aborted_and_a_small_one_is_served(self):
        limit_bytes = 4_194_304
        endless_chunks = endless(CHUNKED, b'1000\r\n' + b'a' * 4096 + b'\r\n')

        async def handle(request, connection) -> None:
            if request.target == '/small':
                await connection.write(b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n')
                await until(lambda: len(aborted) == 4)
                await connection.write(b'abcd')
                return
            await endless_chunks(request, connection)

        aborted = []

        async def ask_endless(connection) -> None:
            await assert_rejected(connection)
            aborted.append(connection)

        async def main() -> None:
            budget = MemoryAccount(limit_bytes)
            with anyio.fail_after(_TEST_TIMEOUT_S):
                async with serving(handle) as server:
                    small = await connect(server.address, 5, budget)
                    async with anyio.create_task_group() as tasks:
                        for _ in range(4):
                            connection = await connect(server.address, 5, budget)
                            tasks.start_soon(ask_endless, connection)
                        answer = await small.exchange('GET', b'/small', HEADERS, b'')
                    assert answer.body == b'abcd'
                    assert budget.held_bytes == 0
                    small.abort()

        anyio.run(main)

    def test_stalled_answer_is_aborted_for_one_in_progress(self):
        endless_answer = endless(CHUNKED, b'1000\r\n' + b'a' * 4096 + b'\r\n')

        async def handle(request, connection) -> None:
            if request.target == '/endless':
                await endless_answer(request, connection)
                return
            await connection.write(CHUNKED + b'300000\r\n' + b'a' * _STALLED_BYTES)
            await connection.closed()

        async def main() -> None:
            budget = MemoryAccount(4_194_304)
            with anyio.fail_after(_TEST_TIMEOUT_S):
                async with serving(handle) as server:
                    stalled = await connect(server.address, 5, budget)
                    other = await connect(server.address, 5, budget)
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(assert_rejected, stalled)
                        # Both would be in progress while the bytes are on their way.
                        await until(lambda: budget.held_bytes >= _STALLED_BYTES)
                        with pytest.raises(InvalidResponseError):
                            await other.exchange('GET', b'/endless', HEADERS, b'')

        anyio.run(main)
