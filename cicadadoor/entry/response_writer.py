"""Write responses to a client in pieces, as fast as the client takes them."""

import asyncio
import fcntl
import sys
import termios
import time
from email.utils import formatdate

import h11

from cicadadoor.entry.exchange import Exchange, Response

# A transport holds at most one piece that the kernel has not taken yet.
_PIECE_BYTES = 32_768
_ZERO = bytes(4)


class _DateHeader:
    """Format the current time once per second."""

    def __init__(self) -> None:
        self._second = 0
        self._header = (b'date', b'')

    def get(self) -> tuple[bytes, bytes]:
        second = int(time.time())
        if second != self._second:
            self._second = second
            self._header = (b'date', formatdate(second, usegmt=True).encode())
        return self._header


_date = _DateHeader()


class ResponseWriter:
    """Write one response after the other; each call continues where it stopped."""

    __slots__ = (
        '_body',
        '_has_ended',
        '_offset',
        '_transport',
        'can_write',
        'written_bytes',
    )

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        self._body: memoryview | None = None
        self._offset = 0
        # True once the sending side of the connection is closed.
        self._has_ended = False
        # False while the transport holds bytes that the kernel has not taken.
        self.can_write = True
        self.written_bytes = 0

    def taken_bytes(self) -> int:
        """Return the number of bytes that the client's kernel has acknowledged.

        The kernel takes further bytes only when a third of its buffer is free, which a
        slow client needs more than the time limit for.
        """
        return self.written_bytes - self.unacknowledged_bytes()

    def unacknowledged_bytes(self) -> int:
        """Return the number of written bytes that the client's kernel may not have."""
        raw_socket = self._transport.get_extra_info('socket')
        unsent = fcntl.ioctl(raw_socket.fileno(), termios.TIOCOUTQ, _ZERO)
        waiting_bytes = int.from_bytes(unsent, sys.byteorder)
        buffered_bytes = self._transport.get_write_buffer_size()
        if self._has_ended and waiting_bytes and not buffered_bytes:
            # The kernel counts the end of the stream as one byte.
            waiting_bytes -= 1
        return waiting_bytes + buffered_bytes

    @property
    def left_bytes(self) -> int:
        """Return the number of bytes of the current response still to be written."""
        return 0 if self._body is None else len(self._body) - self._offset

    def write_continue(self, exchange: Exchange) -> None:
        """Ask the client to send the body."""
        event = h11.InformationalResponse(status_code=100, headers=[])
        self._write(exchange.parser.send(event) or b'')

    def write(self, exchange: Exchange, response: Response) -> bool:
        """Write as much as the client takes; return whether all has been written."""
        # No local variable refers to the body: the traceback of a failed write keeps
        # the frames of its callers, in some cases until garbage is collected.
        if self._body is None:
            self._begin(exchange, response)
        while self.left_bytes and self.can_write:
            self._write(self._next_piece())
        if self.left_bytes:
            return False
        self._body = None
        return True

    def end(self) -> None:
        """Close the sending side of the connection behind what is written."""
        if self._transport.can_write_eof():
            self._transport.write_eof()
            self._has_ended = True

    def close(self) -> None:
        """Discard the rest of the response."""
        self._body = None

    def _begin(self, exchange: Exchange, response: Response) -> None:
        headers = [
            *response.headers,
            (b'content-length', str(len(response.body)).encode()),
        ]
        if not any(name.lower() == b'date' for name, _ in response.headers):
            headers.append(_date.get())
        if response.closes:
            headers.append((b'connection', b'close'))
        event = h11.Response(status_code=int(response.status), headers=headers)
        head = exchange.parser.send(event) or b''
        has_body = response.has_body(exchange.method)
        self._body = memoryview(response.body if has_body else b'')
        self._offset = 0
        if self.left_bytes <= _PIECE_BYTES:
            head += self._next_piece()
        self._write(head)

    def _next_piece(self) -> bytes:
        if self._body is None:
            return b''
        # A copy, so that whoever holds a piece does not hold the body.
        piece = bytes(self._body[self._offset : self._offset + _PIECE_BYTES])
        self._offset += len(piece)
        return piece

    def _write(self, piece: bytes) -> None:
        self.written_bytes += len(piece)
        self._transport.write(piece)
