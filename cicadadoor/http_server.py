"""Provide the HTTP server that entry host, gate and agent share."""

import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from cicadadoor.errors import AddressInUseError

BACKLOG = 1024
_KEEP_ALIVE_S = 75
_GRACEFUL_TIMEOUT_S = 2.0
# Time for cancelled requests to send their responses.
_CANCEL_TIMEOUT_S = 0.2
_CANCEL_POLL_S = 0.01

JSON_HEADER = (b'content-type', b'application/json')
_CLOSE_HEADER = (b'connection', b'close')

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


class HttpServer:
    """Serve an ASGI app with hypercorn in the current event loop."""

    def __init__(
        self,
        app: App,
        address: str | list[str],
        certificate_file: str | None = None,
        key_file: str | None = None,
        close_s: float = _GRACEFUL_TIMEOUT_S,
    ) -> None:
        self._app = app
        self._config = _configure(address, certificate_file, key_file)
        self._config.graceful_timeout = close_s
        self._closing = anyio.Event()
        self._closed = anyio.Event()

    def set_limits(self, idle_s: float, header_bytes: int) -> None:
        """Limit the idle time and the request header size of new connections."""
        self._config.keep_alive_timeout = idle_s
        self._config.h11_max_incomplete_size = header_bytes

    async def serve(self) -> None:
        """Serve until closed or cancelled."""
        try:
            await serve(
                self._app,
                self._config,
                mode='asgi',
                shutdown_trigger=self._closing.wait,
            )
        finally:
            self._closed.set()

    async def close(self) -> None:
        """Stop listening and close connections once their responses have been sent."""
        self._closing.set()
        await self._closed.wait()


class OpenRequests:
    """Track the requests in flight, and cancel them when the grace period ends.

    hypercorn would answer a request that it cancels itself with status 500.
    """

    def __init__(self) -> None:
        self._count = 0
        self._scopes: set[anyio.CancelScope] = set()
        # True once no further request may start.
        self.is_cancelled = False

    def __len__(self) -> int:
        """Return the number of requests without a complete response."""
        return self._count

    def begin(self) -> None:
        """Count a request as in flight."""
        self._count += 1

    def end(self) -> None:
        """Stop counting a request."""
        self._count -= 1

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a request as in flight until the block ends."""
        self.begin()
        try:
            yield
        finally:
            self.end()

    @contextmanager
    def cancellable(self) -> Iterator[None]:
        """End the block early on cancellation; the code after it has to respond."""
        with anyio.CancelScope() as scope:
            if self.is_cancelled:
                scope.cancel()
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    async def cancel_all(self) -> None:
        """Cancel all requests, and wait for their responses to be sent."""
        self.is_cancelled = True
        for scope in tuple(self._scopes):
            scope.cancel()
        with anyio.move_on_after(_CANCEL_TIMEOUT_S):
            while self._count:
                await anyio.sleep(_CANCEL_POLL_S)


def listen(address: str) -> str:
    """Listen on an address and return the socket as a bind string for hypercorn.

    Raise AddressInUseError if another process uses the address.
    """
    return f'fd://{open_listener(address).detach()}'


def open_listener(address: str) -> socket.socket:
    """Listen on an address.

    Raise AddressInUseError if another process uses the address.
    """
    host_ip, _, port = address.rpartition(':')
    host_ip = host_ip.strip('[]')
    family = socket.AF_INET6 if ':' in host_ip else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        listener.bind((host_ip, int(port)))
    except OSError as error:
        listener.close()
        raise AddressInUseError(address) from error
    listener.listen(BACKLOG)
    return listener


async def serve_forever(
    app: App,
    address: str,
    certificate_file: str | None,
    key_file: str | None,
) -> None:
    """Serve until cancelled, in the current event loop."""
    await HttpServer(app, address, certificate_file, key_file).serve()


def _configure(
    address: str | list[str],
    certificate_file: str | None,
    key_file: str | None,
) -> Config:
    config = Config()
    config.bind = [address] if isinstance(address, str) else address
    config.backlog = BACKLOG
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.accesslog = None
    config.errorlog = None
    config.certfile = certificate_file
    config.keyfile = key_file
    config.include_server_header = False
    return config


async def cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel the scope when the caller disconnects."""
    while (await receive())['type'] != 'http.disconnect':
        pass
    scope.cancel()


def with_connection_close(send: Send, must_close: Callable[[], bool]) -> Send:
    """Return a `send` that adds `Connection: close` to responses if `must_close()`.

    A caller that reuses the connection would otherwise see it closed during its next
    request, and could not tell whether that request ran.
    """

    async def send_with_close(event: dict[str, Any]) -> None:
        if event['type'] == 'http.response.start' and must_close():
            event['headers'] = [*event['headers'], _CLOSE_HEADER]
        await send(event)

    return send_with_close


async def send_response(
    send: Send,
    status: int,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> None:
    """Send a response with a complete body."""
    length = (b'content-length', str(len(body)).encode())
    await send(
        {
            'type': 'http.response.start',
            'status': int(status),
            'headers': [*headers, length],
        }
    )
    await send({'type': 'http.response.body', 'body': body})


async def handle_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the startup and shutdown events of the ASGI lifespan."""
    while True:
        event = await receive()
        await send({'type': f'{event["type"]}.complete'})
        if event['type'] == 'lifespan.shutdown':
            return
