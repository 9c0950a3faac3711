"""Serve callers, directory lookups, readiness checks and metrics over HTTP."""

from http import HTTPStatus
from urllib.parse import parse_qs

import anyio
import msgspec

from cicadadoor.entry.admission import Admission
from cicadadoor.entry.directory import Directory
from cicadadoor.entry.dispatch import Dispatcher
from cicadadoor.entry.forwarding import HeaderCodec
from cicadadoor.entry.messages import BackendResponse, CallerRequest
from cicadadoor.entry.policy import ActivePolicy
from cicadadoor.entry.quarantine import CrashWatch
from cicadadoor.entry.routed_request import RoutedRequest
from cicadadoor.entry.state import EntryState
from cicadadoor.entry.turns import TurnQueue
from cicadadoor.errors import ERROR_RESPONSES, ErrorKind, Executed, Failure
from cicadadoor.http_server import (
    JSON_HEADER,
    HttpServer,
    OpenRequests,
    Receive,
    Scope,
    Send,
    cancel_on_disconnect,
    handle_lifespan,
    listen,
    send_response,
    with_connection_close,
)
from cicadadoor.kernel import Kernel, Service
from cicadadoor.telemetry import logs, metrics, tracing
from cicadadoor.timer import TimerService

log = logs.logger('entry')

_MS_PER_S = 1000
# Time limit for closing idle connections once no request is in flight.
_CLOSE_TIMEOUT_S = 0.2
_DEFAULT_MAX_BODY_BYTES = 67_108_864
# Hypercorn itself rejects a request head above its limit, which is the operator's
# header limit plus this allowance for the request line.
_HEAD_MARGIN_BYTES = 8192
# A request takes about 3 ms of processor time on the users' hosts.
_TURNS_PER_PASS = 8
_encoder = msgspec.json.Encoder()


class Paths:
    """Hold the URL paths that the platform requests from this host."""

    __slots__ = ('directory', 'metrics', 'readiness')

    def __init__(self, *, directory: str, readiness: str, metrics: str) -> None:
        self.directory = directory
        self.readiness = readiness
        self.metrics = metrics


