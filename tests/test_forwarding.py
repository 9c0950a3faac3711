"""Test forwarding to backend servers that fail at each step of an exchange."""

import tracemalloc

import anyio
import httpx
import pytest
from anyio import lowlevel

from cicadadoor.config.model import BackendServer
from cicadadoor.decisions.retries import RetryBudget, is_repeatable
from cicadadoor.errors import ERROR_RESPONSES, ErrorKind, Executed, Failure
from cicadadoor.gate.forwarding import Forwarder
from cicadadoor.gate.request import SteeredRequest
from cicadadoor.timer import BootTimer
from tests.test_keyed_once import StubService
from tests.utils.deployments import small_deployment
from tests.utils.gates import FakeKernel, view_of

VIEW = view_of(small_deployment({'muenchen-1': ('muenchen', 1)}))
STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
COMPLETE_ANSWER = STATUS_LINE + b'content-length: 4\r\n\r\nbook'
SHED_ANSWER = b'HTTP/1.1 503 Shed\r\nx-shed: not-run\r\ncontent-length: 0\r\n\r\n'
LONG_BYTES = 1_500_000
LONG_HEADERS = b'content-length: 1500000\r\n\r\n'


class RawServer:
    """Send scripted bytes for each request, then close or keep the connection."""

    def __init__(self, *answers, closes=False, waits=False) -> None:
        self.answers = list(answers)
        self.closes = closes
        self.waits = waits
        self.requests = []
        self.connections = 0
        self.was_dropped = anyio.Event()

    async def serve(self, stream):
        """Serve the requests of one connection."""
        self.connections += 1
        async with stream:
            try:
                await self._serve(stream)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                self.was_dropped.set()

    async def _serve(self, stream):
        while True:
            received = b''
            while b'\r\n\r\n' not in received:
                received += await stream.receive()
            self.requests.append(received)
            if self.waits:
                await stream.receive()
            await stream.send(self.answers.pop(0))
            if self.closes:
                return


class ClosesOnSecond(RawServer):
    """Close a connection after its second request without a response."""

    async def _serve(self, stream):
        await stream.receive()
        await stream.send(COMPLETE_ANSWER)
        self.requests.append(await stream.receive())


def make_request(method='POST', left_s=5.0, path='/enrol', **headers):
    """Build a request to the booking service."""
    timer = BootTimer()
    return SteeredRequest(
        request_id='r',
        method=method,
        path=path,
        query='',
        headers={name.replace('_', '-'): text for name, text in headers.items()},
        body=b'',
        client_ip='127.0.0.1',
        received_s=timer.now_s(),
        deadline_s=timer.now_s() + left_s,
        service=VIEW.services['kursbuchung'],
        route=None,
        organisation=None,
        key_hash='',
    )


def run_exchange(server, use):
    """Call `use` with a function that forwards to the raw server."""

    async def use_without_forwarder(forward, forwarder):
        await use(forward)

    run_exchange_with_forwarder(server, use_without_forwarder)


def run_exchange_with_forwarder(server, use):
    """Call `use` with a function that forwards to the server, and the forwarder."""

    async def main():
        kernel = FakeKernel()
        kernel.register(BootTimer())
        kernel.register(
            StubService('servers', record_leaving=lambda name, evidence: None)
        )
        forwarder = Forwarder()
        await forwarder.start(kernel)
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        backend = BackendServer(
            name='kb-1',
            url=f'http://127.0.0.1:{port}',
            failure_domain='muenchen-1',
            slots=1,
            connections=10,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.serve)

            async def forward(request):
                return await forwarder.forward(request, backend)

            await use(forward, forwarder)
            tasks.cancel_scope.cancel()
        await forwarder.stop(0)

    anyio.run(main)


