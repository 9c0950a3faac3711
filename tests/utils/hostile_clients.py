"""Stand in for clients that ignore the limits, and for the server that they use."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import h11

# Bodies and responses are sent in such pieces of one shared buffer.
_PIECE = bytes(65_536)
_CHUNK_BYTES = 4096
# Clients that read slowly take this much at a time.
_SIP_BYTES = 256
_SIP_S = 0.1
_DRIP_S = 0.05
# The kernel holds little of a response for a client that does not read.
_RECEIVE_BUFFER_BYTES = 4096
# The crowd comes from several addresses, ordinary callers from 127.0.0.1.
_SOURCES = ('127.0.0.2', '127.0.0.3', '127.0.0.4', '127.0.0.5')
_BACKLOG = 1024


class StreamingBackend:
    """Take bodies without keeping them, and send long responses piece by piece.

    The last part of the path is the size of the response in bytes.
    """

    def __init__(self) -> None:
        self.moved_bytes = 0
        # The size of the body of each request that has run.
        self.bodies: list[int] = []
        self._listener: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen and return the address."""
        self._listener = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, backlog=_BACKLOG
        )
        host_ip, port = self._listener.sockets[0].getsockname()
        return f'{host_ip}:{port}'

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._listener.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_request(h11.Connection(h11.SERVER), reader, writer):
                # The host sends the next request after the response to this one.
                pass
        except (OSError, h11.RemoteProtocolError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(self, parser, reader, writer) -> bool:
        request = None
        size_bytes = 0
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                received = await reader.read(len(_PIECE))
                self.moved_bytes += len(received)
                parser.receive_data(received)
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                size_bytes += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.bodies.append(size_bytes)
                await self._answer(request, writer)
                return True
            else:
                return False

    async def _answer(self, request: h11.Request, writer) -> None:
        fields = dict(request.headers)
        size_bytes = int(request.target.rpartition(b'/')[2])
        head = (
            b'HTTP/1.1 200 OK\r\n'
            b'Attempt-Id: %b\r\n'
            b'Response-Signature: signed\r\n'
            b'Server-Load: 1,0,64\r\n'
            b'Content-Length: %d\r\n\r\n'
        )
        writer.write(head % (fields[b'attempt-id'], size_bytes))
        for start in range(0, size_bytes, len(_PIECE)):
            piece = _PIECE[: size_bytes - start]
            writer.write(piece)
            await writer.drain()
            self.moved_bytes += len(piece)


class Client:
    """Send bytes of one connection of the crowd."""

    def __init__(self, crowd: 'Crowd', reader, writer) -> None:
        self.reader = reader
        self._crowd = crowd
        self._writer = writer

    async def send(self, content: bytes) -> None:
        """Send bytes, and wait while the host does not read."""
        self._writer.write(content)
        await self._writer.drain()
        self._crowd.sent_bytes += len(content)

    async def send_sized(self, size_bytes: int) -> None:
        """Send a part of a body of stated length."""
        for start in range(0, size_bytes, len(_PIECE)):
            await self.send(_PIECE[: size_bytes - start])

    async def send_chunks(self, size_bytes: int) -> None:
        """Send a part of a chunked body."""
        chunk = b'%x\r\n%b\r\n' % (_CHUNK_BYTES, _PIECE[:_CHUNK_BYTES])
        for _ in range(size_bytes // _CHUNK_BYTES):
            await self.send(chunk)

    async def wait_closed(self) -> None:
        """Read until the host closes the connection."""
        while await self.reader.read(len(_PIECE)):
            pass


Work = Callable[[Client], Awaitable[None]]


class Crowd:
    """Run many clients at once against the ports of one host."""

    def __init__(self, addresses: dict[str, str]) -> None:
        self.sent_bytes = 0
        # Set when clients send the ends of their bodies.
        self.released = asyncio.Event()
        self._addresses = addresses
        self._attempts = 0
        self._connecting = 0
        self._tasks: list[asyncio.Task] = []
        self._writers: list[asyncio.StreamWriter] = []

    @property
    def is_done(self) -> bool:
        """Tell whether all clients have ended."""
        return all(task.done() for task in self._tasks)

    @property
    def is_connected(self) -> bool:
        """Tell whether each client has been connected or refused."""
        return self._connecting == 0

    def next_attempt(self) -> str:
        """Return a new attempt id."""
        self._attempts += 1
        return f'attempt-{self._attempts}'

    def start(self, count: int, work: Work, port: str = 'callers') -> None:
        """Start clients; a client ends when the host closes its connection."""
        for _ in range(count):
            source = _SOURCES[len(self._tasks) % len(_SOURCES)]
            task = asyncio.create_task(self._run(work, port, source))
            self._tasks.append(task)
        self._connecting += count

    def close(self) -> None:
        """Reset all connections."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def head(self, method: str, target: str, *fields: str) -> bytes:
        """Return a complete request header of the crowd's organisation."""
        lines = (
            f'{method} {target} HTTP/1.1',
            'Host: site.example',
            'Authorization: Bearer key-school',
            f'Attempt-Id: {self.next_attempt()}',
            'Deadline-Ms: 60000',
            *fields,
        )
        return '\r\n'.join(lines).encode() + b'\r\n\r\n'

    async def _run(self, work: Work, port: str, source: str) -> None:
        with suppress(OSError):
            try:
                reader, writer = await _connect(self._addresses[port], source)
            finally:
                self._connecting -= 1
            self._writers.append(writer)
            await work(Client(self, reader, writer))


async def _connect(address: str, source: str):
    host_ip, _, port = address.rpartition(':')
    raw_socket = socket.socket()
    raw_socket.setblocking(False)  # noqa: WPS425
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    raw_socket.bind((source, 0))
    loop = asyncio.get_running_loop()
    await loop.sock_connect(raw_socket, (host_ip, int(port)))
    return await asyncio.open_connection(sock=raw_socket, limit=_RECEIVE_BUFFER_BYTES)


def whole_body(crowd: Crowd, size_bytes: int, target: str = '/store/1') -> Work:
    """Send a body of stated length; its last byte only once all others are sent."""

    async def work(client: Client) -> None:
        await client.send(crowd.head('POST', target, f'Content-Length: {size_bytes}'))
        await client.send_sized(size_bytes - 1)
        await crowd.released.wait()
        await client.send(b'\0')
        await client.wait_closed()

    return work


def chunked_body(crowd: Crowd, size_bytes: int, target: str = '/store/1') -> Work:
    """Send a chunked body; its end only once all other chunks are sent."""

    async def work(client: Client) -> None:
        await client.send(crowd.head('POST', target, 'Transfer-Encoding: chunked'))
        await client.send_chunks(size_bytes)
        await crowd.released.wait()
        await client.send(b'0\r\n\r\n')
        await client.wait_closed()

    return work


def slow_reader(crowd: Crowd, size_bytes: int) -> Work:
    """Ask for a long response and read it in sips."""

    async def work(client: Client) -> None:
        await client.send(crowd.head('GET', f'/fetch/{size_bytes}'))
        while await client.reader.read(_SIP_BYTES):
            await asyncio.sleep(_SIP_S)

    return work


def pipelined(crowd: Crowd, count: int, target: str) -> Work:
    """Send many requests on a connection and read no response."""

    async def work(client: Client) -> None:
        for _ in range(count):
            await client.send(crowd.head('GET', target))
        await asyncio.Event().wait()

    return work


def dripped_head(crowd: Crowd, target: str) -> Work:
    """Send a request header byte by byte, and never its end."""

    async def work(client: Client) -> None:
        for byte in crowd.head('GET', target).rstrip():
            await client.send(bytes((byte,)))
            await asyncio.sleep(_DRIP_S)
        while True:
            await client.send(b'a')
            await asyncio.sleep(_DRIP_S)

    return work


def silent(crowd: Crowd) -> Work:
    """Open a connection and send nothing."""

    async def work(client: Client) -> None:
        await client.wait_closed()

    return work