class EntryServer(Service):
    """Serve all addresses of the host with Hypercorn in the process's event loop."""

    name = 'server'

    def __init__(self, header_codec: HeaderCodec, paths: Paths) -> None:
        self._header_codec = header_codec
        self._paths = paths
        self._state: EntryState
        self._timer: TimerService
        self._policy: ActivePolicy
        self._directory: Directory
        self._admission: Admission
        self._dispatcher: Dispatcher
        self._crashes: CrashWatch
        self._http: HttpServer
        self._callers_port = 0
        self._open = OpenRequests()
        self._turns = TurnQueue(_TURNS_PER_PASS)

    async def start(self, kernel: Kernel) -> None:
        """Listen on all addresses."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._policy = kernel.find('policy')
        self._directory = kernel.find('directory')
        self._admission = kernel.find('admission')
        self._dispatcher = kernel.find('dispatcher')
        self._crashes = kernel.find('quarantine')
        settings = self._state.settings
        self._callers_port = settings.callers.port
        addresses = [
            settings.callers,
            settings.directory,
            settings.readiness,
            settings.metrics,
        ]
        bound = {str(address): None for address in addresses}
        self._http = HttpServer(
            self.handle,
            [listen(address) for address in bound],
            close_s=_CLOSE_TIMEOUT_S,
        )
        kernel.spawn(self._http.serve)

    def work_left(self) -> int:
        """Return how many requests have not been answered completely."""
        return len(self._open)

    async def stop(self, grace_s: float) -> None:
        """Answer the remaining requests, stop listening and close the connections."""
        await self._open.cancel_all()
        await self._http.close()

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        try:
            await self._handle(scope, receive, send)
        except Exception:
            # Hypercorn answers 500 and does not log the error.
            log.exception('request_fault', path=scope.get('path'))
            raise

    async def _handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope['type'] == 'lifespan':
            await handle_lifespan(receive, send)
        elif scope['type'] == 'http' and scope['server'][1] == self._callers_port:
            closing = with_connection_close(send, lambda: self._state.is_leaving)
            with self._open.track():
                await self._serve_caller(scope, receive, closing)
        elif scope['type'] == 'http':
            await self._serve_platform(scope, send)

    async def _serve_platform(self, scope: Scope, send: Send) -> None:
        path = scope['path']
        if path == self._paths.readiness:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            is_informed = self._policy.current is not None and self._crashes.is_informed
            if is_informed and not self._state.is_leaving:
                status = HTTPStatus.OK
            await send_response(send, status, [], b'')
        elif path == self._paths.directory:
            await self._look_up(scope, send)
        elif path == self._paths.metrics:
            await send_response(send, HTTPStatus.OK, [], metrics.exposition())
        else:
            await send_response(send, HTTPStatus.NOT_FOUND, [], b'')

    async def _look_up(self, scope: Scope, send: Send) -> None:
        query = parse_qs(scope['query_string'].decode('latin-1'))
        answer = self._directory.look_up(
            query.get('region', [''])[0],
            query.get('zone', [''])[0],
        )
        if isinstance(answer, Failure):
            metrics.LOOKUPS.labels(answer.kind.value).inc()
            await send_response(send, ERROR_RESPONSES[answer.kind].status, [], b'')
            return
        metrics.LOOKUPS.labels('ok').inc()
        await send_response(send, HTTPStatus.OK, [JSON_HEADER], _encoder.encode(answer))

    async def _serve_caller(self, scope: Scope, receive: Receive, send: Send) -> None:
        request = self._header_codec.read_request(
            scope['method'],
            _target(scope),
            scope['headers'],
        )
        body: bytes | Failure = Failure(
            ErrorKind.DRAINING,
            'host stopped before the request was received completely',
            1,
        )
        with self._open.cancellable():
            body = await _read_body(receive, self._body_limit_bytes())
        received_s = self._timer.now_s()
        if isinstance(body, Failure):
            self._record_outcome(
                request, body, body.kind.value, body.reason, received_s
            )
            await self._send_failure(send, body)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_on_disconnect, receive, tasks.cancel_scope)
            with self._open.cancellable():
                await self._turns.wait()
            await self._respond(request, body, received_s, send, tasks.cancel_scope)
            tasks.cancel_scope.cancel()

    async def _respond(
        self,
        request: CallerRequest,
        body: bytes,
        received_s: float,
        send: Send,
        caller_scope: anyio.CancelScope,
    ) -> None:
        routed = self._admit(request, body, received_s)
        answer: BackendResponse | Failure
        outcome, detail = '', ''
        try:
            if isinstance(routed, Failure):
                answer = routed
            else:
                with tracing.record_span('entry'):
                    answer = await self._run(routed)
            if isinstance(answer, Failure):
                outcome, detail = answer.kind.value, answer.reason
                await self._send_failure(send, answer)
            else:
                outcome, detail = str(answer.head.status), ''
                await send_response(
                    send, answer.head.status, answer.head.headers, answer.body
                )
        finally:
            if not outcome and caller_scope.cancel_called:
                outcome, detail = 'left', 'the caller disconnected'
            self._record_outcome(
                request, routed, outcome or 'unanswered', detail, received_s
            )

    def _admit(
        self,
        request: CallerRequest,
        body: bytes,
        received_s: float,
    ) -> RoutedRequest | Failure:
        try:
            return self._admission.admit(request, body, received_s)
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

    def _record_outcome(
        self,
        request: CallerRequest,
        routed: RoutedRequest | Failure,
        outcome: str,
        detail: str,
        received_s: float,
    ) -> None:
        took_s = self._timer.now_s() - received_s
        if isinstance(routed, Failure):
            metrics.ENTRY_REQUESTS.labels('-', outcome, '0').inc()
            log.info(
                'request_refused',
                request_id=request.request_id,
                outcome=outcome,
                detail=detail,
                policy=self._policy_version(),
            )
            return
        metrics.ENTRY_REQUESTS.labels(
            routed.service, outcome, str(routed.attempts)
        ).inc()
        metrics.ENTRY_SECONDS.labels(routed.service).observe(took_s)
        is_answered = outcome.isdigit()
        log.info(
            'request_answered' if is_answered else 'request_failed',
            request_id=request.request_id,
            outcome=outcome,
            detail=detail,
            route=routed.route.name,
            service=routed.service,
            organisation=routed.organisation_name,
            affinity=routed.request.affinity_key,
            backend_servers=','.join(routed.tried),
            attempts=routed.attempts,
            took_ms=int(took_s * _MS_PER_S),
            policy=self._policy_version(),
            policy_age_ms=int(self._policy.age_s * _MS_PER_S),
        )

    def _policy_version(self) -> int:
        current = self._policy.current
        return current.version if current else 0

    def _body_limit_bytes(self) -> int:
        current = self._policy.current
        if current is None:
            return _DEFAULT_MAX_BODY_BYTES
        self._http.set_limits(
            current.limits.idle_timeout_ms / _MS_PER_S,
            current.limits.max_header_bytes + _HEAD_MARGIN_BYTES,
        )
        return current.limits.max_body_bytes

    async def _send_failure(
        self,
        send: Send,
        failure: Failure,
    ) -> None:
        status = ERROR_RESPONSES[failure.kind].status
        headers = [JSON_HEADER]
        if failure.run is Executed.NO and failure.retry_after_ms:
            delay_s = failure.retry_after_ms / _MS_PER_S
            headers.append(self._header_codec.retry_after(delay_s))
        body = _encoder.encode({'error': failure.kind.value, 'run': failure.run.value})
        await send_response(send, status, headers, body)


async def _read_body(receive: Receive, limit_bytes: int) -> bytes | Failure:
    parts: list[bytes] = []
    size_bytes = 0
    while True:
        event = await receive()
        if event['type'] == 'http.disconnect':
            return Failure(ErrorKind.BAD_REQUEST, 'the caller disconnected')
        parts.append(event.get('body', b''))
        size_bytes += len(parts[-1])
        if size_bytes > limit_bytes:
            return Failure(
                ErrorKind.REQUEST_TOO_LARGE,
                f'request body exceeds the limit of {limit_bytes} bytes',
            )
        if not event.get('more_body'):
            return b''.join(parts)


def _target(scope: Scope) -> bytes:
    raw_path = scope.get('raw_path') or scope['path'].encode()
    path = bytes(raw_path).partition(b'?')[0]
    query = scope['query_string']
    return path + b'?' + query if query else path
