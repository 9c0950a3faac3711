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


async def plain(request, connection) -> None:
    await connection.answer(200, {}, request.body or b'hello')


class TestExchange:
    """Check complete responses."""

    def test_connection_is_used_again(self):
        async def work(connection, server):
            assert (await get(connection)).body == b'hello'
            assert (await get(connection)).body == b'hello'
            assert server.connections == 1

        run(plain, work)

    def test_long_body_is_sent_whole(self):
        async def work(connection, server):
            body = bytes(range(256)) * 4000
            assert (await get(connection, 'POST', body)).body == body

        run(plain, work)

    def test_chunked_answer_is_put_together(self):
        async def chunked(request, connection):
            await connection.write(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
            )

        async def work(connection, server):
            assert (await get(connection)).body == b'abcde'
            assert not connection.is_broken

        run(chunked, work)

    def test_answer_that_ends_with_its_connection_is_whole(self):
        async def unframed(request, connection):
            await connection.write(b'HTTP/1.1 200 OK\r\n\r\nabc')
            connection.close()

        async def work(connection, server):
            assert (await get(connection)).body == b'abc'
            assert connection.is_broken

        run(unframed, work)

    def test_connection_that_the_server_closes_is_not_kept(self):
        async def closing(request, connection):
            await connection.answer(200, {'Connection': 'close'})

        async def work(connection, server):
            await get(connection)
            assert connection.is_broken

        run(closing, work)

    def test_early_answer_ends_the_connection(self):
        async def early(request, connection):
            await connection.answer(413)

        async def work(connection, server):
            await connection.exchange(
                'POST', b'/', [*HEADERS, (b'Content-Length', b'5')], b'abcde'
            )
            assert not connection.is_broken

        run(early, work)


class TestBrokenAnswers:
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
    def test_answer_that_is_not_whole_is_invalid(self, content):
        async def cut(request, connection):
            await connection.write(content)
            connection.close()

        async def work(connection, server):
            with pytest.raises((InvalidResponseError, ConnectionBrokenError)):
                await get(connection)
            assert connection.has_sent
            assert connection.is_broken

        run(cut, work)

    def test_unframed_answer_that_is_reset_is_not_whole(self):
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

    def test_server_that_ends_without_reading_the_body_is_not_waited_for(self):
        async def main() -> None:
            gone = anyio.Event()

            async def end_at_once(reader, writer) -> None:
                writer.write_eof()
                await gone.wait()
                writer.close()

            listener = await asyncio.start_server(end_at_once, '127.0.0.1', 0)
            port = listener.sockets[0].getsockname()[1]
            with anyio.fail_after(20):
                connection = await connect(f'127.0.0.1:{port}', 5)
                with pytest.raises(ConnectionBrokenError):
                    await get(connection, 'POST', b'a' * 33_554_432)
                assert connection.is_broken
            gone.set()
            listener.close()

        anyio.run(main)

    def test_cancelled_exchange_closes_the_connection(self):
        gone = anyio.Event()

        async def slow(request, connection):
            await connection.closed()
            gone.set()

        async def work(connection, server):
            with anyio.move_on_after(0.1):
                await get(connection)
            await gone.wait()
            assert connection.is_broken

        run(slow, work)


class TestExtraBytes:
    """Check received bytes that belong to no request."""

    def test_second_answer_behind_the_first_ends_the_connection(self):
        async def twice(request, connection):
            answer = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na'
            await connection.write(answer + answer)

        async def work(connection, server):
            assert (await get(connection)).body == b'a'
            assert connection.is_broken

        run(twice, work)

    def test_answer_that_comes_late_ends_the_idle_connection(self):
        async def late(request, connection):
            await connection.answer(200, {}, b'a')
            await anyio.sleep(0.05)
            await connection.answer(200, {}, b'a')

        async def work(connection, server):
            await get(connection)
            await until(lambda: connection.is_broken)

        run(late, work)


class TestPool:
    """Check the pool of idle connections."""

    def test_connection_that_was_closed_meanwhile_is_not_handed_out(self):
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

    def test_connection_is_used_only_within_the_servers_idle_limit(self):
        async def work(connection, server):
            pool = ConnectionPool()
            await get(connection)
            pool.release('server', connection, 10.0, 3.0)
            assert pool.acquire('server', 12.5) is None

        run(plain, work)

    def test_last_used_connection_is_used_first(self):
        async def work(connection, server):
            pool = ConnectionPool()
            other = await connect(server.address, 5)
            pool.release('server', connection, 10.0, None)
            pool.release('server', other, 10.1, None)
            assert pool.acquire('server', 10.2) is other
            other.abort()

        run(plain, work)

    def test_connections_to_a_run_that_is_gone_are_closed(self):
        async def work(connection, server):
            pool = ConnectionPool()
            pool.release('server#1', connection, 10.0, None)
            pool.prune(frozenset(('server#2',)), 10.1)
            assert connection.is_broken

        run(plain, work)
