"""Test connections to backend servers that follow or violate HTTP."""

import asyncio

import anyio
import pytest

from cicadadoor.entry.connection_pool import ConnectionPool
from cicadadoor.entry.connections import connect
from cicadadoor.entry.response_reader import ConnectionBrokenError, InvalidResponseError
from tests.utils.raw_server import serving
from tests.utils.waiting import until

HEADERS = [(b'Host', b'a')]


def run(handler, work) -> None:
    """Run a coroutine function with a connection to a server that uses the handler."""

    async def main() -> None:
        with anyio.fail_after(30):
            async with serving(handler) as server:
                connection = await connect(server.address, 5)
                await work(connection, server)
                connection.abort()

    anyio.run(main)


async def get(connection, method: str = 'GET', body: bytes = b''):
    headers = list(HEADERS)
    if body:
        headers.append((b'Content-Length', str(len(body)).encode()))
    return await connection.exchange(method, b'/', headers, body)


async def echo(request, connection) -> None:
    await connection.answer(200, {}, request.body or b'hello')


class TestExchange:
    """Check complete responses."""

    def test_connection_is_reused(self):
        async def work(connection, server):
            assert (await get(connection)).body == b'hello'
            assert (await get(connection)).body == b'hello'
            assert server.connections == 1

        run(echo, work)

    def test_long_body_is_sent_completely(self):
        async def work(connection, server):
            body = bytes(range(256)) * 4000
            assert (await get(connection, 'POST', body)).body == body

        run(echo, work)

    def test_chunked_answer_is_reassembled(self):
        async def chunked(request, connection):
            await connection.write(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
            )

        async def work(connection, server):
            assert (await get(connection)).body == b'abcde'
            assert not connection.is_broken

        run(chunked, work)

    def test_answer_delimited_by_the_end_of_the_connection_is_complete(self):
        async def unframed(request, connection):
            await connection.write(b'HTTP/1.1 200 OK\r\n\r\nabc')
            connection.close()

        async def work(connection, server):
            assert (await get(connection)).body == b'abc'
            assert connection.is_broken

        run(unframed, work)

    def test_connection_that_the_server_closes_is_not_reused(self):
        async def closing(request, connection):
            await connection.answer(200, {'Connection': 'close'})

        async def work(connection, server):
            await get(connection)
            assert connection.is_broken

        run(closing, work)

    def test_error_status_does_not_end_the_connection(self):
        async def refuse(request, connection):
            await connection.answer(413)

        async def work(connection, server):
            await connection.exchange(
                'POST', b'/', [*HEADERS, (b'Content-Length', b'5')], b'abcde'
            )
            assert not connection.is_broken

        run(refuse, work)


class TestInvalidAnswers:
    """Check truncated and invalid responses."""

    @pytest.mark.parametrize(
        'content',
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab',
            b'HTTP/1.1 200 OK\r\nContent-Le',
            b'\x00\x01\x02 no answer\r\n\r\n',
        ),
    )
    def test_incomplete_answer_is_invalid(self, content):
        async def truncated(request, connection):
            await connection.write(content)
            connection.close()

        async def work(connection, server):
            with pytest.raises((InvalidResponseError, ConnectionBrokenError)):
                await get(connection)
            assert connection.has_sent
            assert connection.is_broken

        run(truncated, work)

    def test_unframed_answer_that_is_reset_is_incomplete(self):
        async def reset(request, connection):
            await connection.write(b'HTTP/1.1 200 OK\r\n\r\nabc')
            await anyio.sleep(0.05)
            connection.reset()

        async def work(connection, server):
            with pytest.raises(ConnectionBrokenError):
                await get(connection)

        run(reset, work)

    def test_connection_without_an_answer_is_broken(self):
        async def silent(request, connection):
            connection.close()

        async def work(connection, server):
            with pytest.raises(ConnectionBrokenError):
                await get(connection)
            assert connection.has_sent

        run(silent, work)

    def test_server_that_closes_without_reading_the_body_ends_the_exchange(self):
        async def main() -> None:
            finished = anyio.Event()

            async def close_at_once(reader, writer) -> None:
                writer.write_eof()
                await finished.wait()
                writer.close()

            listener = await asyncio.start_server(close_at_once, '127.0.0.1', 0)
            port = listener.sockets[0].getsockname()[1]
            with anyio.fail_after(20):
                connection = await connect(f'127.0.0.1:{port}', 5)
                with pytest.raises(ConnectionBrokenError):
                    await get(connection, 'POST', b'a' * 33_554_432)
                assert connection.is_broken
            finished.set()
            listener.close()

        anyio.run(main)

    def test_cancelled_exchange_closes_the_connection(self):
        finished = anyio.Event()

        async def slow(request, connection):
            await connection.closed()
            finished.set()

        async def work(connection, server):
            with anyio.move_on_after(0.1):
                await get(connection)
            await finished.wait()
            assert connection.is_broken

        run(slow, work)


class TestExtraBytes:
    """Check received bytes that belong to no request."""

    def test_second_answer_after_the_first_ends_the_connection(self):
        async def twice(request, connection):
            answer = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na'
            await connection.write(answer + answer)

        async def work(connection, server):
            assert (await get(connection)).body == b'a'
            assert connection.is_broken

        run(twice, work)

    def test_unsolicited_answer_ends_the_idle_connection(self):
        async def unsolicited(request, connection):
            await connection.answer(200, {}, b'a')
            await anyio.sleep(0.05)
            await connection.answer(200, {}, b'a')

        async def work(connection, server):
            await get(connection)
            await until(lambda: connection.is_broken)

        run(unsolicited, work)


class TestPool:
    """Check the pool of idle connections."""

    def test_connection_closed_while_idle_is_not_acquired(self):
        async def closing(request, connection):
            await connection.answer(200)
            connection.close()

        async def work(connection, server):
            pool = ConnectionPool()
            await get(connection)
            pool.release('server', connection, 10.0, None)
            await until(lambda: connection.is_broken)
            assert pool.acquire('server', 10.1) is None

        run(closing, work)

    def test_connection_is_not_reused_near_the_servers_idle_timeout(self):
        async def work(connection, server):
            pool = ConnectionPool()
            await get(connection)
            pool.release('server', connection, 10.0, 3.0)
            assert pool.acquire('server', 12.5) is None

        run(echo, work)

    def test_most_recently_used_connection_is_acquired_first(self):
        async def work(connection, server):
            pool = ConnectionPool()
            other = await connect(server.address, 5)
            pool.release('server', connection, 10.0, None)
            pool.release('server', other, 10.1, None)
            assert pool.acquire('server', 10.2) is other
            other.abort()

        run(echo, work)

    def test_connections_to_an_ended_server_run_are_closed(self):
        async def work(connection, server):
            pool = ConnectionPool()
            pool.release('server#1', connection, 10.0, None)
            pool.prune(frozenset(('server#2',)), 10.1)
            assert connection.is_broken

        run(echo, work)
