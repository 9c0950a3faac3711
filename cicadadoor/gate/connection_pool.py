"""Keep connections to backend servers alive, a list for each server."""

from collections.abc import AsyncIterator

import httpx

# Shorter than the 5 s after which many servers close an idle connection. A request
# that is sent while the server closes ends with an unknown outcome.
_KEEP_ALIVE_S = 4.0


class BackendTransport(httpx.AsyncBaseTransport):
    """Send each request over a free connection of its backend server.

    The client library's own pool looks at every connection, and polls its socket,
    for every connection on each request; with 16 connections that was over 60% of
    the time of a request. Here each connection is a transport of its own, and the
    one used last is used next.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._idle: dict[str, list[httpx.AsyncHTTPTransport]] = {}
        self._in_use: dict[str, int] = {}
        # Making one takes 50 ms, which each connection would pay.
        self._tls_context = httpx.create_ssl_context(trust_env=False)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request; raise httpx.PoolTimeout if all connections are taken."""
        origin = _origin(request.url)
        connection = self._acquire(origin, request)
        try:
            response = await connection.handle_async_request(request)
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
        """Close all free connections."""
        for connections in self._idle.values():
            for connection in connections:
                await connection.aclose()
        self._idle.clear()

    async def release(
        self,
        origin: str,
        connection: httpx.AsyncHTTPTransport,
        *,
        is_whole: bool,
    ) -> None:
        """Make a connection free again, or close it after a partial answer."""
        if not is_whole:
            await self._discard(origin, connection)
            return
        self._in_use[origin] -= 1
        self._idle.setdefault(origin, []).append(connection)

    def _acquire(
        self,
        origin: str,
        request: httpx.Request,
    ) -> httpx.AsyncHTTPTransport:
        in_use = self._in_use.get(origin, 0)
        if in_use >= self._max_connections:
            raise httpx.PoolTimeout(
                f'all {in_use} connections to {origin} are taken',
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
        return httpx.AsyncHTTPTransport(
            verify=self._tls_context,
            limits=limits,
            trust_env=False,
        )

    async def _discard(
        self,
        origin: str,
        connection: httpx.AsyncHTTPTransport,
    ) -> None:
        self._in_use[origin] -= 1
        await connection.aclose()


class _ReleasingStream(httpx.AsyncByteStream):
    """Give the connection back when the answer was read or given up."""

    def __init__(
        self,
        transport: BackendTransport,
        origin: str,
        connection: httpx.AsyncHTTPTransport,
        stream: httpx.AsyncByteStream,
    ) -> None:
        self._transport = transport
        self._origin = origin
        self._connection: httpx.AsyncHTTPTransport | None = connection
        self._stream = stream
        self._is_whole = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self._stream:
            yield chunk
        self._is_whole = True

    async def aclose(self) -> None:
        """Give the connection back, once."""
        await self._stream.aclose()
        connection, self._connection = self._connection, None
        if connection is not None:
            await self._transport.release(
                self._origin,
                connection,
                is_whole=self._is_whole,
            )


def _origin(url: httpx.URL) -> str:
    return f'{url.scheme}://{url.netloc.decode()}'
