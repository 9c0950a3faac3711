"""Send responses to callers."""

from http import HTTPStatus

import anyio

from cicadadoor.gate.request import SteeredResponse
from cicadadoor.http_server import Send
from cicadadoor.timer import TimerService

_STREAM_CHECK_S = 0.25


async def send_steered_response(
    send: Send,
    response: SteeredResponse,
    timer: TimerService,
) -> None:
    """Send a buffered response, or relay a stream until it ends or is aborted."""
    headers = [
        (name.encode('latin-1'), value.encode('latin-1'))
        for name, value in response.headers
    ]
    headers.append((b'x-cicadadoor-run', response.run.value.encode()))
    if response.stream is not None:
        await _send_stream(send, response, headers, timer)
        return
    # A response without a body, such as one to HEAD, keeps its declared length.
    is_declared = any(name == b'content-length' for name, _ in headers)
    if not is_declared and response.status != HTTPStatus.NO_CONTENT:
        headers.append((b'content-length', str(len(response.body)).encode()))
    await send(_start_event(response, headers))
    await send({'type': 'http.response.body', 'body': response.body})


async def _send_stream(
    send: Send,
    response: SteeredResponse,
    headers: list[tuple[bytes, bytes]],
    timer: TimerService,
) -> None:
    # An error here closes the connection without the final chunk, so that callers
    # detect the truncated body.
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_stream, response, timer, tasks.cancel_scope)
            await send(_start_event(response, headers))
            async for chunk in response.stream:
                await send(
                    {'type': 'http.response.body', 'body': chunk, 'more_body': True}
                )
            await send({'type': 'http.response.body', 'body': b''})
            tasks.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await response.close()


async def _watch_stream(
    response: SteeredResponse,
    timer: TimerService,
    scope: anyio.CancelScope,
) -> None:
    while timer.now_s() < response.deadline_s and not response.must_stop():
        await timer.sleep(_STREAM_CHECK_S)
    scope.cancel()


def _start_event(
    response: SteeredResponse,
    headers: list[tuple[bytes, bytes]],
) -> dict[str, object]:
    return {
        'type': 'http.response.start',
        'status': response.status,
        'headers': headers,
    }
