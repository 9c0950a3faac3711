"""Send a request to a backend server and take its whole answer."""

from collections.abc import AsyncIterator
from http import HTTPStatus

import httpx

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
_MS_PER_S = 1000
_CONNECT_TIMEOUT_S = 1.0
_MAX_CONNECTIONS = 1000

# Headers that concern one connection only, or that the client library sets.
HOP_HEADERS = frozenset(
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
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


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
        """Send the request; a failure tells whether a byte may have left."""
        left_s = request.deadline_s - self._timer.now_s()
        if left_s <= 0:
            return Failure(ErrorKind.DEADLINE_PASSED, 'the deadline has passed')
        with tracing.hop('backend_server') as span:
            span.set_attribute('backend_server', server.name)
            outgoing = self._build(request, server, left_s)
            try:
                response = await self._client.send(outgoing, stream=True)
            except _NOT_SENT as error:
                if isinstance(error, httpx.ConnectError):
                    self._servers.note_leaving(server.name, Evidence.REFUSED)
                return Failure(
                    ErrorKind.CONNECT_FAILED,
                    f'backend server {server.name}: {type(error).__name__}',
                )
            except httpx.TimeoutException:
                return Failure(
                    ErrorKind.ANSWER_TIMED_OUT,
                    f'backend server {server.name} did not answer in time',
                )
            except httpx.HTTPError as error:
                return Failure(
                    ErrorKind.OUTCOME_UNKNOWN,
                    f'backend server {server.name}: {type(error).__name__}',
                )
            if response.headers.get('x-draining') == '1':
                self._servers.note_leaving(server.name, Evidence.ANSWER)
            return await self._take_answer(response, server)

    def _build(
        self,
        request: SteeredRequest,
        server: BackendServer,
        left_s: float,
    ) -> httpx.Request:
        headers = {
            name: content
            for name, content in request.headers.items()
            if name not in HOP_HEADERS
        }
        headers['accept-encoding'] = headers.get('accept-encoding', 'identity')
        headers['x-organisation'] = request.organisation_name
        headers['x-request-id'] = request.request_id
        headers['x-deadline-ms'] = str(int(left_s * _MS_PER_S))
        tracing.inject(headers)
        return self._client.build_request(
            request.method,
            f'{server.url}{request.target}',
            headers=headers,
            content=request.body or None,
            timeout=httpx.Timeout(left_s, connect=min(left_s, _CONNECT_TIMEOUT_S)),
        )

    async def _take_answer(
        self,
        response: httpx.Response,
        server: BackendServer,
    ) -> SteeredAnswer | Failure:
        if _is_shed(response):
            await response.aclose()
            return Failure(
                ErrorKind.BACKEND_SHED,
                f'backend server {server.name} shed the request',
            )
        buffered: list[bytes] = []
        size_bytes = 0
        chunks = response.aiter_raw()
        try:
            async for chunk in chunks:
                buffered.append(chunk)
                size_bytes += len(chunk)
                if size_bytes > MAX_BUFFERED_BYTES:
                    return _streamed(response, buffered, chunks)
        except httpx.HTTPError as error:
            await response.aclose()
            return Failure(
                ErrorKind.ANSWER_TRUNCATED,
                f'backend server {server.name}: {type(error).__name__} after '
                f'{size_bytes} bytes of the answer',
            )
        await response.aclose()
        return SteeredAnswer(
            status=response.status_code,
            headers=_kept_headers(response),
            body=b''.join(buffered),
        )


def _streamed(
    response: httpx.Response,
    buffered: list[bytes],
    rest: AsyncIterator[bytes],
) -> SteeredAnswer:
    async def stream() -> AsyncIterator[bytes]:
        for chunk in buffered:
            yield chunk
        async for chunk in rest:
            yield chunk

    return SteeredAnswer(
        status=response.status_code,
        headers=_kept_headers(response),
        stream=stream(),
        on_close=response.aclose,
    )


def _kept_headers(response: httpx.Response) -> list[tuple[str, str]]:
    return [
        (name, content)
        for name, content in response.headers.multi_items()
        if name not in HOP_HEADERS
    ]


def _is_shed(response: httpx.Response) -> bool:
    is_unavailable = response.status_code == HTTPStatus.SERVICE_UNAVAILABLE
    return is_unavailable and response.headers.get('x-shed') == 'not-run'
