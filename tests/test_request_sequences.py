"""Play random requests on one connection, and check order, count and bodies."""

import asyncio
import socket
from collections import deque
from functools import partial
from io import BytesIO

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadadoor.decisions.connection_limits import ConnectionTable
from cicadadoor.decisions.memory_account import MemoryAccount
from cicadadoor.entry.caller_connection import CallerConnection
from cicadadoor.entry.exchange import Exchange, Response
from cicadadoor.errors import ErrorKind, Failure
from tests.utils.caller_server import CountingContext, FixedLimits, StubHandler

_MAX_BODY_BYTES = 40_000
_LONG_FIELD = 'A: ' + 'b' * 30_000
# A parser that starts in the middle of a body finds requests in it.
_HIDDEN = b'GET /now/hidden HTTP/1.1\r\nHost: a\r\n\r\n'
_LONG_RESPONSE = b'c' * 70_000
_FLAWS = ('close', 'fault', 'long head', 'too large', 'garbage')
_STATUSES = {'fault': 500, 'long head': 431, 'too large': 413, 'garbage': 400}
_FRAMINGS = ('length',) * 20 + ('chunks',) * 10 + ('both', 'both, reversed')
_STEPS = ('pass', 'answer', 'answer last', 'route', 'block', 'unblock', 'full')
_RARE_STEPS = ('leave', 'refuse')


class SentRequest:
    """Hold a request as a client sends it, and how it has to be treated.

    `status` is None for a request that is handled.
    """

    def __init__(self, method: str, kind: str, body: bytes, flaw: str) -> None:
        self.method = method
        self.target = kind
        self.body = body
        self.flaw = flaw
        self.status = _STATUSES.get(flaw)
        self.is_last = bool(flaw)
        self.fields: list[str] = []
        self.content = body
        self.sent = b''

    def __repr__(self) -> str:
        return f'{self.method} {self.target} {self.fields} {len(self.body)} {self.flaw}'

    def number(self, number: int) -> None:
        """Name the request in its target, and encode it."""
        suffix = '/fault' if self.flaw == 'fault' else ''
        self.target = f'/{self.target}/{number}{suffix}'
        lines = (f'{self.method} {self.target} HTTP/1.1', *self.fields)
        head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
        if self.flaw == 'garbage':
            head = b'\x16\x03 ' + head
        self.sent = head + self.content


def chunked(body: bytes, size_bytes: int, trailer: bytes) -> bytes:
    """Return a body in chunks with extensions."""
    starts = range(0, len(body), size_bytes)
    parts = [body[start : start + size_bytes] for start in starts]
    chunks = [b'%x;a=b\r\n%b\r\n' % (len(part), part) for part in parts]
    return b''.join(chunks) + b'0\r\n' + trailer + b'\r\n'


