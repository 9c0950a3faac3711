"""Speak HTTP/1.1 with backend servers over kept connections.

Each connection is watched while it is idle: bytes that arrive then belong to no
request, and the end of the connection is seen at once, without a look at the socket
before each request.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from typing import Any

import anyio
import h11
from anyio import lowlevel

from cicadadoor.decisions.answer_limits import AnswerProgress, find_head_fault
from cicadadoor.entry.messages import Headers
from cicadadoor.sockets import KEEP_ALIVE_OPTIONS

# Written in parts, so that an early answer is read before all of a body is sent.
_WRITE_BYTES = 65_536
# Parsed at once, so that the limits are checked between parts of a long stream.
_READ_BYTES = 16_384
# The transport reads no more while so much waits for the parser.
_MOST_UNREAD_BYTES = 262_144
# A stream of small chunks lets other requests go on after so many of them.
_EVENTS_A_TURN = 64
# A longer answer is not taken into memory.
MAX_ANSWER_BYTES = 67_108_864
# The body of an answer that is not passed on: a round trip between regions and more.
_SKIP_S = 0.1
_SKIP_BYTES = 65_536
_NO_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
# Used where a server names no idle limit of its own.
DEFAULT_IDLE_S = 4.0
# Part of a server's idle limit after which a connection is not used any more.
_IDLE_MARGIN_S = 1.0


class ConnectionBrokenError(Exception):
    """Raise when a connection ends before the answer is whole."""


class AnswerInvalidError(Exception):
    """Raise when what came is not an answer in the protocol."""


WantsBody = Callable[[int, Headers], bool]


def _always(status: int, headers: Headers) -> bool:
    return True


class RawAnswer:
    """Hold status, headers and the whole body of an answer."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class BackendConnection(asyncio.Protocol):
    """Exchange one request and answer at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport
        self._parser = h11.Connection(h11.CLIENT)
        # Received and not yet given to the parser.
        self._unread = bytearray()
        self._progress = AnswerProgress()
        self._events = 0
        self._is_in_head = False
        self._wake = anyio.Event()
        self._can_write = True
        self._error: Exception | None = None
        self._is_ended = False
        self.is_busy = False
        self.is_broken = False
        # Set once a byte of the present request may have left.
        self.has_sent = False
        self.has_received = False

    def connection_made(self, transport: Any) -> None:
        """Keep the transport and probe silent peers."""
        self._transport = transport
        raw_socket = transport.get_extra_info('socket')
        for level, option, setting in KEEP_ALIVE_OPTIONS:
            raw_socket.setsockopt(level, option, setting)

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer."""
        if not self.is_busy:
            # The answer to no request, such as a second copy of the last one.
            self.abort()
            return
        self.has_received = True
        self._unread += data
        if len(self._unread) > _MOST_UNREAD_BYTES:
            self._transport.pause_reading()
        self._notify()

    def eof_received(self) -> bool:
        """Note that the peer sends no more."""
        self.is_broken = True
        if self.is_busy:
            self._is_ended = True
        self._notify()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        self.is_broken = True
        if not self._is_ended:
            self._error = exc or ConnectionResetError('the connection was closed')
        self._notify()

    def pause_writing(self) -> None:
        """Wait before writing more."""
        self._can_write = False

    def resume_writing(self) -> None:
        """Go on writing."""
        self._can_write = True
        self._notify()

    def abort(self) -> None:
        """Close at once; a backend server drops the request that it works on."""
        self.is_broken = True
        self._transport.abort()

    async def exchange(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes,
        wants_body: WantsBody = _always,
    ) -> RawAnswer:
        """Send a request and return the whole answer.

        An answer whose body is not wanted is returned without it. The connection is
        closed if it can't carry another request after the answer.
        """
        self.is_busy = True
        self.has_sent = False
        self.has_received = False
        self._progress = AnswerProgress()
        try:
            request = h11.Request(method=method, target=target, headers=headers)
            head = self._parser.send(request)
        except h11.LocalProtocolError as error:
            self.abort()
            raise AnswerInvalidError(str(error)) from error
        is_done = False
        try:
            answer = await self._run(method, head, body, wants_body)
            is_done = True
        except h11.ProtocolError as error:
            if self.has_received:
                raise AnswerInvalidError(str(error)) from error
            raise ConnectionBrokenError('closed without an answer') from error
        finally:
            self.is_busy = False
            if not is_done or not self._can_reuse():
                self.abort()
        return answer

    async def _run(
        self, method: str, head: bytes, body: bytes, wants_body: WantsBody
    ) -> RawAnswer:
        if self.is_broken:
            raise ConnectionBrokenError('closed before the request')
        self.has_sent = True
        self._transport.write(head)
        await self._write_body(body)
        answer = await self._read_head()
        headers = [(bytes(name), bytes(text)) for name, text in answer.headers]
        if not wants_body(answer.status_code, headers):
            await self._skip_body()
            return RawAnswer(answer.status_code, headers, b'')
        _check_length(method, answer)
        content = await self._read_body(MAX_ANSWER_BYTES)
        return RawAnswer(answer.status_code, headers, content)

    async def _skip_body(self) -> None:
        # The head says all; the connection is kept if the rest comes soon.
        with suppress(h11.ProtocolError, AnswerInvalidError, ConnectionBrokenError):
            with anyio.move_on_after(_SKIP_S):
                await self._read_body(_SKIP_BYTES)

    async def _read_head(self) -> h11.Response:
        self._is_in_head = True
        while not isinstance(event := await self._next_event(), h11.Response):
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBrokenError('no answer came')
            self._progress.note_interim()
            self._check()
        self._is_in_head = False
        return event

    async def _read_body(self, limit_bytes: int) -> bytes:
        # One piece of memory: small chunks as objects of their own take many times
        # their length.
        body = bytearray()
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise AnswerInvalidError('the answer did not end')
            body += event.data
            self._progress.body_bytes = len(body)
            if len(body) > limit_bytes:
                raise AnswerInvalidError('the answer is too long')
        return bytes(body)

    async def _next_event(self) -> object:
        self._events += 1
        if self._events % _EVENTS_A_TURN == 0:
            await lowlevel.checkpoint()
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            self._check()
            await self._read_more()
        return event

    def _check(self) -> None:
        fault = self._progress.find_fault()
        if self._is_in_head and not fault:
            fault = find_head_fault(self._parser.trailing_data[0])
        if fault:
            raise AnswerInvalidError(fault)

    async def _read_more(self) -> None:
        while not self._unread and not self._is_ended:
            await self._wait()
        part = bytes(self._unread[:_READ_BYTES])
        del self._unread[:_READ_BYTES]
        if not self._unread:
            self._transport.resume_reading()
        self._progress.received_bytes += len(part)
        # An empty part tells the parser that the peer sends no more.
        self._parser.receive_data(part)

    async def _write_body(self, body: bytes) -> None:
        for start in range(0, len(body), _WRITE_BYTES):
            part = h11.Data(data=body[start : start + _WRITE_BYTES])
            self._transport.write(self._parser.send(part) or b'')
            while not self._can_write and not self.has_received:
                await self._wait()
            if self.has_received:
                # An early answer: the rest of the body isn't owed, and the
                # connection can't be used again.
                return
        self._transport.write(self._parser.send(h11.EndOfMessage()) or b'')

    async def _wait(self) -> None:
        if self._error is not None:
            raise ConnectionBrokenError(str(self._error))
        await self._wake.wait()
        self._wake = anyio.Event()

    def _notify(self) -> None:
        self._wake.set()

    def _can_reuse(self) -> bool:
        if self.is_broken or self._unread or self._parser.trailing_data[0]:
            return False
        try:
            self._parser.start_next_cycle()
        except h11.LocalProtocolError:
            # One of both sides asked for the end of the connection.
            return False
        return True


