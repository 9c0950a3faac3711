"""Read the requests that a client sends on one connection."""

import abc
import asyncio
from http import HTTPStatus

import h11

from cicadadoor.decisions.memory_account import Reservation
from cicadadoor.entry.connection_context import ConnectionContext
from cicadadoor.entry.exchange import Exchange

# Bytes of requests that cannot be parsed yet. Reading stops beyond them.
MAX_UNREAD_BYTES = 65_536
_MIN_ROOM_BYTES = 4096
# Parsed in one step. The parser copies what it is given, and parses many small chunks
# of a body slowly.
_PIECE_BYTES = 16_384


def new_parser(context: ConnectionContext) -> h11.Connection:
    """Return a parser for one request; the reader limits the head itself."""
    limit_bytes = context.max_head_bytes + _PIECE_BYTES
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limit_bytes)


class RequestSink(abc.ABC):
    """Take the requests that a reader finds."""

    @abc.abstractmethod
    def may_begin(self) -> bool:
        """Tell whether the next request may be read."""

    @abc.abstractmethod
    def is_first(self, exchange: Exchange) -> bool:
        """Tell whether all earlier requests have been answered."""

    @abc.abstractmethod
    def begin_exchange(self) -> Exchange:
        """Return a new exchange for the request whose first bytes have arrived."""

    @abc.abstractmethod
    def receive_head(self, exchange: Exchange) -> None:
        """Take note of a complete request head."""

    @abc.abstractmethod
    def receive_body(self, exchange: Exchange, part: bytes | bytearray) -> bool:
        """Store a part of the body; return False if the request was refused."""

    @abc.abstractmethod
    def send_continue(self, exchange: Exchange) -> bool:
        """Ask for the body; return False if the request was refused instead."""

    @abc.abstractmethod
    def receive_end(self, exchange: Exchange) -> None:
        """Handle a complete request."""

    @abc.abstractmethod
    def reject(self, exchange: Exchange, status: int) -> None:
        """Refuse bytes that are no valid request."""

    @abc.abstractmethod
    def reject_memory(self) -> None:
        """Close the connection, since its bytes cannot be held."""


