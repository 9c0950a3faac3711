"""Test the server towards callers on real connections."""

import anyio
import pytest

from cicadadoor.decisions.memory_account import Owner
from cicadadoor.entry.exchange import REQUEST_BYTES, Response
from tests.utils.caller_server import run_served
from tests.utils.waiting import until

_LONG = b'a' * 8_000_000
# Fits into the kernel's buffers.
_LAST = b'b' * 100_000
_LONG_HELD_BYTES = REQUEST_BYTES + len(_LONG)


class TestHeads:
    """Guard against request heads that are cut, too long or too slow."""

    def test_head_byte_by_byte_is_read(self):
        async def work(scene):
            client = await scene.connect()
            for byte in b'GET /now HTTP/1.1\r\nHost: a\r\n\r\n':
                await client.send(bytes((byte,)))
                await anyio.sleep(0)
            assert (await client.response())[2] == b'/now'

        run_served(work)

    @pytest.mark.parametrize('is_first', (True, False))
    @pytest.mark.parametrize(('size_bytes', 'status'), ((16_000, 200), (25_000, 431)))
    def test_limit_for_heads_holds_from_the_first_request_on(
        self, is_first, size_bytes, status
    ):
        async def work(scene):
            client = await scene.connect()
            if not is_first:
                await client.request('/now')
                assert await client.status() == 200
            await client.request('/now', 'A: ' + 'b' * size_bytes)
            assert await client.status() == status

        run_served(work, max_header_bytes=16_384)

    def test_configured_limit_for_heads_is_used(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/now', 'A: ' + 'b' * 60_000)
            assert await client.status() == 200

        run_served(work, max_header_bytes=65_536)

    def test_head_that_is_not_complete_in_time_is_refused(self):
        async def work(scene):
            client = await scene.connect()
            await client.send(b'GET /now HTTP/1.1\r\n')
            await until(lambda: scene.context.connections[0].use.moved_bytes)
            await scene.pass_time(2)
            await client.send(b'A: b\r\n')
            await scene.pass_time(1.5)
            assert await client.status() == 408
            assert await client.is_closed()

        run_served(work, header_timeout_ms=3000)

    def test_refusal_of_a_head_that_is_not_complete_has_no_body(self):
        """It may be one of a HEAD request, whose client reads no body."""

        async def work(scene):
            client = await scene.connect()
            await client.send(b'HEAD /now HTTP/1.1\r\n')
            await until(lambda: scene.context.connections[0].use.moved_bytes)
            await scene.pass_time(4)
            status, headers, body = await client.response()
            assert (status, headers['content-length'], body) == (408, '0', b'')
            assert await client.is_closed()

        run_served(work, header_timeout_ms=3000)

    def test_method_in_small_letters_is_kept(self):
        """Methods are case-sensitive; it was passed on in capitals."""

        async def work(scene):
            client = await scene.connect()
            await client.request('/now', method='head')
            assert (await client.response())[2] == b'/now'
            assert scene.handler.handled[0].method == 'head'

        run_served(work)

    def test_bytes_that_are_no_request_are_refused(self):
        async def work(scene):
            client = await scene.connect()
            await client.send(b'\x16\x03\x01 no request\r\n\r\n')
            assert await client.status() == 400
            assert await client.is_closed()

        run_served(work)

    def test_error_of_the_handler_refuses_one_request(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/now/fault')
            assert await client.status() == 500

        run_served(work)


class TestBodies:
    """Guard against bodies that are too long, too slow or held twice."""

    @pytest.mark.parametrize(
        ('field', 'content'),
        (
            ('Content-Length: 5', b'abcde'),
            ('Transfer-Encoding: chunked', b'2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n'),
        ),
    )
    def test_body_is_handed_over_whole(self, field, content):
        async def work(scene):
            client = await scene.connect()
            await client.request('/book', field, method='POST')
            for byte in content:
                await client.send(bytes((byte,)))
            exchange = (await scene.handled(1))[0]
            assert exchange.body.content == b'abcde'
            assert scene.account.held_by_kind()['request_body'] == 5
            exchange.respond(Response(200, [], b''))
            assert await client.status() == 200
            assert scene.account.held_by_kind()['request_body'] == 0

        run_served(work)

    def test_declared_length_above_the_limit_is_refused_before_the_body(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/book', 'Content-Length: 101', method='POST')
            assert await client.status() == 413
            assert await client.is_closed()

        run_served(work, max_body_bytes=100)

    def test_chunked_body_above_the_limit_is_refused(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/book', 'Transfer-Encoding: chunked', method='POST')
            await client.send(b'65\r\n' + b'a' * 101 + b'\r\n')
            assert await client.status() == 413

        run_served(work, max_body_bytes=100)

    def test_refusal_reaches_a_client_that_is_still_sending(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/book', 'Content-Length: 200000', method='POST')
            for _ in range(20):
                await client.send(b'a' * 10_000)
                await anyio.sleep(0.01)
            assert await client.status() == 413

        run_served(work, max_body_bytes=100)

    def test_body_that_stops_short_of_its_end_is_refused(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/book', 'Content-Length: 1000', method='POST')
            await client.send(b'a' * 999)
            await until(lambda: scene.account.held_by_kind().get('request_body'))
            await scene.pass_time(7)
            assert len(scene.table) == 1
            await scene.pass_time(1.5)
            status, headers, _ = await client.response()
            assert status == 408
            assert headers['connection'] == 'close'
            assert not scene.handler.handled

        run_served(work, header_timeout_ms=3000)

    def test_body_that_trickles_is_refused(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/book', 'Content-Length: 1000000', method='POST')
            for _ in range(12):
                await client.send(b'a')
                await scene.pass_time(1)
            assert await client.status() == 408

        run_served(work, header_timeout_ms=3000)

    def test_body_at_the_minimum_rate_is_read(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/now', 'Content-Length: 400000', method='POST')
            for _ in range(20):
                await client.send(b'a' * 20_000)
                await scene.pass_time(1)
            assert await client.status() == 200

        run_served(work, header_timeout_ms=3000)

    def test_time_in_which_the_process_did_not_read_is_not_counted(self):
        """The bytes of the client may have arrived while the process was stopped."""

        async def work(scene):
            client = await scene.connect()
            await client.request('/now', 'Content-Length: 2', method='POST')
            await until(lambda: scene.handler.begun)
            scene.now_s += 60
            scene.server.check()
            await client.send(b'ab')
            assert await client.status() == 200

        run_served(work)

    def test_body_is_refused_by_a_process_that_is_always_late(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/book', 'Content-Length: 2', method='POST')
            await until(lambda: scene.handler.begun)
            for _ in range(8):
                scene.now_s += 2
                scene.server.check()
            assert await client.status() == 408

        run_served(work, header_timeout_ms=3000)

    def test_body_that_does_not_fit_is_refused_with_a_time_to_retry(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/book', 'Content-Length: 5000000', method='POST')
            await client.send(b'a' * 2_000_000)
            status, headers, _ = await client.response()
            assert status == 503
            assert 'retry-after' in headers
            assert not scene.handler.handled

        run_served(work, limit_bytes=1_000_000)


class TestExpectContinue:
    """Guard against a 100 response for a body that is refused."""

    def test_body_is_asked_for(self):
        async def work(scene):
            client = await scene.connect()
            fields = ('Content-Length: 2', 'Expect: 100-continue')
            await client.request('/now', *fields, method='POST')
            assert await client.status() == 100
            await client.send(b'ab')
            assert await client.status() == 200

        run_served(work)

    @pytest.mark.parametrize(('size_bytes', 'status'), ((900_000, 503), (10**7, 413)))
    def test_body_that_will_be_refused_is_not_asked_for(self, size_bytes, status):
        async def work(scene):
            client = await scene.connect()
            fields = (f'Content-Length: {size_bytes}', 'Expect: 100-continue')
            await client.request('/now', *fields, method='POST')
            assert await client.status() == status

        run_served(work, limit_bytes=800_000, max_body_bytes=1_000_000)


class TestPipelining:
    """Guard against answers out of order and requests that run too early."""

    def test_repeatable_requests_run_side_by_side_and_are_answered_in_order(self):
        async def work(scene):
            client = await scene.connect()
            for number in range(10):
                await client.request(f'/safe/{number}')
            await scene.handled(8)
            await anyio.sleep(0.1)
            exchanges = list(scene.handler.handled)
            assert len(exchanges) == 8
            for exchange in reversed(exchanges):
                exchange.respond(Response(200, [], exchange.target))
            for number in range(8):
                assert (await client.response())[2] == f'/safe/{number}'.encode()
            for exchange in (await scene.handled(10))[8:]:
                exchange.respond(Response(200, [], exchange.target))
            assert (await client.response())[2] == b'/safe/8'
            assert (await client.response())[2] == b'/safe/9'

        run_served(work)

    def test_nothing_runs_behind_a_request_that_is_not_repeatable(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/book')
            await client.request('/safe/1')
            await scene.handled(1)
            await anyio.sleep(0.1)
            assert scene.handler.targets == ['/book']
            scene.handler.handled[0].respond(Response(200, [], b''))
            await scene.handled(2)

        run_served(work)

    @pytest.mark.parametrize('length', (0, 5))
    def test_request_that_is_not_repeatable_waits_for_the_earlier_ones(self, length):
        """The caller resends it if an earlier response closes the connection."""

        async def work(scene):
            client = await scene.connect()
            await client.request('/safe/1')
            await client.request('/book', f'Content-Length: {length}', method='POST')
            await client.send(b'a' * length)
            await client.request('/safe/2')
            await scene.handled(1)
            await anyio.sleep(0.1)
            assert scene.handler.targets == ['/safe/1']
            scene.handler.handled[0].respond(Response(200, [], b''))
            await scene.handled(2)
            assert scene.handler.targets == ['/safe/1', '/book']
            assert scene.handler.handled[1].body.content == b'a' * length

        run_served(work)

    def test_requests_behind_a_response_that_closes_the_connection_are_cancelled(self):
        async def work(scene):
            client = await scene.connect()
            for number in range(3):
                await client.request(f'/safe/{number}')
            first, *others = await scene.handled(3)
            first.respond(Response(200, [], b'', closes=True))
            assert (await client.response())[1]['connection'] == 'close'
            assert await client.is_closed()
            assert all(other.scope.cancel_called for other in others)

        run_served(work)

    @pytest.mark.parametrize('is_in_order', (True, False))
    def test_host_that_leaves_answers_what_it_has_passed_on(self, is_in_order):
        """Only the last response closes, and nothing is read behind it."""

        async def work(scene):
            client = await scene.connect()
            for number in range(3):
                await client.request(f'/safe/{number}')
            exchanges = list(await scene.handled(3))
            scene.handler.is_leaving = True
            await client.request('/safe/late')
            for exchange in exchanges if is_in_order else reversed(exchanges):
                exchange.respond(Response(200, [], exchange.target))
            for number in range(3):
                _, headers, body = await client.response()
                assert body == f'/safe/{number}'.encode()
                assert ('connection' in headers) is (number == 2)
            assert await client.is_closed()
            assert len(scene.handler.handled) == 3

        run_served(work)

    def test_input_that_cannot_be_parsed_yet_is_bounded(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/book')
            with anyio.move_on_after(1):
                while True:
                    await client.request('/safe')
            assert scene.account.held_by_kind()['connection'] < 200_000
            assert scene.handler.targets == ['/book']

        run_served(work)

    def test_further_requests_wait_while_the_host_runs_as_many_as_it_can(self):
        async def work(scene):
            scene.handler.is_full_now = True
            client = await scene.connect()
            await client.request('/safe/1')
            await client.request('/safe/2')
            exchange = (await scene.handled(1))[0]
            await anyio.sleep(0.1)
            assert scene.handler.targets == ['/safe/1']
            exchange.respond(Response(200, [], b''))
            await scene.handled(2)

        run_served(work)

    def test_request_with_close_is_the_last_one(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/now/safe', 'Connection: close')
            await client.request('/now/safe')
            assert (await client.response())[1]['connection'] == 'close'
            assert await client.is_closed()
            assert len(scene.handler.handled) == 1

        run_served(work)


class TestDisconnects:
    """Guard against requests that run for callers that have left."""

    @pytest.mark.parametrize('is_half', (False, True))
    @pytest.mark.parametrize('pipelined', (0, 10, 3000))
    def test_disconnect_cancels_the_request(self, is_half, pipelined):
        """Also while bytes of further requests wait, even if reading is paused."""

        async def work(scene):
            client = await scene.connect()
            await client.request('/book')
            exchange = (await scene.handled(1))[0]
            with anyio.move_on_after(0.5):
                await client.send(b'GET /safe HTTP/1.1\r\nHost: a\r\n\r\n' * pipelined)
            if is_half:
                client.half_close()
            else:
                client.close()
            while not exchange.scope.cancel_called:
                await scene.pass_time(0.25)
            assert scene.handler.targets == ['/book']

        run_served(work)

    def test_response_that_is_ready_is_sent_after_a_half_close(self):
        async def work(scene):
            client = await scene.connect(receive_bytes=4096)
            await client.request('/book')
            exchange = (await scene.handled(1))[0]
            exchange.respond(Response(200, [], _LONG))
            client.half_close()
            assert (await client.response())[2] == _LONG
            assert await client.is_closed()

        run_served(work)


class TestResponses:
    """Guard against responses that are cut or held for clients that don't read."""

    def test_long_response_is_complete_and_held_once(self):
        async def work(scene):
            client = await scene.connect(receive_bytes=4096)
            await client.request('/book')
            exchange = (await scene.handled(1))[0]
            exchange.respond(Response(200, [], _LONG))
            assert scene.account.held_by_kind()['response'] == _LONG_HELD_BYTES
            assert (await client.response())[2] == _LONG
            await until(lambda: not scene.account.held_by_kind()['response'])
            await client.request('/now')
            assert await client.status() == 200

        run_served(work)

    def test_client_that_takes_nothing_is_reset(self):
        async def work(scene):
            client = await scene.connect(receive_bytes=4096)
            await client.request('/book')
            exchange = (await scene.handled(1))[0]
            exchange.respond(Response(200, [], _LONG))
            # The kernels fill their buffers.
            await anyio.sleep(0.2)
            await scene.pass_time(0.5)
            await scene.pass_time(9)
            assert len(scene.table) == 1
            await scene.pass_time(2.5)
            await until(lambda: not scene.context.connections)
            assert await client.is_reset()

        run_served(work)

    def test_client_that_reads_slowly_is_not_reset(self):
        """The kernel's buffer hides that a slow client takes some bytes."""

        async def work(scene):
            client = await scene.connect(receive_bytes=8192)
            await client.request('/book')
            exchange = (await scene.handled(1))[0]
            exchange.respond(Response(200, [], _LONG))
            for _ in range(60):
                assert await client.receive(4000)
                await scene.pass_time(1)
            assert len(scene.table) == 1

        run_served(work)

    def test_response_is_complete_before_the_connection_closes(self):
        async def work(scene):
            client = await scene.connect(receive_bytes=4096)
            await client.request('/book')
            # Unread bytes would reset the connection when it is closed.
            await client.send(b'GET /safe HTTP/1.1\r\nHost: a\r\n\r\n' * 100)
            exchange = (await scene.handled(1))[0]
            scene.handler.is_leaving = True
            exchange.respond(Response(200, [], _LONG))
            assert (await client.response())[2] == _LONG
            assert await client.is_closed()
            assert len(scene.handler.handled) == 1

        run_served(work)

    def test_client_that_does_not_close_after_the_last_response_is_disconnected(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/now', 'Connection: close')
            assert await client.status() == 200
            await scene.pass_time(3)
            await until(lambda: not scene.context.connections)

        run_served(work)

    def test_slow_client_is_not_reset_while_it_takes_the_last_response(self):
        """The kernel holds the end of the response long before the client has it."""

        async def work(scene):
            client = await scene.connect(receive_bytes=8192)
            await client.request('/book', 'Connection: close')
            exchange = (await scene.handled(1))[0]
            exchange.respond(Response(200, [], _LAST))
            received = b''
            while len(received) < len(_LAST):
                part = await client.receive(8000)
                assert part
                received += part
                await scene.pass_time(1)
            assert received.endswith(_LAST)
            await scene.pass_time(3)
            await until(lambda: not scene.context.connections)

        run_served(work)

    def test_client_that_takes_nothing_of_the_last_response_is_reset(self):
        async def work(scene):
            client = await scene.connect(receive_bytes=4096)
            await client.request('/book', 'Connection: close')
            exchange = (await scene.handled(1))[0]
            exchange.respond(Response(200, [], _LAST))
            await anyio.sleep(0.2)
            await scene.pass_time(0.5)
            await scene.pass_time(9)
            assert len(scene.table) == 1
            await scene.pass_time(2.5)
            await until(lambda: not scene.context.connections)
            assert await client.is_reset()

        run_served(work)

    def test_response_that_does_not_fit_closes_its_own_connection(self):
        async def work(scene):
            slow = [await scene.connect(receive_bytes=4096) for _ in range(4)]
            for client in slow:
                await client.request('/book')
            for exchange in list(await scene.handled(4)):
                exchange.respond(Response(200, [], b'a' * 2_000_000))
            assert scene.account.held_bytes <= 5_000_000
            other = await scene.connect()
            await other.request('/now')
            assert await other.status() == 200

        run_served(work, limit_bytes=5_000_000)

    def test_body_makes_room_for_one_of_another_address(self):
        """The refused request has not run, and its client is told so."""

        async def work(scene):
            client = await scene.connect()
            await client.request('/book', 'Content-Length: 4000000', method='POST')
            await client.send(b'a' * 3_000_000)
            other = scene.account.open('request_body', Owner('10.0.0.1'))
            await until(lambda: scene.account.held_bytes > 3_000_000)
            assert other.grow(2_000_000)
            status, headers, _ = await client.response()
            assert status == 503
            assert 'retry-after' in headers
            assert not scene.handler.handled
            other.release()

        run_served(work, limit_bytes=5_000_000)

    def test_head_request_gets_no_body(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/now', method='HEAD')
            with anyio.fail_after(5):
                await scene.handled(1)
            await client.send(b'GET /now/2 HTTP/1.1\r\nHost: a\r\n\r\n')
            await scene.handled(2)
            received = b''
            while b'/now/2' not in received:
                received += await client.receive()
            assert received.count(b'HTTP/1.1 200') == 2
            assert not received.partition(b'\r\n\r\n')[2].startswith(b'/now')

        run_served(work)


class TestConnections:
    """Guard against connections that take the place of others."""

    def test_idle_connection_is_closed_after_its_time_out(self):
        async def work(scene):
            client = await scene.connect()
            await client.request('/now')
            assert await client.status() == 200
            await scene.pass_time(12)
            await client.request('/now')
            assert await client.status() == 200
            await scene.pass_time(15.5)
            assert await client.is_closed()

        run_served(work, idle_timeout_ms=15_000)

    def test_longest_idle_connection_gives_way_to_a_new_one(self):
        async def work(scene):
            running = await scene.connect()
            await running.request('/book')
            await scene.handled(1)
            idle = []
            for _ in range(17):
                scene.now_s += 0.1
                idle.append(await scene.connect())
            # All come from one address, which gives way at nine tenths of the bound.
            assert len(scene.table) == 18
            new = await scene.connect()
            await new.request('/now')
            assert await new.status() == 200
            assert await idle[0].is_closed()
            scene.handler.handled[0].respond(Response(200, [], b''))
            assert await running.status() == 200
            assert len(scene.table) <= 20

        run_served(work, bound=20)

    def test_connection_is_refused_while_all_others_run_requests(self):
        async def work(scene):
            running = []
            for number in range(10):
                running.append(await scene.connect())
                await running[-1].request('/book')
                await scene.handled(number + 1)
            new = await scene.connect()
            assert await new.is_reset()
            assert len(scene.table) == 10

        run_served(work, bound=10)