def _check_length(method: str, answer: h11.Response) -> None:
    if method == 'HEAD' or answer.status_code in _NO_BODY:
        return
    for name, text in answer.headers:
        if name == b'content-length' and int(text) > MAX_ANSWER_BYTES:
            raise AnswerInvalidError(f'the answer is too long: {int(text)} bytes')


class _Idle:
    __slots__ = ('connection', 'until_s')

    def __init__(self, connection: BackendConnection, until_s: float) -> None:
        self.connection = connection
        self.until_s = until_s


class ConnectionPool:
    """Keep idle connections, a list for each run of a backend server."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_Idle]] = {}

    def take(self, key: str, now_s: float) -> BackendConnection | None:
        """Return the connection that was used last, or None."""
        idle = self._idle.get(key, [])
        while idle:
            found = idle.pop()
            if not found.connection.is_broken and now_s < found.until_s:
                return found.connection
            found.connection.abort()
        return None

    def give_back(
        self,
        key: str,
        connection: BackendConnection,
        now_s: float,
        idle_limit_s: float | None,
    ) -> None:
        """Keep a connection for the next request."""
        if connection.is_broken:
            return
        limit_s = DEFAULT_IDLE_S if idle_limit_s is None else idle_limit_s
        until_s = now_s + max(0.0, limit_s - _IDLE_MARGIN_S)
        self._idle.setdefault(key, []).append(_Idle(connection, until_s))

    def prune(self, known: frozenset[str], now_s: float) -> None:
        """Close connections that are too old, or whose server is gone."""
        for key in list(self._idle):
            kept = []
            for idle in self._idle[key]:
                is_usable = key in known and now_s < idle.until_s
                if is_usable and not idle.connection.is_broken:
                    kept.append(idle)
                else:
                    idle.connection.abort()
            if kept:
                self._idle[key] = kept
            else:
                self._idle.pop(key)

    def close(self) -> None:
        """Close all idle connections."""
        self.prune(frozenset(), 0)


async def connect(address: str, timeout_s: float) -> BackendConnection:
    """Open a connection; raise OSError, or TimeoutError after the time-out."""
    host_ip, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    with anyio.fail_after(timeout_s):
        _, connection = await loop.create_connection(
            BackendConnection,
            host_ip,
            int(port),
        )
    return connection
