"""Decide which requests of a connection are read, and hold their bodies.

Further requests run beside the first one only while all of them may run more than once:
a client that resends the requests behind a closed connection would otherwise run one
twice.
"""

import random
from functools import partial
from typing import TYPE_CHECKING

from cicadadoor.decisions.memory_account import LARGE_BYTES, Owner
from cicadadoor.decisions.progress_limits import BodyProgress
from cicadadoor.entry.connection_context import ConnectionContext
from cicadadoor.entry.exchange import REQUEST_BYTES, Exchange, Response
from cicadadoor.entry.request_reader import RequestSink, new_parser
from cicadadoor.entry.response_queue import ResponseQueue
from cicadadoor.entry.response_writer import ResponseWriter
from cicadadoor.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from cicadadoor.entry.caller_connection import CallerConnection

# Requests of one connection that run side by side.
_MAX_RUNNING = 8
# Memory is usually free again once stalled bodies have timed out.
_RETRY_MS = 1000
_RETRY_JITTER_MS = 2000


class RequestIntake(RequestSink):
    """Take requests from the reader, and hand complete ones to the handler."""

    def __init__(
        self,
        context: ConnectionContext,
        connection: 'CallerConnection',
        queue: ResponseQueue,
        writer: ResponseWriter,
        owner: Owner,
    ) -> None:
        self._context = context
        self._connection = connection
        self._queue = queue
        self._writer = writer
        self._owner = owner

    def close(self) -> None:
        """Do not refer to the ended connection any more; the reader is closed."""
        del self._connection

    def may_begin(self) -> bool:
        """Tell whether the next request may be read."""
        if self._connection.is_closing:
            return False
        if not self._queue:
            return True
        last = self._queue.last
        if last.is_last or len(self._queue) >= _MAX_RUNNING:
            return False
        handler = self._context.handler
        if handler.is_full or handler.must_close:
            return False
        return self._context.may_repeat(last)

    def is_first(self, exchange: Exchange) -> bool:
        """Tell whether all earlier requests have been answered."""
        return self._queue.first is exchange

    def begin_exchange(self) -> Exchange:
        """Return a new exchange for the request whose first bytes have arrived."""
        due_s = self._context.now_s() + self._context.header_timeout_s
        exchange = Exchange(
            self._connection, new_parser(self._context), self._owner, due_s
        )
        self._queue.add(exchange)
        self._connection.timeouts.due_s = min(self._connection.timeouts.due_s, due_s)
        self._connection.note_phase()
        return exchange

    def receive_head(self, exchange: Exchange) -> None:
        """Let the handler check the head, and prepare for the body."""
        failure = self._context.begin(exchange)
        if (
            failure is None
            and (exchange.body.declared_bytes or 0) > self._body_limit_bytes
        ):
            failure = self._too_large()
        if failure is not None:
            self.refuse(exchange, failure)
            return
        if len(self._queue) > 1:
            may_repeat = self._context.may_repeat(exchange)
            exchange.is_held = exchange.body.expects_continue or not may_repeat
        if exchange.body.declared_bytes != 0:
            self._begin_body(exchange)

    def receive_body(self, exchange: Exchange, part: bytes | bytearray) -> bool:
        """Store a part of the body, if the account allows it."""
        reservation = exchange.body.reservation
        if reservation is None or exchange.body.progress is None:
            return False
        size_bytes = len(exchange.body.content) + len(part)
        if size_bytes > self._body_limit_bytes:
            self.refuse(exchange, self._too_large())
            return False
        declared_bytes = exchange.body.declared_bytes
        expected_bytes = declared_bytes or self._body_limit_bytes
        reservation.left_bytes = expected_bytes - size_bytes
        # The rest of a body in chunks is not known.
        rest_bytes = reservation.left_bytes if declared_bytes else 0
        if not reservation.grow(len(part), rest_bytes):
            self._refuse_for_memory(exchange)
            return False
        exchange.body.progress.note(len(part), self._context.now_s())
        exchange.body.content += part
        return True

    def send_continue(self, exchange: Exchange) -> bool:
        """Ask for the body, if there is room for it."""
        size_bytes = exchange.body.declared_bytes or 0
        if size_bytes > LARGE_BYTES and not self._context.account.has_room(size_bytes):
            self._refuse_for_memory(exchange)
            return False
        self._writer.write_continue(exchange)
        return True

    def receive_end(self, exchange: Exchange) -> None:
        """Hand a complete request to the handler."""
        reservation = self._context.account.open('response', exchange.owner)
        exchange.response_reservation = reservation
        if not reservation.grow(REQUEST_BYTES):
            self._refuse_for_memory(exchange)
            return
        if exchange.body.reservation is not None:
            # The request may run from now on, so that it cannot be refused any more.
            exchange.body.reservation.on_evict = None
        self._connection.note_phase()
        self._context.handle(exchange)

    def reject(self, exchange: Exchange, status: int) -> None:
        """Refuse bytes that are no valid request."""
        self._connection.stop_reading()
        self._connection.respond(exchange, Response(status, [], b'', closes=True))

    def reject_memory(self) -> None:
        """Close the connection, since its bytes cannot be held."""
        self._connection.reset('memory')

    def refuse(self, exchange: Exchange, failure: Failure, reason: str = '') -> None:
        """Answer a request that has not been handled, and close the connection."""
        if reason:
            self._context.note_rejected(reason, self._owner.address, 'refused')
        self._connection.stop_reading()
        response = self._context.handler.refuse(exchange, failure)
        response.closes = True
        if not exchange.has_head:
            # The method may be HEAD, whose client reads no body.
            response.body = b''
        self._connection.respond(exchange, response)

    @property
    def _body_limit_bytes(self) -> int:
        return self._context.max_body_bytes

    def _begin_body(self, exchange: Exchange) -> None:
        context = self._context
        exchange.body.content = bytearray()
        exchange.body.progress = BodyProgress(context.now_s(), context.header_timeout_s)
        reservation = context.account.open('request_body', exchange.owner)
        reservation.on_evict = partial(self._refuse_for_memory, exchange)
        exchange.body.reservation = reservation

    def _too_large(self) -> Failure:
        return Failure(
            ErrorKind.REQUEST_TOO_LARGE,
            f'request body exceeds the limit of {self._body_limit_bytes} bytes',
        )

    def _refuse_for_memory(self, exchange: Exchange) -> None:
        delay_ms = _RETRY_MS + int(random.random() * _RETRY_JITTER_MS)
        failure = Failure(
            ErrorKind.NO_CAPACITY, 'too little memory for the request', delay_ms
        )
        self.refuse(exchange, failure, 'memory')
