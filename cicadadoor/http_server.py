"""Share the HTTP server plumbing of gate and agent."""

import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from cicadadoor.errors import AddressInUseError

_BACKLOG = 1024
_KEEP_ALIVE_S = 75
_GRACEFUL_TIMEOUT_S = 2.0
# Time in which requests that are cut get their answers.
_CANCEL_TIMEOUT_S = 0.2
_CANCEL_POLL_S = 0.01

JSON_HEADER = (b'content-type', b'application/json')
_CLOSE_HEADER = (b'connection', b'close')

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


class HttpServer:
    """Serve an app with hypercorn in the loop of the caller."""

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

    def limit(self, idle_s: float, head_bytes: int) -> None:
        """Bound idle time and request heads of connections from now on."""
        self._config.keep_alive_timeout = idle_s
        self._config.h11_max_incomplete_size = head_bytes

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
        """Stop listening and end connections once their answers have been sent."""
        self._closing.set()
        await self._closed.wait()


class OpenRequests:
    """Count the requests in flight, and cut them once the time to stop is over.

    The HTTP library would answer a request that it cancels with 500.
    """

    def __init__(self) -> None:
        self._count = 0
        self._scopes: set[anyio.CancelScope] = set()
        # Set once no request may be begun any more.
        self.is_cancelled = False

    def __len__(self) -> int:
        """Return how many requests have no whole answer yet."""
        return self._count

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a request until it has its answer."""
        self._count += 1
        try:
            yield
        finally:
            self._count -= 1

    @contextmanager
    def cancellable(self) -> Iterator[None]:
        """Leave the block early if requests are cut; what follows has to answer."""
        with anyio.CancelScope() as scope:
            if self.is_cancelled:
                scope.cancel()
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    async def cancel_all(self) -> None:
        """End the work on all requests, and wait for their answers to be sent."""
        self.is_cancelled = True
        for scope in tuple(self._scopes):
            scope.cancel()
        with anyio.move_on_after(_CANCEL_TIMEOUT_S):
            while self._count:
                await anyio.sleep(_CANCEL_POLL_S)


def listen(address: str) -> str:
    """Listen at an address and return it as hypercorn takes a bound socket.

    Raise AddressInUseError if another process holds the address.
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
    listener.listen(_BACKLOG)
    return f'fd://{listener.detach()}'


async def serve_forever(
    app: App,
    address: str,
    certificate_file: str | None,
    key_file: str | None,
) -> None:
    """Serve until cancelled, in the loop of the caller."""
    await HttpServer(app, address, certificate_file, key_file).serve()


def _configure(
    address: str | list[str],
    certificate_file: str | None,
    key_file: str | None,
) -> Config:
    config = Config()
    config.bind = [address] if isinstance(address, str) else address
    config.backlog = _BACKLOG
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.accesslog = None
    config.errorlog = None
    config.certfile = certificate_file
    config.keyfile = key_file
    config.include_server_header = False
    return config


async def cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel the scope when the caller goes away."""
    while (await receive())['type'] != 'http.disconnect':
        pass
    scope.cancel()


def with_connection_close(send: Send, must_close: Callable[[], bool]) -> Send:
    """Return a `send` that ends the connection behind an answer if it must close.

    A caller that keeps the connection would find it closed under its next request,
    and could not tell whether that request ran.
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
    """Send an answer whose body is complete."""
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
    """Acknowledge start and shutdown events of the server."""
    while True:
        event = await receive()
        await send({'type': f'{event["type"]}.complete'})
        if event['type'] == 'lifespan.shutdown':
            return
