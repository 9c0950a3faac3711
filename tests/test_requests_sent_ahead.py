"""Test that requests sent ahead get their own answers, whatever is held before them."""

from io import BytesIO

import pytest

from cicadadoor.entry.exchange import Response
from tests.utils.caller_server import run_served

_LONG = b'b' * 50_000


def _request(target: str, body: bytes, fields: tuple[str, ...] = ()) -> bytes:
    length = f'Content-Length: {len(body)}'
    lines = (f'POST {target} HTTP/1.1', 'Host: a', length, *fields)
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class TestRequestsBehindAHeldOne:
    """Guard against requests that are lost, or run with bytes of another one.

    The parser of a request that waits for the earlier ones holds bytes of the requests
    behind it.
    """

    @pytest.mark.parametrize('body', (b'', b'abc', _LONG))
    @pytest.mark.parametrize('fields', ((), ('Expect: 100-continue',)))
    def test_request_behind_a_held_one_gets_its_own_answer(self, body, fields):
        async def work(scene):
            client = await scene.connect()
            sent = (
                _request('/safe/1', b''),
                _request('/now/held', body, fields),
                _request('/now/3', b'three'),
            )
            await client.send(b''.join(sent))
            first = (await scene.handled(1))[0]
            first.respond(Response(200, [], first.target))
            assert (await client.response())[2] == b'/safe/1'
            await client.send(_request('/now/4', b'four'))
            for target in (b'/now/held', b'/now/3', b'/now/4'):
                assert (await client.response())[2] == target
            assert scene.handler.bodies == [b'', body, b'three', b'four']

        run_served(work)

    @pytest.mark.parametrize('cut', (1, 30, 60))
    def test_rest_that_arrives_as_the_held_request_becomes_the_first(self, cut):
        """The reader continues with a held request only in the next pass."""

        async def work(scene):
            client = await scene.connect()
            third = _request('/now/3', b'three')
            await client.send(
                _request('/safe/1', b'') + _request('/now/held', b'') + third[:cut]
            )
            first = (await scene.handled(1))[0]
            connection = scene.context.connections[0]
            first.respond(Response(200, [], first.target))
            rest = third[cut:]
            BytesIO(rest).readinto(connection.get_buffer(-1))
            connection.buffer_updated(len(rest))
            for target in (b'/safe/1', b'/now/held', b'/now/3'):
                assert (await client.response())[2] == target
            assert scene.handler.bodies[2] == b'three'

        run_served(work)

    def test_body_that_looks_like_a_request_is_not_run(self):
        """Parsed from its middle, the body would be a request of its own."""

        async def work(scene):
            client = await scene.connect()
            hidden = b'GET /now/hidden HTTP/1.1\r\nHost: a\r\n\r\n' * 1000
            await client.send(
                _request('/safe/1', b'')
                + _request('/now/held', b'')
                + _request('/now/3', hidden)
            )
            first = (await scene.handled(1))[0]
            first.respond(Response(200, [], first.target))
            for target in (b'/safe/1', b'/now/held', b'/now/3'):
                assert (await client.response())[2] == target
            assert scene.handler.targets == ['/safe/1', '/now/held', '/now/3']
            assert scene.handler.bodies[2] == hidden

        run_served(work)


class TestTwoLengths:
    """Guard against a body whose end another server could see at another place."""

    @pytest.mark.parametrize('target', ('/safe', '/book'))
    @pytest.mark.parametrize('length', (0, 5, 17_000))
    @pytest.mark.parametrize('is_first', (True, False))
    def test_request_with_length_and_chunks_is_refused(self, target, length, is_first):
        async def work(scene):
            client = await scene.connect()
            fields = ['Transfer-Encoding: chunked', f'Content-Length: {length}']
            if is_first:
                fields.reverse()
            await client.request(target, *fields, method='POST')
            hidden = b'GET /now/hidden HTTP/1.1\r\nHost: a\r\n\r\n' * 1000
            chunk = b'%x\r\n%b\r\n0\r\n\r\n' % (len(hidden), hidden)
            await client.send(chunk)
            status, headers, _ = await client.response()
            assert status == 400
            assert headers['connection'] == 'close'
            assert await client.is_closed()
            assert not scene.handler.handled

        run_served(work)
