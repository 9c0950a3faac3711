"""Exchange HTTP/1.1 requests with backend servers over persistent connections.

The event loop also reads idle connections. Bytes that arrive on one belong to no
request, and a close by the peer is noticed at once, so the socket need not be checked
before each request.
"""

import asyncio
import socket
from collections.abc import Callable
from contextlib import ExitStack, suppress
from functools import partial
from typing import Any

import anyio
import h11

from cicadadoor.decisions.memory_account import MemoryAccount, Reservation
from cicadadoor.entry.messages import Headers
from cicadadoor.entry.response_reader import (
    MAX_RESPONSE_BYTES,
    ConnectionBrokenError,
    InvalidResponseError,
    ResponseReader,
    check_content_length,
)
from cicadadoor.sockets import CLOSE_GRACEFULLY, CLOSE_WITH_RESET, KEEP_ALIVE_OPTIONS

# Bodies are written in parts, so that an early response is noticed before the end.
_WRITE_BYTES = 65_536
# Without it, the event loop receives 256 KB at a time from each of many connections
# before any of the bytes are parsed.
_READ_BYTES = 65_536
# Kernel memory for bytes that the process has not read; the kernel doubles the number.
# REQUEST_BYTES holds as much for each running request.
_SOCKET_BUFFER_BYTES = 65_536
_buffer = memoryview(bytearray(_READ_BYTES))
WantsBody = Callable[[int, Headers], bool]


def _want_any_body(status: int, headers: Headers) -> bool:
    return True


