"""Run a baseline server: `python -m measure.bare_servers fixed|forward IP:PORT [URL]`.

`fixed` answers with 300 bytes; `forward` forwards each request with one httpx client.
"""

import sys

import anyio
import httpx

from cicadadoor.http_server import (
    JSON_HEADER,
    Receive,
    Scope,
    Send,
    handle_lifespan,
    send_response,
    serve_forever,
)

ANSWER = b'{"hosts":[]}'.ljust(300)
_POOL_SIZE = 100


async def answer_fixed(scope: Scope, receive: Receive, send: Send) -> None:
    """Answer every request with the same bytes."""
    if scope['type'] == 'lifespan':
        await handle_lifespan(receive, send)
        return
    await send_response(send, 200, [JSON_HEADER], ANSWER)


class BareForwarder:
    """Forward each request and return the answer."""

    def __init__(self, target_url: str) -> None:
        self._target_url = target_url
        self._client = httpx.AsyncClient(
            trust_env=False,
            limits=httpx.Limits(
                max_connections=_POOL_SIZE,
                max_keepalive_connections=_POOL_SIZE,
            ),
        )

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope['type'] == 'lifespan':
            await handle_lifespan(receive, send)
            return
        url = f'{self._target_url}{scope["path"]}'
        answer = await self._client.get(url)
        await send_response(send, answer.status_code, [JSON_HEADER], answer.content)


def main() -> None:
    """Serve until the process is stopped."""
    mode, address = sys.argv[1:3]
    app = answer_fixed
    if mode == 'forward':
        app = BareForwarder(sys.argv[3]).handle
    anyio.run(serve_forever, app, address, None, None)


if __name__ == '__main__':
    main()
