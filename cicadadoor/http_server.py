"""Share the HTTP server plumbing of gate and agent."""

import socket
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


def listen(address: str) -> str:
    """Listen at an address and return it in the form that `serve_forever` takes.

    Raise OSError if another process, even a paused one, holds the address.
    """
    host_ip, _, port = address.rpartition(':')
    host_ip = host_ip.strip('[]')
    family = socket.AF_INET6 if ':' in host_ip else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((host_ip, int(port)))
    listener.listen(_BACKLOG)
    return f'fd://{listener.detach()}'


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