class TestFailures:
    """Guard against `run=no` after bytes may have reached the backend server."""

    @pytest.mark.parametrize(
        ('sent', 'kind'),
        [
            (b'', ErrorKind.OUTCOME_UNKNOWN),
            (b'HTTP/1.1 200', ErrorKind.OUTCOME_UNKNOWN),
            (b'nonsense\r\n\r\n', ErrorKind.OUTCOME_UNKNOWN),
            (
                STATUS_LINE + b'content-length: 9\r\n\r\nbook',
                ErrorKind.ANSWER_TRUNCATED,
            ),
            (
                STATUS_LINE + b'transfer-encoding: chunked\r\n\r\n4\r\nbook\r\n',
                ErrorKind.ANSWER_TRUNCATED,
            ),
            (STATUS_LINE + b'\r\nbook', ErrorKind.ANSWER_TRUNCATED),
            (SHED_ANSWER, ErrorKind.BACKEND_SHED),
        ],
    )
    def test_incomplete_and_shed_answers(self, sent, kind):
        """The server received the request, and its response is incomplete."""

        async def use(forward):
            answer = await forward(make_request())
            assert answer.kind is kind
            assert (answer.run is Executed.NO) == (kind is ErrorKind.BACKEND_SHED)

        run_exchange(RawServer(sent, closes=True), use)

    @pytest.mark.parametrize(
        'part', [b'', STATUS_LINE + b'content-length: 9\r\n\r\nbook']
    )
    def test_deadline_ends_a_slow_answer(self, part):
        """A slow server must not hold the request past its deadline."""

        async def use(forward):
            answer = await forward(make_request(left_s=0.3))
            assert answer.kind is ErrorKind.ANSWER_TIMED_OUT
            assert answer.run is Executed.UNKNOWN

        run_exchange(RawServer(part), use)

    @pytest.mark.parametrize('header', ['caf\xe9', 'a\nb'])
    def test_unsendable_headers_do_not_raise(self, header):
        """A header that cannot be sent must not raise an exception."""

        async def use(forward):
            answer = await forward(make_request(x_name=header))
            if isinstance(answer, Failure):
                assert answer.kind is ErrorKind.CONNECT_FAILED or answer.run
            else:
                assert answer.body == b'book'

        run_exchange(RawServer(COMPLETE_ANSWER), use)

    def test_reused_connection_that_the_server_closes(self):
        """A reused connection that closes must cause no second run and no `run=no`."""

        server = ClosesOnSecond()

        async def use(forward):
            assert (await forward(make_request())).body == b'book'
            answer = await forward(make_request())
            assert answer.run is Executed.UNKNOWN
            assert len(server.requests) == 1

        run_exchange(server, use)

    def test_cancelled_request_reaches_the_server(self):
        """Cancelling an idempotent request must close its connection.

        Otherwise the abandoned request keeps its slot at the backend server.
        """
        server = RawServer(waits=True)

        async def use(forward):
            with anyio.move_on_after(0.2):
                await forward(make_request('GET'))
            with anyio.fail_after(30):
                await server.was_dropped.wait()

        run_exchange(server, use)


class ManyChunks(httpx.AsyncByteStream):
    """Yield chunks that are all available without waiting."""

    async def __aiter__(self):
        for _ in range(5000):
            yield b'ab'


class TestFairness:
    """Guard against a response that blocks the event loop for other requests."""

    def test_answer_in_many_chunks_yields_to_other_tasks(self):
        """Reading many small chunks must yield to other tasks regularly."""
        other_task_runs = 0

        async def use(forward, forwarder):
            nonlocal other_task_runs
            answers = []
            forwarder._client = httpx.AsyncClient(
                transport=httpx.MockTransport(
                    lambda request: httpx.Response(
                        200,
                        headers={'transfer-encoding': 'chunked'},
                        stream=ManyChunks(),
                    )
                )
            )

            async def take():
                answers.append(await forward(make_request()))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(take)
                while not answers:
                    other_task_runs += 1
                    await lowlevel.checkpoint()
            assert answers[0].body == b'ab' * 5000

        run_exchange_with_forwarder(RawServer(), use)
        assert other_task_runs >= 50


class EndlessInterim(RawServer):
    """Send interim responses until the connection is closed."""

    async def _serve(self, stream):
        await stream.receive()
        while True:
            await stream.send(b'HTTP/1.1 102 X\r\n\r\n' * 4096)


class TestInterimResponses:
    """Guard against interim responses that occupy the gate until the deadline."""

    def test_endless_interim_responses_are_given_up(self):
        server = EndlessInterim()

        async def use(forward):
            with anyio.fail_after(20):
                failure = await forward(make_request(left_s=60))
                assert failure.kind is ErrorKind.OUTCOME_UNKNOWN
                await server.was_dropped.wait()

        run_exchange(server, use)

    def test_final_response_after_interim_ones_is_returned(self):
        interim = b'HTTP/1.1 102 X\r\n\r\n' * 1000
        server = RawServer(interim + COMPLETE_ANSWER, interim + COMPLETE_ANSWER)

        async def use(forward):
            for _ in range(2):
                assert (await forward(make_request())).body == b'book'
            assert server.connections == 1

        run_exchange(server, use)


