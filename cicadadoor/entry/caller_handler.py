"""Admit, forward and answer the requests of callers."""

import asyncio
from contextlib import closing
from http import HTTPStatus

import anyio
import msgspec

from cicadadoor.entry.admission import Admission
from cicadadoor.entry.dispatch import Dispatcher
from cicadadoor.entry.exchange import Exchange, RequestHandler, Response
from cicadadoor.entry.forwarding import HeaderCodec
from cicadadoor.entry.messages import BackendResponse, CallerRequest
from cicadadoor.entry.policy import ActivePolicy
from cicadadoor.entry.request_log import RequestLog
from cicadadoor.entry.routed_request import RoutedRequest
from cicadadoor.entry.state import EntryState
from cicadadoor.entry.turns import TurnQueue
from cicadadoor.errors import ERROR_RESPONSES, ErrorKind, Executed, Failure
from cicadadoor.http_headers import JSON_HEADER
from cicadadoor.kernel import Kernel
from cicadadoor.open_requests import OpenRequests
from cicadadoor.telemetry import logs, tracing
from cicadadoor.timer import TimerService

log = logs.logger('entry')

_MS_PER_S = 1000
# A request takes about 3 ms of processor time on the users' hosts.
_TURNS_PER_PASS = 8
_encoder = msgspec.json.Encoder()


class CallerHandler(RequestHandler):
    """Handle the requests of callers, each in a task of its own."""

    def __init__(
        self,
        kernel: Kernel,
        header_codec: HeaderCodec,
        open_requests: OpenRequests,
        max_running: int,
    ) -> None:
        self._max_running = max_running
        self._header_codec = header_codec
        self._open = open_requests
        self._state: EntryState = kernel.find('state')
        self._timer: TimerService = kernel.find('timer')
        self._policy: ActivePolicy = kernel.find('policy')
        self._admission: Admission = kernel.find('admission')
        self._dispatcher: Dispatcher = kernel.find('dispatcher')
        self._log = RequestLog(self._timer, self._policy)
        self._turns = TurnQueue(_TURNS_PER_PASS)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_full(self) -> bool:
        """Tell whether there are as many requests as connections to backend servers."""
        return len(self._open) >= self._max_running

    @property
    def must_close(self) -> bool:
        """Tell whether the host is leaving.

        A caller that reuses the connection would otherwise see it closed during its
        next request, and could not tell whether that request ran.
        """
        return self._state.is_leaving

    def begin(self, exchange: Exchange) -> None:
        """Parse the head of the request."""
        self._open.begin()
        request = self._header_codec.read_request(
            exchange.method, exchange.target, exchange.headers
        )
        exchange.request = request
        organisation = self._policy.find_organisation(request.api_key)
        if organisation is not None:
            exchange.owner = exchange.owner.with_organisation(organisation.name)

    def handle(self, exchange: Exchange) -> None:
        """Answer the request in a new task."""
        exchange.scope = anyio.CancelScope()
        task = asyncio.get_running_loop().create_task(self._serve(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def may_repeat(self, exchange: Exchange) -> bool:
        """Tell whether the route of the request allows several runs."""
        request = exchange.request
        if request is None:
            return False
        route = self._policy.find_route(request.host_name, request.path)
        return route is not None and route.is_idempotent

    def refuse(self, exchange: Exchange, failure: Failure) -> Response:
        """Return the response to a request that was refused before it was handled."""
        if exchange.request is not None:
            self._log.record(
                exchange.request,
                failure,
                failure.kind.value,
                failure.reason,
                self._timer.now_s(),
            )
        return self._failure_response(failure)

    def end(self, exchange: Exchange) -> None:
        """Stop counting the request."""
        self._open.end()

    def cancel_tasks(self) -> None:
        """End the requests that are still running."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, exchange: Exchange) -> None:
        scope, request = exchange.scope, exchange.request
        if scope is None or request is None:
            return
        try:
            with scope:
                # Once the body is complete, since the caller's deadline counts from it.
                received_s = self._timer.now_s()
                with self._open.cancellable():
                    await self._turns.wait()
                await self._respond(exchange, request, received_s)
        except Exception:
            log.exception('request_fault', path=request.path)
            if exchange.response is not None:
                # The response could not be written.
                exchange.connection.reset()
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            exchange.respond(Response(status, [], b'', closes=True))

    async def _respond(
        self,
        exchange: Exchange,
        request: CallerRequest,
        received_s: float,
    ) -> None:
        routed = self._admit(exchange, request, received_s)
        outcome, detail = '', ''
        try:
            answer: BackendResponse | Failure
            if isinstance(routed, Failure):
                answer = routed
            else:
                routed.reservation = exchange.response_reservation
                with tracing.record_span('entry'), closing(routed):
                    answer = await self._run(routed)
            if isinstance(answer, Failure):
                outcome, detail = answer.kind.value, answer.reason
                exchange.respond(self._failure_response(answer))
            else:
                outcome = str(answer.head.status)
                response = Response(
                    answer.head.status, answer.head.headers, answer.body
                )
                # The exchange frees the body from now on.
                answer.body = b''
                exchange.respond(response)
        finally:
            if not outcome and exchange.is_dropped:
                outcome, detail = 'left', 'the caller disconnected'
            self._log.record(
                request, routed, outcome or 'unanswered', detail, received_s
            )

    def _admit(
        self,
        exchange: Exchange,
        request: CallerRequest,
        received_s: float,
    ) -> RoutedRequest | Failure:
        try:
            return self._admission.admit(request, exchange.body.content, received_s)
        except Exception:
            log.exception('request_fault', request_id=request.request_id)
            return Failure(
                ErrorKind.INTERNAL,
                'unexpected error during admission, see the log',
                run=Executed.NO,
            )

    async def _run(self, routed: RoutedRequest) -> BackendResponse | Failure:
        if self._open.is_cancelled:
            return self._dispatcher.answer_at_shutdown(routed)
        try:
            with self._open.cancellable():
                return await self._dispatcher.run(routed)
        except Exception:
            log.exception('request_fault', request_id=routed.request.request_id)
            return Failure(
                ErrorKind.INTERNAL, 'unexpected error while forwarding, see the log'
            )
        return self._dispatcher.answer_at_shutdown(routed)

    def _failure_response(self, failure: Failure) -> Response:
        headers = [JSON_HEADER]
        if failure.run is Executed.NO and failure.retry_after_ms:
            delay_s = failure.retry_after_ms / _MS_PER_S
            headers.append(self._header_codec.retry_after(delay_s))
        body = _encoder.encode({'error': failure.kind.value, 'run': failure.run.value})
        return Response(ERROR_RESPONSES[failure.kind].status, headers, body)
