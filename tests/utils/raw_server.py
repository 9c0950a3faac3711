"""Serve HTTP/1.1 with full control of the bytes on the connection."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, suppress

import h11


class RawRequest:
    """Hold a received request."""

    def __init__(self, request: h11.Request, body: bytes) -> None:
        self.method = request.method.decode()
        self.target = request.target.decode()
        self.headers = {
            name.decode().lower(): text.decode() for name, text in request.headers
        }
        self.body = body


class RawConnection:
    """Send answers, arbitrary bytes or a reset over a connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.is_open = True

    async def answer(
        self,
        status: int | str,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> None:
        """Send a complete answer with its content length."""
        lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
        lines.extend(f'{name}: {text}' for name, text in (headers or {}).items())
        await self.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)

    async def write(self, content: bytes) -> None:
        """Send raw bytes."""
        self._writer.write(content)
        await self._writer.drain()

    def close(self) -> None:
        """Close the connection gracefully."""
        self.is_open = False
        self._writer.close()

    def reset(self) -> None:
        """Abort the connection with a TCP reset."""
        self.is_open = False
        raw_socket = self._writer.get_extra_info('socket')
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self._writer.transport.abort()

    async def closed(self) -> None:
        """Wait until the peer closes or resets the connection."""
        with suppress(ConnectionResetError):
            await self._reader.read()


Handler = Callable[[RawRequest, RawConnection], Awaitable[None]]


class RawServer:
    """Serve a handler on a port of the loopback interface."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self.address = ''
        self.connections = 0
        self._tasks: set[asyncio.Task] = set()

    async def serve(self, reader, writer) -> None:
        """Handle the requests of one connection in sequence."""
        self.connections += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (ConnectionError, h11.RemoteProtocolError):
            return
        finally:
            # Also after a cancellation: a writer that is freed after its event loop has
            # ended raises an error wherever the garbage collector runs.
            writer.close()
            self._tasks.discard(task)

    async def _serve(self, reader, writer) -> None:
        connection = RawConnection(reader, writer)
        parser = h11.Connection(h11.SERVER)
        while connection.is_open:
            request = await _next_request(parser, reader)
            if request is None:
                writer.close()
                return
            await self._handler(request, connection)
            # The parser only reads; the handler's answers bypass it, so each request
            # needs a new one.
            rest = parser.trailing_data[0]
            parser = h11.Connection(h11.SERVER)
            if rest:
                parser.receive_data(rest)

    async def stop(self) -> None:
        """Cancel the tasks of all connections."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)


async def _next_request(parser, reader) -> RawRequest | None:
    request = None
    parts: list[bytes] = []
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            content = await reader.read(65_536)
            if not content and request is None:
                return None
            parser.receive_data(content)
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return RawRequest(request, b''.join(parts))
        else:
            return None


@asynccontextmanager
async def serving(handler: Handler, address: str = '127.0.0.1:0'):
    """Serve while the context is open, and yield the server with its bound address."""
    server = RawServer(handler)
    host_ip, _, port = address.rpartition(':')
    listener = await asyncio.start_server(server.serve, host_ip, int(port))
    bound = listener.sockets[0].getsockname()
    server.address = f'{bound[0]}:{bound[1]}'
    try:
        yield server
    finally:
        listener.close()
        await server.stop()
