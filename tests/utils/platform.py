"""Stand in for the platform's object API: `python -m tests.utils.platform IP:PORT`."""

import sys
from urllib.parse import parse_qs, unquote

import anyio
import msgspec

from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.http_server import (
    Receive,
    Scope,
    Send,
    handle_lifespan,
    send_response,
    serve_forever,
)
from cicadadoor.object_store.base import MAX_OBJECT_BYTES, StoredObject
from cicadadoor.object_store.memory import MemoryObjectStore
from tests.utils.control import CONTROL_PATH, answer_control, answer_json, read_body

_API_PREFIX = '/api/v1/'
_WATCH_EMPTY_LINE_S = 2.0
_STATUS = {
    ErrorKind.STORE_NOT_FOUND: 404,
    ErrorKind.STORE_CONFLICT: 409,
    ErrorKind.STORE_COMPACTED: 410,
    ErrorKind.STORE_TOO_LARGE: 413,
}


class PlatformFaults(msgspec.Struct):
    """Hold the faults that a test has enabled, and call counters."""

    down: bool = False
    delay_ms: int = 0
    # Number of the next writes that take effect but are not answered.
    lose_answers: int = 0
    # Changing this number ends all open watches.
    watch_epoch: int = 0
    # Delay of writes of host objects, so that the host list lags.
    host_lag_ms: int = 0
    reads: int = 0
    writes: int = 0
    watches: int = 0


class ConnectionLost(Exception):  # noqa: N818
    """Abort a request without an answer."""


class PlatformStandIn:
    """Serve the object API from memory, with faults."""

    def __init__(self) -> None:
        self.faults = PlatformFaults()
        self._store = MemoryObjectStore()

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        if scope['type'] == 'lifespan':
            await handle_lifespan(receive, send)
        elif scope['path'] == CONTROL_PATH:
            await answer_control(self.faults, scope, receive, send)
        elif self.faults.down:
            await answer_json(send, 503, {'detail': 'outage'})
        else:
            await anyio.sleep(self.faults.delay_ms / 1000)
            await self._call(scope, receive, send)

    async def _call(self, scope: Scope, receive: Receive, send: Send) -> None:
        raw_path = scope['raw_path'].decode().partition('?')[0]
        kind, _, raw_name = raw_path.removeprefix(_API_PREFIX).partition('/')
        name = unquote(raw_name)
        query = parse_qs(scope['query_string'].decode())
        method = scope['method']
        if 'watch' in query:
            self.faults.watches += 1
            await self._watch(kind, int(query['since'][0]), send)
            return
        if method == 'GET':
            self.faults.reads += 1
            reading = self._store.get(kind, name) if name else self._store.list(kind)
            await _answer(send, await reading)
            return
        self.faults.writes += 1
        if kind == 'host':
            await anyio.sleep(self.faults.host_lag_ms / 1000)
        answer = await self._write(method, kind, name, query, receive)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionLost
        await _answer(send, answer)

    async def _write(self, method, kind, name, query, receive):
        body = await read_body(receive)
        if len(body) > 2 * MAX_OBJECT_BYTES:
            return Failure(ErrorKind.STORE_TOO_LARGE, 'request body too large')
        if method == 'DELETE':
            return await self._store.delete(kind, name, int(query['version'][0]))
        wanted = msgspec.json.decode(body, type=StoredObject)
        if method == 'POST':
            return await self._store.create(wanted)
        return await self._store.update(wanted)

    async def _watch(self, kind: str, since_version: int, send: Send) -> None:
        await send({'type': 'http.response.start', 'status': 200, 'headers': []})
        epoch = self.faults.watch_epoch
        changes = self._store.watch(kind, since_version)
        pending = None
        send_events, receive_events = anyio.create_memory_object_stream(1000)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_pump, changes, send_events)
            while epoch == self.faults.watch_epoch and not self.faults.down:
                pending = b'\n'
                with anyio.move_on_after(0.2):
                    event = await receive_events.receive()
                    if isinstance(event, Failure):
                        break
                    pending = msgspec.json.encode(event) + b'\n'
                await send(
                    {
                        'type': 'http.response.body',
                        'body': pending,
                        'more_body': True,
                    }
                )
            tasks.cancel_scope.cancel()
        await send({'type': 'http.response.body', 'body': b''})


async def _pump(changes, send_events) -> None:
    async for event in changes:
        await send_events.send(event)


async def _answer(send: Send, answer: object) -> None:
    if isinstance(answer, Failure):
        await answer_json(send, _STATUS[answer.kind], {'detail': answer.reason})
    elif answer is None:
        await send_response(send, 200, [], b'')
    else:
        await answer_json(send, 200, answer)


if __name__ == '__main__':
    anyio.run(serve_forever, PlatformStandIn().handle, sys.argv[1], None, None)
