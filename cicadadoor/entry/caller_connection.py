"""Serve one connection of a client."""

import asyncio
import socket
from functools import partial
from typing import Any

from cicadadoor.decisions.connection_limits import ConnectionUse, Phase
from cicadadoor.decisions.memory_account import Owner, Reservation
from cicadadoor.entry.connection_context import ConnectionContext
from cicadadoor.entry.connection_timeouts import ConnectionTimeouts, Overdue
from cicadadoor.entry.exchange import Exchange, Response
from cicadadoor.entry.request_intake import RequestIntake
from cicadadoor.entry.request_reader import RequestReader
from cicadadoor.entry.response_queue import ResponseQueue
from cicadadoor.entry.response_writer import ResponseWriter
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.sockets import CLOSE_WITH_RESET

# Objects of a connection with one request, and the transport's buffer.
_CONNECTION_BYTES = 24_576


class CallerConnection(asyncio.BufferedProtocol):
    """Read requests, hand them to the handler and send the responses in order."""

    def __init__(self, context: ConnectionContext) -> None:
        self._context = context
        self._transport: asyncio.Transport
        self._reader: RequestReader
        self._intake: RequestIntake
        self._writer: ResponseWriter
        self._queue: ResponseQueue
        self._reservation: Reservation
        # No further request is read.
        self.is_closing = False
        self._has_eof = False
        self.use: ConnectionUse
        self.timeouts: ConnectionTimeouts

    def connection_made(self, transport: Any) -> None:
        """Begin to read, unless there are too many connections."""
        context = self._context
        self._transport = transport
        peer = transport.get_extra_info('peername')
        owner = Owner(str(peer[0]) if peer else '')
        self.use = ConnectionUse(owner.address, context.now_s())
        self._reservation = context.account.open('connection', owner)
        self._writer = ResponseWriter(transport)
        self._queue = ResponseQueue(
            context,
            self._writer,
            self._linger,
            partial(self.reset, 'memory'),
            # The time limits are created below, and refer to the queue.
            lambda: self.timeouts.is_read_in_time(),
        )
        self._intake = RequestIntake(context, self, self._queue, self._writer, owner)
        self._reader = RequestReader(
            self._intake, transport, self._reservation, context
        )
        self.timeouts = ConnectionTimeouts(
            context, self._queue, self._writer, context.now_s()
        )
        if not context.add(self):
            self.reset('descriptors')
        elif not self._reservation.grow(_CONNECTION_BYTES):
            self.reset('memory')

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for received bytes, which all connections share."""
        return self._context.buffer[: self._reader.room_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle received bytes."""
        if not self.is_closing:
            self._reader.receive(self._context.buffer[:nbytes])
            self.use.moved_bytes += nbytes

    def eof_received(self) -> bool:
        """Cancel the requests without a response: the client counts as gone.

        Return whether responses that are ready are still being written.
        """
        self._has_eof = True
        self.stop_reading()
        self._queue.drop_unanswered()
        return bool(self._queue)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of the client."""
        self.stop_reading()
        # Without references to the connection, it is freed before garbage is collected.
        self._queue.close()
        self._intake.close()
        self._reservation.release()
        self._context.remove(self)

    def pause_writing(self) -> None:
        """Write no further piece until the client has taken the last one."""
        self._writer.can_write = False
        self.timeouts.begin_wait()

    def resume_writing(self) -> None:
        """Write the next pieces."""
        self._writer.can_write = True
        written_bytes = self._writer.written_bytes
        self._queue.pump()
        self.use.moved_bytes += self._writer.written_bytes - written_bytes
        if self._has_eof and not self._queue:
            self._transport.close()
        self.note_phase()
        self._reader.resume()

    def respond(self, exchange: Exchange, response: Response) -> None:
        """Send the response once all earlier requests have been answered."""
        self._queue.respond(exchange, response)
        self.note_phase()
        self._reader.resume()

    def refuse_unread(self, failure: Failure, reason: str = '') -> None:
        """Refuse the request that has been received in part."""
        receiving = self._reader.receiving
        if receiving is not None:
            self._intake.refuse(receiving, failure, reason)

    def reset(self, reason: str = '') -> None:
        """Close the connection at once, and discard what the client has not taken."""
        if reason:
            self._context.note_rejected(reason, self.use.address, 'reset')
        self.stop_reading()
        raw_socket = self._transport.get_extra_info('socket')
        if raw_socket.fileno() >= 0:
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_WITH_RESET)
        self._transport.abort()
        # Frees the memory at once; the event loop reports the end only later.
        self._queue.drop_all()

    def abort(self) -> None:
        """Close the connection at once."""
        self.stop_reading()
        self._transport.abort()

    def close(self) -> None:
        """Close the connection once the client has taken what is written."""
        self.stop_reading()
        self._transport.close()

    def check(self, now_s: float) -> None:
        """End what takes too long."""
        overdue = self.timeouts.find_overdue(now_s, self._reader.receiving)
        if overdue is Overdue.IDLE:
            self.close()
        elif overdue is Overdue.RESPONSE:
            self.reset('stalled_response')
        elif overdue is Overdue.LINGER:
            self.reset()
        elif overdue is not None:
            failure = Failure(ErrorKind.DEADLINE_PASSED, f'{overdue.value} took long')
            self.refuse_unread(failure, f'slow_{overdue.value}')

    @property
    def paused_descriptor(self) -> int | None:
        """Return the descriptor of the socket while the event loop does not read it."""
        if not self._reader.is_paused or self._transport.is_closing():
            return None
        return int(self._transport.get_extra_info('socket').fileno())

    @property
    def is_idle(self) -> bool:
        """Tell whether the connection has no request and nothing left to write."""
        return self.use.phase is Phase.IDLE and self._writer.can_write

    @property
    def is_delivering(self) -> bool:
        """Tell whether the client has yet to take responses that are all written."""
        return not self._queue and self._writer.unacknowledged_bytes() > 0

    def stop_reading(self) -> None:
        """Discard what the client still sends."""
        self.is_closing = True
        self._reader.close()

    def _linger(self) -> None:
        """Close after the last response; discard what the client still sends.

        Closing a socket with unread bytes would reset it, and the client could lose the
        response.
        """
        self.stop_reading()
        if self._has_eof:
            self._transport.close()
            return
        self._writer.end()
        self.timeouts.begin_linger()

    def note_phase(self) -> None:
        """Take note of what the connection does now."""
        if self._queue:
            first = self._queue.first
            is_running = first.is_whole and first.response is None
            phase = Phase.RUNNING if is_running else Phase.TRANSFERRING
        elif self.is_closing:
            phase = Phase.CLOSING
        else:
            phase = Phase.IDLE
        if phase is not self.use.phase:
            now_s = self._context.now_s()
            self.use.enter(phase, now_s)
            if phase is Phase.IDLE:
                self.timeouts.begin_idle(now_s)
