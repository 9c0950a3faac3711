"""Serve the HTTP interface for callers."""

import time
from http import HTTPStatus
from urllib.parse import parse_qs

import anyio
import msgspec

from cicadadoor.errors import ERROR_RESPONSES, ErrorKind, Executed, Failure
from cicadadoor.gate.caller_responses import send_steered_response
from cicadadoor.gate.lookup import Lookup
from cicadadoor.gate.paths import path_at_service
from cicadadoor.gate.pipeline import Pipeline, RawRequest
from cicadadoor.gate.request import SteeredResponse
from cicadadoor.gate.state import GateState
from cicadadoor.http_headers import JSON_HEADER
from cicadadoor.http_server import (
    HttpServer,
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
from cicadadoor.open_requests import OpenRequests
from cicadadoor.telemetry import logs, metrics, tracing
from cicadadoor.timer import TimerService

log = logs.logger('gate')

MAX_REQUEST_BYTES = 16_777_216
_RESERVED_PREFIX = '/cicadadoor/v1/'
_SERVICE_PREFIX = '/s/'
_encoder = msgspec.json.Encoder()


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the JSON body of an error response."""

    error: str
    run: str
    detail: str
    retry_after_ms: int
    hosts: list[str]


class CallerServer(Service):
    """Serve callers with hypercorn in the event loop of this process."""

    name = 'callers'

    def __init__(self) -> None:
        self._state: GateState
        self._lookup: Lookup
        self._pipeline: Pipeline
        self._timer: TimerService
        self._server: HttpServer
        self._open_requests = OpenRequests()

    async def start(self, kernel: Kernel) -> None:
        """Listen on the address for callers."""
        self._state = kernel.find('state')
        self._lookup = kernel.find('lookup')
        self._pipeline = kernel.find('pipeline')
        self._timer = kernel.find('timer')
        settings = self._state.settings
        self._server = HttpServer(
            self.handle,
            listen(str(settings.callers)),
            settings.tls_certificate_file,
            settings.tls_key_file,
        )
        self._state.is_bound = True
        kernel.spawn(self._server.serve)

    def work_left(self) -> int:
        """Return the number of requests whose response is not complete."""
        return len(self._open_requests)

    async def stop(self, grace_s: float) -> None:
        """Answer the remaining requests, stop listening and close connections."""
        # A second signal skips the phase of the shutdown that sets this.
        self._state.is_stopping = True
        await self._open_requests.cancel_all()
        await self._server.close()

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection scope."""
        if scope['type'] == 'lifespan':
            await handle_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        send_closing = with_connection_close(send, lambda: self._state.is_stopping)
        with self._open_requests.track():
            await self._dispatch(scope, receive, send_closing)

    async def _dispatch(self, scope: Scope, receive: Receive, send: Send) -> None:
        path: str = scope['path']
        if path.startswith(_SERVICE_PREFIX):
            await self._handle_steered(scope, receive, send)
        elif path == f'{_RESERVED_PREFIX}hosts':
            await self._send_lookup(scope, send)
        elif path == f'{_RESERVED_PREFIX}health':
            await self._send_health(send)
        elif path == f'{_RESERVED_PREFIX}metrics':
            await send_response(send, HTTPStatus.OK, [], metrics.exposition())
        else:
            failure = Failure(
                ErrorKind.BAD_REQUEST,
                f'unknown path {path[:100]!r}; services are under {_SERVICE_PREFIX}',
            )
            await self._send_failure(send, failure)

    async def _send_lookup(self, scope: Scope, send: Send) -> None:
        query = parse_qs(scope['query_string'].decode('latin-1'))
        client_ip = query.get('client', [_client_ip(scope)])[0]
        found = self._lookup.find_hosts(query.get('service', [''])[0], client_ip)
        if isinstance(found, Failure):
            metrics.LOOKUPS.labels(found.kind.value).inc()
            await self._send_failure(send, found)
            return
        metrics.LOOKUPS.labels('ok').inc()
        await send_response(send, HTTPStatus.OK, [JSON_HEADER], _encoder.encode(found))

    async def _send_health(self, send: Send) -> None:
        is_ready = self._state.takes_callers
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        await send_response(
            send, status, [JSON_HEADER], _encoder.encode({'ready': is_ready})
        )

    async def _handle_steered(self, scope: Scope, receive: Receive, send: Send) -> None:
        started_s = time.perf_counter()
        headers = _join_headers(scope)
        if isinstance(headers, Failure):
            await self._send_failure(send, headers)
            return
        body: bytes | Failure = Failure(
            ErrorKind.DRAINING,
            'this host shut down before it received the whole request',
        )
        with self._open_requests.cancellable():
            body = await _read_body(headers, receive)
        if isinstance(body, Failure):
            await self._send_failure(send, body)
            return
        service = scope['path'].removeprefix(_SERVICE_PREFIX).partition('/')[0]
        path = _path_at_service(scope, service)
        if isinstance(path, Failure):
            await self._send_failure(send, path)
            return
        raw = RawRequest(
            method=scope['method'],
            service=service,
            path=path,
            query=scope['query_string'].decode('latin-1'),
            headers=headers,
            body=body,
            client_ip=_client_ip(scope),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_on_disconnect, receive, tasks.cancel_scope)
            await self._run_steered(raw, headers, send)
            tasks.cancel_scope.cancel()
        metrics.REQUEST_SECONDS.labels('all').observe(time.perf_counter() - started_s)

    async def _run_steered(
        self,
        raw: RawRequest,
        headers: dict[str, str],
        send: Send,
    ) -> None:
        with tracing.record_span('gate', headers) as span:
            span.set_attribute('service', raw.service)
            response: SteeredResponse | Failure = Failure(
                ErrorKind.CUT_BY_STOP,
                'this host shut down before the request was answered',
            )
            with self._open_requests.cancellable():
                response = await self._pipeline.handle(raw)
            outcome = (
                response.kind.value if isinstance(response, Failure) else 'answered'
            )
            span.set_attribute('outcome', outcome)
        metrics.REQUESTS.labels(
            raw.service if outcome == 'answered' else '-', '-', outcome
        ).inc()
        if isinstance(response, Failure):
            await self._send_failure(send, response)
        else:
            await send_steered_response(send, response, self._timer)

    async def _send_failure(self, send: Send, failure: Failure) -> None:
        response = ERROR_RESPONSES[failure.kind]
        hosts: list[str] = []
        if failure.run is Executed.NO:
            hosts = self._lookup.other_urls()
        body = ErrorBody(
            error=failure.kind.value,
            run=failure.run.value,
            detail=failure.reason,
            retry_after_ms=failure.retry_after_ms,
            hosts=hosts,
        )
        headers = [JSON_HEADER, (b'x-cicadadoor-run', failure.run.value.encode())]
        await send_response(send, response.status, headers, _encoder.encode(body))


async def _read_body(headers: dict[str, str], receive: Receive) -> bytes | Failure:
    parts: list[bytes] = []
    size_bytes = 0
    while True:
        event = await receive()
        if event['type'] == 'http.disconnect':
            return Failure(
                ErrorKind.BAD_REQUEST,
                f'the caller disconnected after {size_bytes} bytes of the body',
            )
        parts.append(event.get('body', b''))
        size_bytes += len(parts[-1])
        if size_bytes > MAX_REQUEST_BYTES:
            return Failure(
                ErrorKind.REQUEST_TOO_LARGE,
                f'the request body exceeds {MAX_REQUEST_BYTES} bytes',
            )
        if not event.get('more_body'):
            break
    declared = headers.get('content-length', '')
    if declared.isdecimal() and int(declared) != size_bytes:
        return Failure(
            ErrorKind.BAD_REQUEST,
            f'the request body has {size_bytes} bytes, but content-length is '
            f'{declared}',
        )
    return b''.join(parts)


def _join_headers(scope: Scope) -> dict[str, str] | Failure:
    headers: dict[str, str] = {}
    for raw_name, raw_value in scope['headers']:
        name = raw_name.decode('latin-1').lower()
        value = raw_value.decode('latin-1')
        if name in headers:
            separator = '; ' if name == 'cookie' else ', '
            value = f'{headers[name]}{separator}{value}'
        headers[name] = value
    return headers


def _path_at_service(scope: Scope, service: str) -> str | Failure:
    raw_path = scope.get('raw_path') or scope['path'].encode()
    path: str = raw_path.decode('latin-1').partition('?')[0]
    return path_at_service(path, f'{_SERVICE_PREFIX}{service}')


def _client_ip(scope: Scope) -> str:
    client = scope.get('client')
    return client[0] if client else ''
