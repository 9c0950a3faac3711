"""Send a request to a backend server and take its whole answer."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any

import anyio
import httpx
from anyio import lowlevel

from cicadadoor.config.model import BackendServer
from cicadadoor.decisions.leaving import Evidence
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.connection_pool import BackendTransport
from cicadadoor.gate.request import SteeredAnswer, SteeredRequest
from cicadadoor.gate.servers import BackendServers
from cicadadoor.kernel import Kernel, Service
from cicadadoor.telemetry import tracing
from cicadadoor.timer import TimerService

MAX_BUFFERED_BYTES = 1_048_576
# A stream of small chunks lets other requests go on after so many of them.
_CHUNKS_PER_CHECKPOINT = 64
_MS_PER_S = 1000
_CONNECT_TIMEOUT_S = 1.0
_MAX_CONNECTIONS = 1000
_FIRST_BYTES_EVENT = 'http11.send_request_headers.started'
_CLOSED_EVENT = 'http11.response_closed.started'

# Headers that concern one connection only, or that the client library sets.
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
# Headers that this system speaks with callers or sets itself.
_SYSTEM_HEADERS = frozenset(('x-organisation', 'x-request-id', 'x-deadline-ms'))
_STATUSES_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class SendState:
    """Note whether a byte of one request may have left, and guard its connection."""

    __slots__ = ('may_have_sent', 'response')

    def __init__(self) -> None:
        self.may_have_sent = False
        self.response: httpx.Response | None = None

    async def trace(self, event_name: str, info: dict[str, Any]) -> None:
        """Take an event of the client library."""
        if event_name == _FIRST_BYTES_EVENT:
            self.may_have_sent = True
        elif event_name == _CLOSED_EVENT and self.response is not None:
            # Bytes after the answer would be taken as the answer to the next request
            # on this connection.
            if has_trailing_data(self.response):
                await self.response.extensions['network_stream'].aclose()


class Forwarder(Service):
    """Forward over a kept-alive pool; nothing is ever sent twice here."""

    name = 'forwarder'

    def __init__(self) -> None:
        self._timer: TimerService
        self._servers: BackendServers
        self._client: httpx.AsyncClient

    async def start(self, kernel: Kernel) -> None:
        """Open the pool."""
        self._timer = kernel.find('timer')
        self._servers = kernel.find('servers')
        self._client = httpx.AsyncClient(
            transport=BackendTransport(_MAX_CONNECTIONS),
            follow_redirects=False,
            trust_env=False,
        )

    async def stop(self, grace_s: float) -> None:
        """Close the pool."""
        await self._client.aclose()

    async def forward(
        self,
        request: SteeredRequest,
        server: BackendServer,
    ) -> SteeredAnswer | Failure:
        """Send the request; a failure tells whether a byte may have left.

        The answer is whole, or a stream if it is longer than MAX_BUFFERED_BYTES. All
        of it has to come within the request's deadline.
        """
        left_s = request.deadline_s - self._timer.now_s()
        if left_s <= 0:
            return Failure(ErrorKind.DEADLINE_PASSED, 'the deadline has passed')
        send_state = SendState()
        with tracing.record_span('backend_server') as span:
            span.set_attribute('backend_server', server.name)
            try:
                outgoing = self._build(request, server, left_s, send_state)
            except (httpx.InvalidURL, ValueError) as error:
                return Failure(ErrorKind.BAD_REQUEST, f'the request: {error}')
            try:
                with anyio.fail_after(left_s):
                    return await self._exchange(request, outgoing, server, send_state)
            except (TimeoutError, httpx.HTTPError) as error:
                if isinstance(error, httpx.ConnectError):
                    self._servers.note_leaving(server.name, Evidence.REFUSED)
                return _failure_of(server, send_state, error)

    def _build(
        self,
        request: SteeredRequest,
        server: BackendServer,
        left_s: float,
        send_state: SendState,
    ) -> httpx.Request:
        headers = {
            name: content
            for name, content in request.headers.items()
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
                (name.encode('latin-1'), content.encode('latin-1'))
                for name, content in headers.items()
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
    ) -> SteeredAnswer | Failure:
        response = await self._client.send(outgoing, stream=True)
        send_state.response = response
        if response.headers.get('x-draining') == '1':
            self._servers.note_leaving(server.name, Evidence.ANSWER)
        is_kept_open = False
        try:
            answer = await _read_answer(request, response, server)
            is_kept_open = not isinstance(answer, Failure) and bool(answer.stream)
        finally:
            if not is_kept_open:
                await response.aclose()
        return answer


async def _read_answer(
    request: SteeredRequest,
    response: httpx.Response,
    server: BackendServer,
) -> SteeredAnswer | Failure:
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
            f'backend server {server.name} sent neither a length nor chunks, so that '
            'a truncated answer could not be told from a whole one',
        )
    # One piece of memory: small chunks as objects of their own take many times their
    # length.
    buffered = bytearray()
    chunks = _with_checkpoints(response.aiter_raw())
    try:
        async for chunk in chunks:
            buffered += chunk
            if len(buffered) > MAX_BUFFERED_BYTES:
                return _streaming_answer(request, response, bytes(buffered), chunks)
    except httpx.HTTPError as error:
        return Failure(
            ErrorKind.ANSWER_TRUNCATED,
            f'backend server {server.name}: {type(error).__name__} after '
            f'{len(buffered)} bytes of the answer',
        )
    return SteeredAnswer(
        status=response.status_code,
        headers=_forwarded_headers(response, keeps_length=not has_body),
        body=bytes(buffered),
    )


async def _with_checkpoints(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    # The client library hands over what has come without a turn for other tasks.
    count = 0
    async for chunk in chunks:
        yield chunk
        count += 1
        if count % _CHUNKS_PER_CHECKPOINT == 0:
            await lowlevel.checkpoint()


def has_trailing_data(response: httpx.Response) -> bool:
    """Tell whether the connection holds bytes beyond the answer.

    The client library has no public access to its parser.
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


def _streaming_answer(
    request: SteeredRequest,
    response: httpx.Response,
    buffered: bytes,
    rest: AsyncIterator[bytes],
) -> SteeredAnswer:
    # The client library raises an error when the body is shorter than declared.
    async def stream() -> AsyncIterator[bytes]:
        yield buffered
        async for chunk in rest:
            yield chunk

    return SteeredAnswer(
        status=response.status_code,
        headers=_forwarded_headers(response, keeps_length=True),
        stream=stream(),
        on_close=response.aclose,
        deadline_s=request.deadline_s,
    )


def _forwarded_headers(
    response: httpx.Response,
    *,
    keeps_length: bool,
) -> list[tuple[str, str]]:
    headers = [
        (name.decode('latin-1').lower(), content.decode('latin-1'))
        for name, content in response.headers.raw
    ]
    dropped = HOP_BY_HOP_HEADERS
    if keeps_length and response.status_code != HTTPStatus.NO_CONTENT:
        dropped -= {'content-length'}
    return [(name, content) for name, content in headers if name not in dropped]


def _has_body_framing(response: httpx.Response) -> bool:
    names = response.headers
    return 'content-length' in names or 'transfer-encoding' in names


def _is_shed(response: httpx.Response) -> bool:
    is_unavailable = response.status_code == HTTPStatus.SERVICE_UNAVAILABLE
    return is_unavailable and response.headers.get('x-shed') == 'not-run'