class RequestReader:
    """Parse requests one after the other, and hold what cannot be parsed yet.

    Each received byte is either in the parser of the request that is being received, or
    in `_unread`. A request leaves its parser in one of two ways: at its end, when the
    bytes that the parser has not used return to the front of `_unread`, or by closing
    the reader for good.
    """

    def __init__(
        self,
        sink: RequestSink,
        transport: asyncio.Transport,
        reservation: Reservation,
        context: ConnectionContext,
    ) -> None:
        self._sink = sink
        self._transport = transport
        self._reservation = reservation
        self._context = context
        self._unread = bytearray()
        # What is reserved for these bytes and those of a held request.
        self._reserved_bytes = 0
        self._is_resuming = False
        self._is_closed = False
        self.is_paused = False
        # The request whose end has not arrived yet.
        self.receiving: Exchange | None = None

    @property
    def room_bytes(self) -> int:
        """Return how many bytes may be received at once."""
        return max(_MIN_ROOM_BYTES, MAX_UNREAD_BYTES - len(self._unread))

    def receive(self, received: memoryview) -> None:
        """Parse received bytes as far as the sink allows, and keep the others."""
        if self._is_closed:
            return
        used = 0 if self._unread else self._parse(received)
        self._keep(received[used:])
        if len(self._unread) >= MAX_UNREAD_BYTES and not self.is_paused:
            self.is_paused = True
            self._transport.pause_reading()
        self.resume()

    def resume(self) -> None:
        """Continue with the kept bytes in the next pass of the event loop.

        One request is begun in each pass, so that a client that sends many at once does
        not block the event loop.
        """
        if self._is_resuming or self._is_closed:
            return
        is_held = self.receiving is not None and self.receiving.is_held
        if (self._unread or is_held) and self._may_read():
            self._is_resuming = True
            asyncio.get_running_loop().call_soon(self._continue)

    def close(self) -> None:
        """Stop parsing, and discard the kept bytes."""
        self._is_closed = True
        self._reservation.shrink(self._reserved_bytes)
        self._reserved_bytes = 0
        self._unread = bytearray()
        self.receiving = None
        self._resume_transport()

    def _continue(self) -> None:
        self._is_resuming = False
        if self._is_closed:
            return
        if self.receiving is not None and self._may_read():
            # Events of a request that was held until it became the first.
            self.receiving.is_held = False
            self._read_events(self.receiving)
        unread, self._unread = self._unread, bytearray()
        used = self._parse(memoryview(unread))
        self._keep(memoryview(unread)[used:])
        self._resume_transport()
        self.resume()

    def _keep(self, rest: memoryview) -> None:
        """Keep bytes behind those that a parser has returned."""
        if self._is_closed:
            return
        self._unread += rest
        kept_bytes = len(self._unread)
        if self.receiving is not None and self.receiving.is_held:
            kept_bytes += len(self.receiving.parser.trailing_data[0])
        missing_bytes = kept_bytes - self._reserved_bytes
        if missing_bytes < 0:
            self._reservation.shrink(-missing_bytes)
        elif missing_bytes and not self._reservation.grow(missing_bytes):
            self._sink.reject_memory()
            return
        self._reserved_bytes = kept_bytes

    def _resume_transport(self) -> None:
        if self.is_paused and len(self._unread) < MAX_UNREAD_BYTES // 2:
            self.is_paused = False
            self._transport.resume_reading()

    def _may_read(self) -> bool:
        if self._is_closed:
            return False
        receiving = self.receiving
        if receiving is None:
            return self._sink.may_begin()
        return not receiving.is_held or self._sink.is_first(receiving)

    def _parse(self, received: memoryview) -> int:
        """Parse up to the end of one request; return how many bytes a parser took."""
        used = 0
        while used < len(received) and self._may_read():
            exchange = self.receiving
            if exchange is None:
                exchange = self._sink.begin_exchange()
                self.receiving = exchange
            size_bytes = _PIECE_BYTES
            if not exchange.has_head:
                left_bytes = self._context.max_head_bytes - exchange.head_bytes
                size_bytes = min(size_bytes, left_bytes)
            piece = received[used : used + size_bytes]
            if not exchange.has_head:
                exchange.head_bytes += len(piece)
            exchange.parser.receive_data(piece)
            used += len(piece)
            self._read_events(exchange)
            if exchange.is_whole:
                return used
        return used

    def _read_events(self, exchange: Exchange) -> None:
        try:
            while self.receiving is exchange and self._may_read():
                if not self._handle_event(exchange, exchange.parser.next_event()):
                    return
        except h11.RemoteProtocolError as error:
            # A frame of h11 refers to its error. The traceback would keep this frame
            # and its callers', with the unread bytes, until garbage is collected.
            error.with_traceback(None)
            self.close()
            self._sink.reject(exchange, error.error_status_hint)

    def _handle_event(self, exchange: Exchange, event: object) -> bool:
        """Handle one event of the parser; return whether there may be another one."""
        if isinstance(event, h11.Data):
            if not self._sink.receive_body(exchange, event.data):
                self.close()
        elif isinstance(event, h11.Request):
            if _has_two_lengths(event):
                self.close()
                self._sink.reject(exchange, HTTPStatus.BAD_REQUEST)
                return False
            _store_head(exchange, event)
            self._sink.receive_head(exchange)
        elif isinstance(event, h11.EndOfMessage):
            exchange.is_whole = True
            exchange.is_last = exchange.parser.their_state is h11.MUST_CLOSE
            self.receiving = None
            self._unread = bytearray(exchange.parser.trailing_data[0]) + self._unread
            self._sink.receive_end(exchange)
        else:
            self._handle_pause(exchange)
            return False
        return True

    def _handle_pause(self, exchange: Exchange) -> None:
        if not exchange.has_head:
            if exchange.head_bytes >= self._context.max_head_bytes:
                self.close()
                status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                self._sink.reject(exchange, status)
        elif exchange.parser.they_are_waiting_for_100_continue:
            if not self._sink.send_continue(exchange):
                self.close()


def _has_two_lengths(event: h11.Request) -> bool:
    """Tell whether others could see the end of the body at another place."""
    names = {name for name, _ in event.headers}
    return names >= {b'content-length', b'transfer-encoding'}


def _store_head(exchange: Exchange, event: h11.Request) -> None:
    exchange.method = event.method.decode('ascii')
    exchange.target = bytes(event.target)
    exchange.headers = list(event.headers)
    for name, text in exchange.headers:
        if name == b'content-length':
            exchange.body.declared_bytes = int(text)
        elif name == b'transfer-encoding':
            exchange.body.declared_bytes = None
    exchange.body.expects_continue = exchange.parser.they_are_waiting_for_100_continue
