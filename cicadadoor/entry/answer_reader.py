"""Read the answers that come over one connection to a backend server."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from http import HTTPStatus
from typing import Any

import anyio
import h11
from anyio import lowlevel

from cicadadoor.decisions.answer_budget import AnswerBudget
from cicadadoor.decisions.answer_limits import AnswerProgress, find_head_fault

# Parsed at once, so that the limits are checked between parts of a long stream.
_READ_BYTES = 16_384
# The transport reads no more while so much waits for the parser.
_MAX_UNREAD_BYTES = 262_144
# A stream of small chunks lets other requests go on after so many of them.
_EVENTS_PER_YIELD = 64
# A longer answer is not taken into memory.
MAX_ANSWER_BYTES = 67_108_864
# Of all unfinished answers of a process together. A host has 300 MB, of which the
# process itself and the answers on their way to callers take the larger part.
MAX_UNFINISHED_BYTES = 100_663_296
# The body of an answer that is not passed on: a round trip between regions and more.
_SKIP_TIMEOUT_S = 0.1
_MAX_SKIP_BYTES = 65_536
_NO_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class ConnectionBrokenError(Exception):
    """Raise when a connection ends before the answer is whole."""


class AnswerInvalidError(Exception):
    """Raise when what came is not an answer in the protocol."""


class AnswerReader:
    """Take bytes, and give them up as soon as they can't become an answer."""

    def __init__(
        self,
        parser: h11.Connection,
        budget: AnswerBudget,
        wait: Callable[[], Awaitable[None]],
    ) -> None:
        self._parser = parser
        self._budget = budget
        self._wait = wait
        self.transport: Any = None
        # Received and not yet given to the parser.
        self._unread = bytearray()
        self._progress = AnswerProgress()
        self._events = 0
        self._is_in_head = False
        # Set when the peer sends no more.
        self.has_eof = False
        # Why the present answer is given up, or an empty text.
        self.fault = ''

    @property
    def has_extra_bytes(self) -> bool:
        """Tell whether bytes came behind the answer."""
        return bool(self._unread or self._parser.trailing_data[0])

    def receive(self, received: bytes) -> None:
        """Take bytes of an answer, and pause the transport if they are too many."""
        self._unread += received
        if len(self._unread) > _MAX_UNREAD_BYTES:
            self.transport.pause_reading()

    def begin(self) -> None:
        """Expect an answer."""
        self._progress = AnswerProgress()

    def end(self) -> None:
        """Hold no bytes of an answer any more."""
        self._budget.release(self)

    def give_up(self) -> None:
        """End the answer, since the host can't hold it."""
        self.fault = (
            f'given up at {self._progress.body_bytes} bytes: '
            'it was the largest of too many unfinished answers'
        )
        self._unread.clear()
        self.transport.abort()

    async def read_head(self) -> h11.Response:
        """Return the head of the answer, behind any interim ones."""
        self._is_in_head = True
        while not isinstance(event := await self._next_event(), h11.Response):
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBrokenError('no answer came')
            self._progress.note_interim()
            self._check_limits()
        self._is_in_head = False
        return event

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the whole body; raise AnswerInvalidError if it is longer."""
        # One piece of memory: small chunks as objects of their own take many times
        # their length.
        body = bytearray()
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise AnswerInvalidError('the answer did not end')
            body += event.data
            self._progress.body_bytes = len(body)
            self._reserve(len(event.data))
            if len(body) > limit_bytes:
                raise AnswerInvalidError('the answer is too long')
        return bytes(body)

    async def skip_body(self) -> None:
        """Take a body that is not passed on, if it comes soon."""
        # The head says all; the connection is kept if the rest comes soon.
        with suppress(h11.ProtocolError, AnswerInvalidError, ConnectionBrokenError):
            with anyio.move_on_after(_SKIP_TIMEOUT_S):
                await self.read_body(_MAX_SKIP_BYTES)

    def _reserve(self, size_bytes: int) -> None:
        largest = self._budget.take(self, size_bytes)
        if isinstance(largest, AnswerReader):
            largest.give_up()

    async def _next_event(self) -> object:
        self._events += 1
        if self._events % _EVENTS_PER_YIELD == 0:
            await lowlevel.checkpoint()
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            self._check_limits()
            await self._read_more()
        if self.fault:
            raise AnswerInvalidError(self.fault)
        return event

    def _check_limits(self) -> None:
        fault = self.fault or self._progress.find_fault()
        if self._is_in_head and not fault:
            fault = find_head_fault(self._parser.trailing_data[0])
        if fault:
            raise AnswerInvalidError(fault)

    async def _read_more(self) -> None:
        while not self._unread and not self.has_eof:
            await self._wait()
        part = bytes(self._unread[:_READ_BYTES])
        del self._unread[:_READ_BYTES]
        if not self._unread:
            self.transport.resume_reading()
        self._progress.received_bytes += len(part)
        # An empty part tells the parser that the peer sends no more.
        self._parser.receive_data(part)


def check_content_length(method: str, answer: h11.Response) -> None:
    """Raise AnswerInvalidError if the head announces too long a body."""
    if method == 'HEAD' or answer.status_code in _NO_BODY:
        return
    for name, text in answer.headers:
        if name == b'content-length' and int(text) > MAX_ANSWER_BYTES:
            raise AnswerInvalidError(f'the answer is too long: {int(text)} bytes')
