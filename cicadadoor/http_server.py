"""Share the HTTP server plumbing of gate and agent."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

_BACKLOG = 1024
_KEEP_ALIVE_S = 75

JSON_HEADER = (b'content-type', b'application/json')

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


async def serve_forever(
    app: App,
    address: str,
    certificate_file: str | None,
    key_file: str | None,
) -> None:
    """Serve until cancelled, in the loop of the caller."""
    config = Config()
    config.bind = [address]
    config.backlog = _BACKLOG
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.accesslog = None
    config.errorlog = None
    config.certfile = certificate_file
    config.keyfile = key_file
    config.include_server_header = False
    await serve(
        app,
        config,
        mode='asgi',
        shutdown_trigger=anyio.sleep_forever,
    )


async def send_whole(
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


async def answer_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge start and shutdown events of the server."""
    while True:
        event = await receive()
        await send({'type': f'{event["type"]}.complete'})
        if event['type'] == 'lifespan.shutdown':
            return
