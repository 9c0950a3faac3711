"""Provide the HTTP server that gate and agent share."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from cicadadoor.listening import BACKLOG, open_listener

_KEEP_ALIVE_S = 75
_GRACEFUL_TIMEOUT_S = 2.0

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


def listen(address: str) -> str:
    """Listen on an address and return the socket as a bind string for hypercorn.

    Raise AddressInUseError if another process uses the address.
    """
    return f'fd://{open_listener(address).detach()}'


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