class RawResponse:
    """Hold status, headers and the complete body of an HTTP response."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, status: int, headers: Headers, body: bytes | bytearray) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class BackendConnection(asyncio.BufferedProtocol):
    """Exchange one request and response at a time."""

    def __init__(self, account: MemoryAccount) -> None:
        self._transport: asyncio.Transport
        self._parser = h11.Connection(h11.CLIENT)
        # The reader must not refer to the connection: it would be freed, with the
        # bytes in its parser, only by the garbage collector.
        self._reader = ResponseReader(self._parser, account)
        self._can_write = True
        self.is_busy = False
        self.is_broken = False
        # Set once a byte of the current request may have been sent.
        self.has_sent = False
        self.has_received = False

    def connection_made(self, transport: Any) -> None:
        """Store the transport and set the options of the socket."""
        self._transport = transport
        self._reader.transport = transport
        raw_socket = transport.get_extra_info('socket')
        for level, option, setting in KEEP_ALIVE_OPTIONS:
            raw_socket.setsockopt(level, option, setting)
        # Set here rather than in `abort`, so that it also takes effect where the
        # process is killed or the transport closes the socket by itself.
        self._set_linger(CLOSE_WITH_RESET)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for received bytes, which all connections share."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle received bytes."""
        self.data_received(_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Pass received bytes to the reader."""
        if not self.is_busy:
            # Bytes that belong to no request, such as a duplicate response.
            self.abort()
            return
        self.has_received = True
        self._reader.receive(data)
        self._reader.notify()

    def eof_received(self) -> bool:
        """Mark the end of the stream from the peer."""
        self.is_broken = True
        if self.is_busy:
            self._reader.has_eof = True
        else:
            self._set_linger(CLOSE_GRACEFULLY)
        self._reader.notify()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the connection as closed."""
        self.is_broken = True
        if not self._reader.has_eof:
            self._reader.error = exc or ConnectionResetError(
                'connection closed by the peer'
            )
        self._reader.notify()

    def pause_writing(self) -> None:
        """Stop writing until the transport has drained its buffer."""
        self._can_write = False

    def resume_writing(self) -> None:
        """Resume writing."""
        self._can_write = True
        self._reader.notify()

    def abort(self) -> None:
        """Reset the connection; the backend server then drops the running request.

        Bytes that the server has not acknowledged are discarded. A graceful close would
        still deliver them, and a request behind a partition would run after it heals.
        """
        self.is_broken = True
        self._transport.abort()

    def close_idle(self) -> None:
        """Close a connection on which no request is running."""
        self.is_broken = True
        self._set_linger(CLOSE_GRACEFULLY)
        self._transport.abort()

    async def exchange(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes | bytearray,
        wants_body: WantsBody = _want_any_body,
        reservation: Reservation | None = None,
    ) -> RawResponse:
        """Send a request and return the complete response.

        The body is empty if `wants_body` returns false; otherwise its bytes are added
        to the reservation. The connection is closed if it cannot be reused after the
        response.
        """
        self.is_busy = True
        self.has_sent = False
        self.has_received = False
        self._reader.begin(reservation)
        try:
            request = h11.Request(method=method, target=target, headers=headers)
            head = self._parser.send(request)
        except h11.LocalProtocolError as error:
            self.abort()
            raise InvalidResponseError(str(error)) from error
        is_done = False
        try:
            response = await self._run(method, head, body, wants_body)
            is_done = True
        except h11.ProtocolError as error:
            # A frame of h11 refers to its error. The traceback would keep the
            # connection and its bytes until garbage is collected.
            error.with_traceback(None)
            if self.has_received:
                raise InvalidResponseError(str(error)) from error
            raise ConnectionBrokenError(
                'connection closed before a response'
            ) from error
        finally:
            self._finish(is_done=is_done)
        return response

    async def _run(
        self, method: str, head: bytes, body: bytes | bytearray, wants_body: WantsBody
    ) -> RawResponse:
        if self.is_broken:
            raise ConnectionBrokenError('connection closed before the request was sent')
        self.has_sent = True
        self._transport.write(head)
        await self._write_body(body)
        response = await self._reader.read_head()
        headers = [(bytes(name), bytes(text)) for name, text in response.headers]
        if not wants_body(response.status_code, headers):
            await self._reader.skip_body()
            return RawResponse(response.status_code, headers, b'')
        check_content_length(method, response)
        content = await self._reader.read_body(MAX_RESPONSE_BYTES)
        return RawResponse(response.status_code, headers, content)

    async def _write_body(self, body: bytes | bytearray) -> None:
        for start in range(0, len(body), _WRITE_BYTES):
            part = h11.Data(data=body[start : start + _WRITE_BYTES])
            self._transport.write(self._parser.send(part) or b'')
            while not self._can_write and not self._is_answered:
                await self._reader.wait()
            if self._is_answered:
                # The server has responded early or closed its side: the rest of the
                # body is not needed, and the connection cannot be reused.
                return
        self._transport.write(self._parser.send(h11.EndOfMessage()) or b'')

    @property
    def _is_answered(self) -> bool:
        return self.has_received or self._reader.has_eof

    def _set_linger(self, linger: bytes) -> None:
        raw_socket = self._transport.get_extra_info('socket')
        # The socket is closed already if the peer has reset the connection.
        with suppress(OSError):
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _finish(self, *, is_done: bool) -> None:
        self._reader.end(is_done=is_done)
        self.is_busy = False
        if not is_done or not self._can_reuse():
            self.abort()

    def _can_reuse(self) -> bool:
        if self.is_broken or self._reader.has_extra_bytes:
            return False
        try:
            self._parser.start_next_cycle()
        except h11.LocalProtocolError:
            # One side has requested that the connection be closed.
            return False
        return True


async def connect(
    address: str,
    timeout_s: float,
    account: MemoryAccount | None = None,
) -> BackendConnection:
    """Open a connection; raise OSError, or TimeoutError after `timeout_s`."""
    host_ip, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    with ExitStack() as stack, anyio.fail_after(timeout_s):
        raw_socket = stack.enter_context(_open_socket(host_ip))
        await loop.sock_connect(raw_socket, (host_ip, int(port)))
        _, connection = await loop.create_connection(
            partial(BackendConnection, account or MemoryAccount(MAX_RESPONSE_BYTES)),
            sock=raw_socket,
        )
        # The transport closes the socket from now on.
        stack.pop_all()
    return connection


def _open_socket(host_ip: str) -> socket.socket:
    family = socket.AF_INET6 if ':' in host_ip else socket.AF_INET
    raw_socket = socket.socket(family, socket.SOCK_STREAM)
    raw_socket.setblocking(False)
    # Otherwise the kernel may hold megabytes for a connection.
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER_BYTES)
    return raw_socket