class TestAnswers:
    """Guard against bytes of one response that end up in another."""

    def test_connection_is_not_kept_after_a_refusal(self):
        """A copy of the refusal would state that the next request has not run."""
        server = RawServer(SHED_ANSWER, COMPLETE_ANSWER)

        async def use(forward):
            assert (await forward(make_request())).kind is ErrorKind.BACKEND_SHED
            assert (await forward(make_request())).body == b'book'
            assert server.connections == 2

        run_exchange(server, use)

    def test_late_copy_of_an_answer_is_not_returned_as_the_next_answer(self):
        """The copy arrives when the connection is in use again."""
        own_answer = COMPLETE_ANSWER.replace(b'book', b'page')
        server = RawServer(COMPLETE_ANSWER, COMPLETE_ANSWER + own_answer, own_answer)

        async def use(forward):
            assert (await forward(make_request())).body == b'book'
            answer = await forward(make_request())
            assert isinstance(answer, Failure) or answer.body == b'page'

        run_exchange(server, use)

    def test_surplus_bytes_are_not_returned_as_the_next_answer(self):
        """A second response to a request must not be sent to another caller."""
        second_answer = COMPLETE_ANSWER.replace(b'book', b'evil')
        server = RawServer(COMPLETE_ANSWER + second_answer, COMPLETE_ANSWER)

        async def use(forward):
            assert (await forward(make_request())).body == b'book'
            assert (await forward(make_request())).body == b'book'
            assert server.connections == 2

        run_exchange(server, use)

    def test_cookie_of_one_answer_is_not_sent_with_the_request_of_another_caller(self):
        """The backend server would take the second caller for the first one."""
        cookie = b'HTTP/1.1 200 OK\r\nset-cookie: sid=first\r\n'
        server = RawServer(cookie + b'content-length: 0\r\n\r\n', COMPLETE_ANSWER)

        async def use(forward):
            first = await forward(make_request())
            assert ('set-cookie', 'sid=first') in first.headers
            await forward(make_request())
            assert b'sid=first' not in server.requests[1]

        run_exchange(server, use)

    @pytest.mark.parametrize(
        ('method', 'sent', 'length'),
        [
            ('HEAD', STATUS_LINE + b'content-length: 9\r\n\r\n', '9'),
            ('GET', b'HTTP/1.1 204 No Content\r\n\r\n', None),
            ('GET', b'HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n', '9'),
        ],
    )
    def test_answers_without_a_body(self, method, sent, length):
        """A declared length without a body is valid for these responses."""

        async def use(forward):
            answer = await forward(make_request(method))
            assert answer.body == b''
            assert dict(answer.headers).get('content-length') == length

        run_exchange(RawServer(sent), use)

    @pytest.mark.parametrize('is_short', [False, True])
    def test_long_answers(self, is_short):
        """A stream that ends early must raise, so that the caller notices."""
        body = bytes(LONG_BYTES - is_short)
        server = RawServer(STATUS_LINE + LONG_HEADERS + body, closes=True)

        async def use(forward):
            answer = await forward(make_request())
            chunks = []
            has_raised = False
            try:
                async for chunk in answer.stream:
                    chunks.append(chunk)
            except Exception:
                has_raised = True
            await answer.close()
            assert has_raised is is_short
            assert is_short or len(b''.join(chunks)) == LONG_BYTES

        run_exchange(server, use)


class TestAbandonedStreams:
    """Guard against buffers that stay until the garbage collector runs."""

    def test_closed_stream_holds_no_buffer(self):
        body = bytes(LONG_BYTES)
        server = RawServer(STATUS_LINE + LONG_HEADERS + body)
        held_bytes = []

        async def use(forward):
            tracemalloc.start()
            response = await forward(make_request())
            chunk = await anext(response.stream)
            assert 0 < len(chunk) < LONG_BYTES / 2
            await response.close()
            held_bytes.append(tracemalloc.get_traced_memory()[0])
            tracemalloc.stop()

        run_exchange(server, use)
        assert held_bytes[0] < LONG_BYTES / 2


class TestRetries:
    """Guard against a second execution, and against retry storms."""

    @pytest.mark.parametrize('kind', list(ErrorKind))
    def test_repeatable_kinds(self, kind):
        """A request that may have run is retried only if it is idempotent."""
        run = ERROR_RESPONSES[kind].run
        if is_repeatable(kind, run, is_idempotent=False):
            assert run is Executed.NO
        assert not is_repeatable(kind, Executed.UNKNOWN, is_idempotent=False)

    def test_budget_limits_retries(self):
        """If every attempt fails, retries are limited to a share of the requests."""
        budget = RetryBudget(0)
        retries = 0
        for _ in range(1000):
            budget.earn(0)
            retries += budget.spend(0)
        assert retries <= 10 + 0.2 * 1000
