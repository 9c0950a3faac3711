"""Serve and send HTTP/1.1 with the standard library alone."""

import asyncio
import contextlib
import struct
import socket


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the start line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    start, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return start, headers


def encode(start, headers, body):
    lines = [start, *(f'{name}: {text}' for name, text in headers.items())]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Connection:
    """Hold one accepted connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.must_close = False

    async def answer(self, status, headers=None, body=b''):
        fields = {**(headers or {}), 'Content-Length': str(len(body))}
        self.writer.write(encode(f'HTTP/1.1 {status} X', fields, body))
        if fields.get('Connection') == 'close':
            self.must_close = True
        with contextlib.suppress(ConnectionError):
            await self.writer.drain()

    def reset(self):
        """Close with a reset."""
        raw = self.writer.get_extra_info('socket')
        if raw is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
        self.writer.transport.abort()
        self.must_close = True


class Server:
    """Serve requests one at a time on each connection; drop those whose caller left."""

    def __init__(self, handle):
        self._handle = handle
        self._connections = set()
        self._server = None
        self._socket = None
        self._fillers = []
        self.address = ''
        # A machine without power: nothing is answered, refused or reset.
        self.is_dark = False

    async def start(self, ip='127.0.0.1', port=0):
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((ip, port))
        self._server = await asyncio.start_server(
            self._serve, sock=self._socket, limit=1 << 21, backlog=512
        )
        bound_ip, bound_port = self._socket.getsockname()
        self.address = f'{bound_ip}:{bound_port}'
        return self

    async def go_dark(self):
        """Answer nothing, and let new connections hang."""
        self.is_dark = True
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        # Connections hang once the queue of new ones is full.
        self._socket.listen(0)
        ip, _, port = self.address.rpartition(':')
        for _ in range(8):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((ip, int(port)))
            self._fillers.append(filler)
        await asyncio.sleep(0)

    async def come_back(self):
        """Start again at the same address, and know no earlier connection."""
        ip, _, port = self.address.rpartition(':')
        self.end()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._socket.close()
        self.is_dark = False
        await self.start(ip, int(port))

    def end(self):
        """End as a process does: nothing listens, and all connections are closed."""
        self._server.close()
        for connection in list(self._connections):
            connection.must_close = True
            connection.writer.transport.abort()
        self._connections.clear()

    async def _serve(self, reader, writer):
        connection = Connection(reader, writer)
        self._connections.add(connection)
        try:
            while not connection.must_close:
                request = await self._read(connection)
                while self.is_dark and connection in self._connections:
                    await asyncio.sleep(0.05)
                if request is None or connection.must_close:
                    return
                await self._run(request, connection)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._connections.discard(connection)
            with contextlib.suppress(Exception):
                writer.close()

    async def _read(self, connection):
        found = await read_head(connection.reader)
        if found is None:
            return None
        start, headers = found
        method, target, _ = start.split(' ', 2)
        size = int(headers.get('content-length', 0))
        body = await connection.reader.readexactly(size) if size else b''
        return Request(method, target, headers, body)

    async def _run(self, request, connection):
        work = asyncio.ensure_future(self._handle(request, connection))
        # The callers send one request at a time, so the next byte or the end of the
        # stream before the answer means that the caller has left.
        gone = asyncio.ensure_future(self._wait_gone(connection))
        done, _ = await asyncio.wait({work, gone}, return_when='FIRST_COMPLETED')
        gone.cancel()
        if work not in done:
            work.cancel()
            connection.must_close = True
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await work

    async def _wait_gone(self, connection):
        while not connection.reader.at_eof() and connection.reader.exception() is None:
            await asyncio.sleep(0.01)


async def call(address, method, target, headers, body=b'', within_s=10.0):
    """Send one request on a new connection; return status, headers and body.

    The status is 0 if there was no complete answer.
    """
    ip, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            fields = {**headers, 'Connection': 'close'}
            if body or method in ('POST', 'PUT'):
                fields['Content-Length'] = str(len(body))
            writer.write(encode(f'{method} {target} HTTP/1.1', fields, body))
            found = await read_head(reader)
            if found is None:
                return 0, {}, b'closed'
            start, answered = found
            size = answered.get('content-length')
            if size is None:
                content = await reader.read()
            else:
                content = await reader.readexactly(int(size))
            return int(start.split(' ')[1]), answered, content
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        return 0, {}, type(error).__name__.encode()
    finally:
        if writer is not None:
            writer.close()
