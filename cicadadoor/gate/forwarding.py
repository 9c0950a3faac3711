"""Send a request to a backend server and read its response."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any

import anyio
import httpx
from anyio import lowlevel

from cicadadoor.config.model import BackendServer
from cicadadoor.decisions.leaving import Evidence
from cicadadoor.decisions.response_limits import find_status_fault
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.connection_pool import BackendTransport
from cicadadoor.gate.request import SteeredRequest, SteeredResponse
from cicadadoor.gate.servers import BackendServers
from cicadadoor.http_client import DirectClient, no_cookies
from cicadadoor.kernel import Kernel, Service
from cicadadoor.telemetry import tracing
from cicadadoor.timer import TimerService

MAX_BUFFERED_BYTES = 1_048_576
# What whoever abandons a stream may go on to hold.
_YIELDED_BYTES = 65_536
# After this many chunks, reading a response yields to other tasks.
_CHUNKS_PER_CHECKPOINT = 64
_MS_PER_S = 1000
_CONNECT_TIMEOUT_S = 1.0
_MAX_CONNECTIONS = 1000
_FIRST_BYTES_EVENT = 'http11.send_request_headers.started'
_CLOSED_EVENT = 'http11.response_closed.started'

# Hop-by-hop headers, and headers that the HTTP client sets.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# Headers that the gate sets itself; values from callers are dropped.
_SYSTEM_HEADERS = frozenset(('x-organisation', 'x-request-id', 'x-deadline-ms'))
_STATUSES_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class SendState:
    """Track whether bytes of a request may have been sent, and check its connection."""

    __slots__ = ('may_have_sent', 'response')

    def __init__(self) -> None:
        self.may_have_sent = False
        self.response: httpx.Response | None = None

    async def trace(self, event_name: str, info: dict[str, Any]) -> None:
        """Handle a trace event of httpcore."""
        if event_name == _FIRST_BYTES_EVENT:
            self.may_have_sent = True
        elif event_name == _CLOSED_EVENT and self.response is not None:
            # Bytes after the response would be read as the response to the next
            # request on this connection.
            if has_trailing_data(self.response):
                await self.response.extensions['network_stream'].aclose()


class Forwarder(Service):
    """Send requests over a connection pool, each at most once."""

    name = 'forwarder'

    def __init__(self) -> None:
        self._timer: TimerService
        self._servers: BackendServers
        self._client: httpx.AsyncClient

    async def start(self, kernel: Kernel) -> None:
        """Create the HTTP client and its connection pool."""
        self._timer = kernel.find('timer')
        self._servers = kernel.find('servers')
        self._client = DirectClient(
            transport=BackendTransport(_MAX_CONNECTIONS),
            cookies=no_cookies(),
            follow_redirects=False,
            trust_env=False,
        )

    async def stop(self, grace_s: float) -> None:
        """Close the HTTP client."""
        await self._client.aclose()

    async def forward(
        self,
        request: SteeredRequest,
        server: BackendServer,
    ) -> SteeredResponse | Failure:
        """Send the request; a failure says whether bytes may have been sent.

        A response longer than MAX_BUFFERED_BYTES is returned as a stream. The whole
        response has to arrive before the request's deadline.
        """
        left_s = request.deadline_s - self._timer.now_s()
        if left_s <= 0:
            return Failure(
                ErrorKind.DEADLINE_PASSED,
                'the deadline passed before the request was sent',
            )
        send_state = SendState()
        with tracing.record_span('backend_server') as span:
            span.set_attribute('backend_server', server.name)
            try:
                outgoing = self._build(request, server, left_s, send_state)
            except (httpx.InvalidURL, ValueError) as error:
                return Failure(ErrorKind.BAD_REQUEST, f'malformed request: {error}')
            try:
                with anyio.fail_after(left_s):
                    return await self._exchange(request, outgoing, server, send_state)
            except (TimeoutError, httpx.HTTPError) as error:
                if isinstance(error, httpx.ConnectError):
                    self._servers.record_leaving(server.name, Evidence.REFUSED)
                return _failure_of(server, send_state, error)

    def _build(
        self,
        request: SteeredRequest,
        server: BackendServer,
        left_s: float,
        send_state: SendState,
    ) -> httpx.Request:
        headers = {
            name: value
            for name, value in request.headers.items()
            if name not in HOP_BY_HOP_HEADERS and name not in _SYSTEM_HEADERS
        }
        headers['accept-encoding'] = headers.get('accept-encoding', 'identity')
        headers['x-organisation'] = request.organisation_name
        headers['x-request-id'] = request.request_id
        headers['x-deadline-ms'] = str(int(left_s * _MS_PER_S))
        tracing.inject(headers)
        return self._client.build_request(
            request.method,
            f'{server.url}{request.target}',
            headers=[
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in headers.items()
            ],
            content=request.body or None,
            timeout=httpx.Timeout(left_s, connect=min(left_s, _CONNECT_TIMEOUT_S)),
            extensions={'trace': send_state.trace},
        )

    async def _exchange(
        self,
        request: SteeredRequest,
        outgoing: httpx.Request,
        server: BackendServer,
        send_state: SendState,
    ) -> SteeredResponse | Failure:
        response = await self._client.send(outgoing, stream=True)
        send_state.response = response
        if response.headers.get('x-draining') == '1':
            self._servers.record_leaving(server.name, Evidence.ANSWER)
        is_kept_open = False
        try:
            steered = await _read_response(request, response, server)
            is_kept_open = not isinstance(steered, Failure) and bool(steered.stream)
        finally:
            if not is_kept_open:
                await response.aclose()
        return steered


async def _read_response(
    request: SteeredRequest,
    response: httpx.Response,
    server: BackendServer,
) -> SteeredResponse | Failure:
    fault = find_status_fault(response.status_code)
    if fault:
        return Failure(
            ErrorKind.ANSWER_INVALID,
            f'response of backend server {server.name}: {fault}',
        )
    if _is_shed(response):
        return Failure(
            ErrorKind.BACKEND_SHED,
            f'backend server {server.name} shed the request',
        )
    has_body = (
        request.method != 'HEAD' and response.status_code not in _STATUSES_WITHOUT_BODY
    )
    if has_body and not _has_body_framing(response):
        return Failure(
            ErrorKind.ANSWER_TRUNCATED,
            f'response of backend server {server.name} has neither content-length nor '
            'transfer-encoding, so truncation cannot be detected',
        )
    # One contiguous buffer: a list of small chunks would take many times their size.
    buffered = bytearray()
    chunks = _with_checkpoints(response.aiter_raw())
    try:
        async for chunk in chunks:
            buffered += chunk
            if len(buffered) > MAX_BUFFERED_BYTES:
                body = _StreamedBody(response, buffered, chunks)
                return _streamed_response(request, response, body)
    except httpx.HTTPError as error:
        return Failure(
            ErrorKind.ANSWER_TRUNCATED,
            f'response of backend server {server.name} truncated: '
            f'{type(error).__name__} after {len(buffered)} bytes',
        )
    return SteeredResponse(
        status=response.status_code,
        headers=_forwarded_headers(response, keeps_length=not has_body),
        body=bytes(buffered),
    )


async def _with_checkpoints(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    # The HTTP client returns buffered chunks without yielding to other tasks.
    count = 0
    async for chunk in chunks:
        yield chunk
        count += 1
        if count % _CHUNKS_PER_CHECKPOINT == 0:
            await lowlevel.checkpoint()


def has_trailing_data(response: httpx.Response) -> bool:
    """Return whether the connection holds bytes after the response.

    Uses private attributes, because httpx does not expose its parser.
    """
    stream: Any = response.stream
    while not hasattr(stream, '_connection') or not hasattr(stream, '_request'):
        stream = getattr(stream, '_httpcore_stream', None) or stream._stream
    surplus, _ = stream._connection._h11_state.trailing_data
    return bool(surplus)


def _failure_of(
    server: BackendServer, send_state: SendState, error: Exception
) -> Failure:
    reason = f'backend server {server.name}: {type(error).__name__}'
    if not send_state.may_have_sent:
        return Failure(ErrorKind.CONNECT_FAILED, reason)
    if isinstance(error, TimeoutError | httpx.TimeoutException):
        return Failure(ErrorKind.ANSWER_TIMED_OUT, reason)
    return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)


class _StreamedBody:
    """Yield a body whose start is buffered, and free the buffer once it is closed.

    An abandoned stream is freed only by the garbage collector, because tracebacks and
    pending generators refer to it. Its bytes must not stay in memory until then.
    """

    __slots__ = ('_buffered', '_response', '_rest')

    def __init__(
        self,
        response: httpx.Response,
        buffered: bytearray,
        rest: AsyncIterator[bytes],
    ) -> None:
        self._response = response
        self._buffered = buffered
        self._rest = rest

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield all chunks; raise httpx.HTTPError if the body is truncated."""
        start = 0
        while start < len(self._buffered):
            yield bytes(self._buffered[start : start + _YIELDED_BYTES])
            start += _YIELDED_BYTES
        self._buffered.clear()
        async for chunk in self._rest:
            yield chunk

    async def close(self) -> None:
        """Close the response and free the buffer."""
        self._buffered.clear()
        await self._response.aclose()


def _streamed_response(
    request: SteeredRequest,
    response: httpx.Response,
    body: _StreamedBody,
) -> SteeredResponse:
    return SteeredResponse(
        status=response.status_code,
        headers=_forwarded_headers(response, keeps_length=True),
        stream=body.stream(),
        on_close=body.close,
        deadline_s=request.deadline_s,
    )


def _forwarded_headers(
    response: httpx.Response,
    *,
    keeps_length: bool,
) -> list[tuple[str, str]]:
    headers = [
        (name.decode('latin-1').lower(), value.decode('latin-1'))
        for name, value in response.headers.raw
    ]
    dropped = HOP_BY_HOP_HEADERS
    if keeps_length and response.status_code != HTTPStatus.NO_CONTENT:
        dropped -= {'content-length'}
    return [(name, value) for name, value in headers if name not in dropped]


def _has_body_framing(response: httpx.Response) -> bool:
    names = response.headers
    return 'content-length' in names or 'transfer-encoding' in names


def _is_shed(response: httpx.Response) -> bool:
    is_unavailable = response.status_code == HTTPStatus.SERVICE_UNAVAILABLE
    return is_unavailable and response.headers.get('x-shed') == 'not-run'
