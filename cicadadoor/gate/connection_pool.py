"""Pool keep-alive connections per backend server."""

from collections.abc import AsyncIterator

import httpx

from cicadadoor.gate.head_limit import HeadLimit

# Less than 5 s, after which many servers close idle connections. A request sent while
# the server closes the connection has an unknown outcome.
_KEEP_ALIVE_S = 4.0


class _Connection:
    """Limit the response heads of a transport that has one connection."""

    __slots__ = ('_head_limit', '_transport', 'aclose')

    def __init__(self, transport: httpx.AsyncHTTPTransport) -> None:
        self._transport = transport
        self._head_limit = HeadLimit(transport)
        self.aclose = transport.aclose

    async def exchange(self, request: httpx.Request) -> httpx.Response:
        """Send a request, and return its response once the head has arrived."""
        with self._head_limit:
            return await self._transport.handle_async_request(request)


class BackendTransport(httpx.AsyncBaseTransport):
    """Send each request over an idle connection to its backend server.

    For each request, httpcore's pool scans all connections and polls their sockets,
    once for every connection; with 16 connections that took over 60% of the time of a
    request. Here each connection is a separate transport, and the most recently used
    one is reused first.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._idle: dict[str, list[_Connection]] = {}
        self._in_use: dict[str, int] = {}
        # Shared, because creating an SSL context for each connection takes 50 ms.
        self._tls_context = httpx.create_ssl_context(trust_env=False)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request; raise httpx.PoolTimeout if all connections are in use."""
        origin = _origin(request.url)
        connection = self._acquire(origin, request)
        try:
            response = await connection.exchange(request)
        except BaseException:
            await self._discard(origin, connection)
            raise
        stream = _ReleasingStream(self, origin, connection, response.stream)
        return httpx.Response(
            response.status_code,
            headers=response.headers,
            stream=stream,
            extensions=response.extensions,
        )

    async def aclose(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                await connection.aclose()
        self._idle.clear()

    async def release(
        self,
        origin: str,
        connection: _Connection,
        *,
        is_complete: bool,
    ) -> None:
        """Return a connection to the pool, or close it after a partial response."""
        if not is_complete:
            await self._discard(origin, connection)
            return
        self._in_use[origin] -= 1
        self._idle.setdefault(origin, []).append(connection)

    def _acquire(
        self,
        origin: str,
        request: httpx.Request,
    ) -> _Connection:
        in_use = self._in_use.get(origin, 0)
        if in_use >= self._max_connections:
            raise httpx.PoolTimeout(
                f'all {in_use} connections to {origin} are in use',
                request=request,
            )
        self._in_use[origin] = in_use + 1
        idle = self._idle.get(origin)
        if idle:
            return idle.pop()
        limits = httpx.Limits(
            max_connections=1,
            max_keepalive_connections=1,
            keepalive_expiry=_KEEP_ALIVE_S,
        )
        return _Connection(
            httpx.AsyncHTTPTransport(
                verify=self._tls_context,
                limits=limits,
                trust_env=False,
            )
        )

    async def _discard(
        self,
        origin: str,
        connection: _Connection,
    ) -> None:
        self._in_use[origin] -= 1
        await connection.aclose()


class _ReleasingStream(httpx.AsyncByteStream):
    """Release the connection once the response was read or abandoned."""

    def __init__(
        self,
        transport: BackendTransport,
        origin: str,
        connection: _Connection,
        stream: httpx.AsyncByteStream,
    ) -> None:
        self._transport = transport
        self._origin = origin
        self._connection: _Connection | None = connection
        self._stream = stream
        self._is_complete = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self._stream:
            yield chunk
        self._is_complete = True

    async def aclose(self) -> None:
        """Release the connection; later calls do nothing."""
        await self._stream.aclose()
        connection, self._connection = self._connection, None
        if connection is not None:
            await self._transport.release(
                self._origin,
                connection,
                is_complete=self._is_complete,
            )


def _origin(url: httpx.URL) -> str:
    return f'{url.scheme}://{url.netloc.decode()}'
