"""Stand in for a backend server.

Run `python -m tests.utils.backend_server IP:PORT NAME RECORDS_FILE SLOTS`. Each
execution is appended to the records file before the answer is sent, so that the file
is complete even after a crash.
"""

import os
import sys
from pathlib import Path

import anyio
import msgspec

from cicadadoor.http_server import (
    Receive,
    Scope,
    Send,
    handle_lifespan,
    send_response,
    serve_forever,
)
from tests.utils.control import CONTROL_PATH, answer_control, answer_json, read_body


class BackendFaults(msgspec.Struct):
    """Hold the faults that a test has enabled, and request counters."""

    work_ms: int = 0
    shed: bool = False
    draining: bool = False
    # The answer declares twice the content length that is sent.
    truncate: bool = False
    # Replaces the actual load in reports if not negative.
    reported_load: float = -1
    healthy: bool = True
    # Added to the time of each request, as for a server with cold caches.
    cold_ms: int = 0
    in_flight: int = 0
    max_in_flight: int = 0
    runs: int = 0


class Execution(msgspec.Struct):
    """Describe one executed request."""

    server: str
    request_id: str
    organisation: str
    idempotency_key: str
    method: str
    target: str
    headers: dict[str, str]
    body: str


class BackendStandIn:
    """Execute requests on a limited number of slots."""

    def __init__(self, name: str, records_file: str, slots: int) -> None:
        self.faults = BackendFaults()
        self._name = name
        self._records = Path(records_file).open('ab', buffering=0)
        self._slots = slots

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        if scope['type'] == 'lifespan':
            await handle_lifespan(receive, send)
        elif scope['path'] == CONTROL_PATH:
            await answer_control(self.faults, scope, receive, send)
        elif scope['path'] == '/health':
            status = 200 if self.faults.healthy else 503
            await answer_json(send, status, {'draining': self.faults.draining})
        elif scope['path'] == '/load':
            await answer_json(send, 200, {'load': self._load()})
        else:
            await self._accept(scope, receive, send)

    def _load(self) -> float:
        if self.faults.reported_load >= 0:
            return self.faults.reported_load
        return self.faults.in_flight / self._slots

    async def _accept(self, scope: Scope, receive: Receive, send: Send) -> None:
        body = await read_body(receive)
        if self.faults.shed or self.faults.in_flight >= self._slots:
            await send_response(send, 503, [(b'x-shed', b'not-run')], b'shed')
            return
        self.faults.in_flight += 1
        self.faults.max_in_flight = max(
            self.faults.max_in_flight,
            self.faults.in_flight,
        )
        try:
            await self._run(scope, body, send)
        finally:
            self.faults.in_flight -= 1

    async def _run(self, scope: Scope, body: bytes, send: Send) -> None:
        headers = {name.decode(): text.decode() for name, text in scope['headers']}
        self.faults.runs += 1
        self._record(scope, headers, body)
        if 'x-crash' in headers:
            os._exit(1)
        work_ms = self.faults.work_ms + self.faults.cold_ms
        await anyio.sleep(max(work_ms, int(headers.get('x-work-ms', 0))) / 1000)
        size = int(headers.get('x-answer-bytes', 0))
        answer = {
            'server': self._name,
            'request_id': headers.get('x-request-id', ''),
            'echo': headers.get('x-echo', ''),
            'padding': 'x' * size,
        }
        await self._answer(msgspec.json.encode(answer), send)

    async def _answer(self, content: bytes, send: Send) -> None:
        draining = [(b'x-draining', b'1')] if self.faults.draining else []
        if not self.faults.truncate:
            await send_response(send, 200, draining, content)
            return
        declared = str(2 * len(content)).encode()
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', declared)],
            }
        )
        await send({'type': 'http.response.body', 'body': content, 'more_body': True})
        raise RuntimeError('answer truncated as requested by the test')

    def _record(self, scope: Scope, headers: dict[str, str], body: bytes) -> None:
        execution = Execution(
            server=self._name,
            request_id=headers.get('x-request-id', ''),
            organisation=headers.get('x-organisation', ''),
            idempotency_key=headers.get('idempotency-key', ''),
            method=scope['method'],
            target=scope['raw_path'].decode() + '?' + scope['query_string'].decode(),
            headers=headers,
            body=body[:200].decode('latin-1'),
        )
        self._records.write(msgspec.json.encode(execution) + b'\n')


def read_executions(records_file: Path) -> list[Execution]:
    """Return all recorded executions, oldest first."""
    lines = records_file.read_bytes().splitlines() if records_file.exists() else []
    return [msgspec.json.decode(line, type=Execution) for line in lines]


if __name__ == '__main__':
    standin = BackendStandIn(sys.argv[2], sys.argv[3], int(sys.argv[4]))
    anyio.run(serve_forever, standin.handle, sys.argv[1], None, None)