@st.composite
def requests(draw):
    """Draw a request; its place in the sequence is filled in later."""
    kind = draw(st.sampled_from(('safe', 'safe', 'safe', 'changed', 'held')))
    flaw = draw(st.sampled_from(('',) * 40 + _FLAWS))
    method = draw(st.sampled_from(('GET', 'POST', 'HEAD', 'PUT', 'get')))
    size_bytes = draw(st.sampled_from((0, 0, 0, 1, 40, 5000, 20_000, 40_000)))
    if flaw == 'too large':
        size_bytes = _MAX_BODY_BYTES + 1
    body = (_HIDDEN * (size_bytes // len(_HIDDEN) + 1))[:size_bytes]
    request = SentRequest(method, kind, body, flaw)
    fields = ['Host: a', *draw(st.sampled_from(((), (), ('Expect: 100-continue',))))]
    framing = draw(st.sampled_from(_FRAMINGS))
    length = f'Content-Length: {draw(st.sampled_from((0, size_bytes)))}'
    if framing == 'length':
        fields.append(f'Content-Length: {size_bytes}')
    else:
        chunk_bytes = draw(st.sampled_from((1, 7, 99) if size_bytes < 99 else (9999,)))
        trailer = draw(st.sampled_from((b'', b'A: b\r\n')))
        request.content = chunked(body, chunk_bytes, trailer)
        fields.append('Transfer-Encoding: chunked')
    if framing.startswith('both'):
        fields.insert(1 if framing == 'both' else len(fields), length)
        request.is_last = True
        if request.status != 431 and flaw != 'garbage':
            request.status = 400
    if flaw == 'close':
        fields.append('Connection: close')
    elif flaw == 'long head':
        fields.append(_LONG_FIELD)
    request.fields = fields
    return request


class FakeTransport(asyncio.Transport):
    """Keep what is written."""

    def __init__(self, raw_socket: socket.socket) -> None:
        super().__init__({'socket': raw_socket, 'peername': ('127.0.0.1', 1)})
        self.written = bytearray()
        self.is_paused = False
        self.has_ended = False

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Take no note: the test tells when the client takes nothing."""

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data) -> None:
        assert not self.has_ended, 'bytes behind the last response'
        self.written += data

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.has_ended = True

    def abort(self) -> None:
        self.has_ended = True

    def close(self) -> None:
        self.has_ended = True


class SequenceHandler(StubHandler):
    """Answer when the test says so; routes named `changed` change."""

    def __init__(self) -> None:
        super().__init__()
        self.is_safe_now = False
        self.running: list[Exchange] = []

    def change_routes(self) -> None:
        self.is_safe_now = not self.is_safe_now

    def change_room(self) -> None:
        self.is_full_now = not self.is_full_now

    def leave(self) -> None:
        self.is_leaving = True

    def may_repeat(self, exchange: Exchange) -> bool:
        if exchange.target.startswith(b'/changed'):
            return self.is_safe_now
        return exchange.target.startswith(b'/safe')

    def handle(self, exchange: Exchange) -> None:
        super().handle(exchange)
        self.running.append(exchange)
        if any(one.target.startswith(b'/held') for one in self.running):
            assert len(self.running) == 1, 'runs beside a request that must run alone'

    def answer(self, position: int) -> None:
        if self.running:
            exchange = self.running.pop(position)
            body = exchange.target
            if b'7' in body:
                body += _LONG_RESPONSE
            exchange.respond(Response(200, [(b'target', exchange.target)], body))


class Play:
    """Play the steps of one sequence."""

    def __init__(self, sent: bytes, raw_socket: socket.socket) -> None:
        self.handler = SequenceHandler()
        self.account = MemoryAccount(50_000_000)
        self.transport = FakeTransport(raw_socket)
        self.is_refused = False
        self._unsent = sent
        self._context = CountingContext(
            self.handler,
            self.account,
            FixedLimits(max_body_bytes=_MAX_BODY_BYTES, max_header_bytes=16_384),
            lambda: 1000.0,
            table=ConnectionTable(10),
            buffer=memoryview(bytearray(65_536)),
        )
        self._connection = CallerConnection(self._context)
        self._connection.connection_made(self.transport)
        self._steps = {
            'answer': partial(self.handler.answer, 0),
            'answer last': partial(self.handler.answer, -1),
            'route': self.handler.change_routes,
            'full': self.handler.change_room,
            'block': self._connection.pause_writing,
            'unblock': self._connection.resume_writing,
            'leave': self.handler.leave,
            'refuse': self._refuse,
        }

    def send(self, size_bytes: int) -> bool:
        """Let bytes arrive; return whether any did."""
        if self.transport.is_paused or not self._unsent:
            return False
        buffer = self._connection.get_buffer(-1)
        taken = self._unsent[: min(size_bytes, len(buffer))]
        self._unsent = self._unsent[len(taken) :]
        BytesIO(taken).readinto(buffer)
        self._connection.buffer_updated(len(taken))
        return True

    async def step(self, step: str | int) -> None:
        """Play one step; a number is a count of bytes."""
        if isinstance(step, int):
            self.send(step)
        elif step == 'pass':
            await asyncio.sleep(0)
        else:
            self._steps[step]()

    def _refuse(self) -> None:
        self.is_refused = True
        self._connection.refuse_unread(Failure(ErrorKind.DEADLINE_PASSED, 'late'))

    async def finish(self) -> None:
        """Send the rest, and answer everything."""
        self._connection.resume_writing()
        idle_passes = 0
        while idle_passes < 5:
            idle_passes += 1
            if self.send(60_000) or self.handler.running:
                idle_passes = 0
            self.handler.answer(0)
            await asyncio.sleep(0)
        self._connection.connection_lost(None)


def read_responses(
    written: bytes, sent: list[SentRequest]
) -> list[tuple[int, bool, str, bytes]]:
    """Return status, whether it closes, target and body of each response."""
    found = []
    rest = bytes(written)
    methods = deque(request.method for request in sent)
    while rest:
        head, _, rest = rest.partition(b'\r\n\r\n')
        first, *lines = head.decode().split('\r\n')
        status = int(first.split()[1])
        if status == 100:
            continue
        fields = dict(line.lower().split(': ', 1) for line in lines)
        size_bytes = int(fields['content-length'])
        if methods.popleft() == 'HEAD':
            size_bytes = 0
        body, rest = rest[:size_bytes], rest[size_bytes:]
        assert len(body) == size_bytes
        closes = fields.get('connection') == 'close'
        found.append((status, closes, fields.get('target', ''), body))
    return found


def check(play: Play, sent: list[SentRequest]) -> None:
    """Check what was run and answered against what was sent."""
    handler = play.handler
    ran = [
        (one.method, one.target.decode(), body)
        for one, body in zip(handler.handled, handler.bodies, strict=True)
    ]
    expected = [(one.method, one.target, one.body) for one in sent if not one.status]
    assert ran == expected[: len(ran)]
    responses = read_responses(play.transport.written, sent)
    for position, (status, closes, target, body) in enumerate(responses):
        request = sent[position]
        is_end = position == len(responses) - 1
        assert closes is (is_end and play.transport.has_ended)
        if status == 200:
            assert request.status is None
            assert target == request.target
            assert request.method == 'HEAD' or body.startswith(target.encode())
        else:
            assert closes
            assert play.is_refused or status == request.status
    answered = sum(response[0] == 200 for response in responses)
    assert answered == len(ran)
    if not play.transport.has_ended:
        assert len(responses) == len(sent)
    elif not (play.is_refused or handler.is_leaving):
        assert sent[len(responses) - 1].is_last
    assert play.account.held_bytes == 0
    assert handler.begun == len(handler.ended)


class TestSequences:
    """Guard against lost, foreign, reordered and repeated requests and answers."""

    @settings(max_examples=800, deadline=None, derandomize=True, database=None)
    @given(
        st.lists(requests(), min_size=3, max_size=12),
        st.lists(
            st.one_of(
                st.integers(1, 300),
                st.sampled_from((5000, 16_384, 20_000, 65_536)),
                st.sampled_from(_STEPS),
                st.sampled_from(_STEPS + _RARE_STEPS),
            ),
            min_size=8,
            max_size=50,
        ),
    )
    def test_each_request_gets_its_own_answer(self, sent, steps):
        async def work(raw_socket):
            for number, request in enumerate(sent):
                request.number(number)
            play = Play(b''.join(request.sent for request in sent), raw_socket)
            for step in steps:
                await play.step(step)
            await play.finish()
            check(play, sent)

        with socket.socket() as raw_socket:
            anyio.run(work, raw_socket)
