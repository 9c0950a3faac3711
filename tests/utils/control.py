"""Configure the faults of a stand-in process over HTTP."""

from typing import Any

import httpx
import msgspec

from cicadadoor.http_headers import JSON_HEADER
from cicadadoor.http_server import Receive, Scope, Send, send_response

CONTROL_PATH = '/control'


async def read_body(receive: Receive) -> bytes:
    """Return the whole body of a request."""
    parts = []
    while True:
        event = await receive()
        parts.append(event.get('body', b''))
        if not event.get('more_body'):
            return b''.join(parts)


async def answer_json(send: Send, status: int, content: Any) -> None:
    """Answer with JSON."""
    await send_response(send, status, [JSON_HEADER], msgspec.json.encode(content))


async def answer_control(
    faults: Any,
    scope: Scope,
    receive: Receive,
    send: Send,
) -> None:
    """Set the faults named by a POST, and answer with all of them."""
    if scope['method'] == 'POST':
        for name, content in msgspec.json.decode(await read_body(receive)).items():
            if not hasattr(faults, name):
                await answer_json(send, 400, {'unknown': name})
                return
            setattr(faults, name, content)
    await answer_json(send, 200, msgspec.to_builtins(faults))


def set_faults(base_url: str, **faults: Any) -> None:
    """Set faults of a stand-in; raise httpx.HTTPStatusError if one is unknown."""
    httpx.post(f'{base_url}{CONTROL_PATH}', json=faults).raise_for_status()


def get_faults(base_url: str) -> Any:
    """Return the faults of a stand-in."""
    return httpx.get(f'{base_url}{CONTROL_PATH}').raise_for_status().json()
