"""Run the server towards callers with a handler that the test controls."""

import asyncio
import socket
from contextlib import asynccontextmanager

import anyio

from cicadadoor.decisions.connection_limits import ConnectionTable
from cicadadoor.decisions.memory_account import MemoryAccount
from cicadadoor.entry.caller_server import CallerServer
from cicadadoor.entry.connection_context import ConnectionContext, LimitSource
from cicadadoor.entry.exchange import Exchange, RequestHandler, Response
from cicadadoor.entry.model import ClientLimits
from cicadadoor.errors import ERROR_RESPONSES, Failure
from cicadadoor.sockets import CLOSE_WITH_RESET
from tests.utils.processes import Ports
from tests.utils.waiting import until

CHECK_PERIOD_S = 0.25
_TEST_TIMEOUT_S = 30
_RECEIVE_BYTES = 65_536


class StubHandler(RequestHandler):
    """Record requests, and answer those below /now at once with their target."""

    def __init__(self) -> None:
        self.handled: list[Exchange] = []
        # A body is released with the response.
        self.bodies: list[bytes] = []
        self.ended: list[Exchange] = []
        self.begun = 0
        self.is_leaving = False
        self.is_full_now = False

    @property
    def is_full(self) -> bool:
        return self.is_full_now

    @property
    def must_close(self) -> bool:
        return self.is_leaving

    def begin(self, exchange: Exchange) -> None:
        self.begun += 1
        if exchange.target.endswith(b'/fault'):
            raise RuntimeError('simulated error while a head is read')

    def handle(self, exchange: Exchange) -> None:
        exchange.scope = anyio.CancelScope()
        self.handled.append(exchange)
        self.bodies.append(bytes(exchange.body.content))
        if exchange.target.startswith(b'/now'):
            exchange.respond(Response(200, [], exchange.target))

    def may_repeat(self, exchange: Exchange) -> bool:
        return b'safe' in exchange.target

    def refuse(self, exchange: Exchange, failure: Failure) -> Response:
        headers = []
        if failure.retry_after_ms:
            headers.append((b'retry-after', str(failure.retry_after_ms).encode()))
        return Response(ERROR_RESPONSES[failure.kind].status, headers, b'refused')

    def end(self, exchange: Exchange) -> None:
        self.ended.append(exchange)

    @property
    def targets(self) -> list[str]:
        """Return the targets of the requests that were handled."""
        return [exchange.target.decode() for exchange in self.handled]


class FixedLimits(LimitSource):
    """Provide limits that the test sets."""

    def __init__(self, **changes: int) -> None:
        self.current = ClientLimits(**changes)

    @property
    def limits(self) -> ClientLimits:
        return self.current


class Client:
    """Send bytes to the server and read what it sends, and nothing in advance."""

    def __init__(self, raw_socket: socket.socket) -> None:
        self._socket = raw_socket
        self._received = bytearray()

    async def send(self, content: bytes) -> None:
        """Send bytes."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self._socket, content)

    async def receive(self, size_bytes: int = _RECEIVE_BYTES) -> bytes:
        """Return some bytes, or none at the end; raise OSError after a reset."""
        loop = asyncio.get_running_loop()
        return await loop.sock_recv(self._socket, size_bytes)

    async def request(self, target: str, *fields: str, method: str = 'GET') -> None:
        """Send a request head."""
        lines = (f'{method} {target} HTTP/1.1', 'Host: a', *fields)
        await self.send('\r\n'.join(lines).encode() + b'\r\n\r\n')

    async def response(self) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body of the next response."""
        while b'\r\n\r\n' not in self._received:
            await self._receive_more()
        head, _, _ = bytes(self._received).partition(b'\r\n\r\n')
        del self._received[: len(head) + 4]
        first, *lines = head.decode().split('\r\n')
        headers = dict(line.lower().split(': ', 1) for line in lines)
        size_bytes = int(headers.get('content-length', 0))
        while len(self._received) < size_bytes:
            await self._receive_more()
        body = bytes(self._received[:size_bytes])
        del self._received[:size_bytes]
        return int(first.split()[1]), headers, body

    async def status(self) -> int:
        """Return the status of the next response."""
        return (await self.response())[0]

    async def is_closed(self) -> bool:
        """Wait for the end of the connection; return False if more bytes arrive."""
        try:
            return not await self.receive()
        except ConnectionResetError:
            return True

    async def is_reset(self) -> bool:
        """Read until the end; tell whether the connection was reset."""
        try:
            while await self.receive():
                pass
        except ConnectionResetError:
            return True
        return False

    def half_close(self) -> None:
        """Close the sending side."""
        self._socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def reset(self) -> None:
        """Close the connection with a reset."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_WITH_RESET)
        self._socket.close()

    async def _receive_more(self) -> None:
        received = await self.receive()
        if not received:
            raise AssertionError('the server closed the connection')
        self._received += received


class CountingContext(ConnectionContext):
    """Count the connections that have arrived, refused ones included."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.arrived = 0

    def add(self, connection) -> bool:
        self.arrived += 1
        return super().add(connection)


class Scene:
    """Hold a running server with a clock that the test moves."""

    def __init__(self, *, bound: int, limit_bytes: int, **limits: int) -> None:
        self.handler = StubHandler()
        self.limits = FixedLimits(**limits)
        self.account = MemoryAccount(limit_bytes)
        self.now_s = 1000.0
        self.server = CallerServer(lambda: self.now_s, CHECK_PERIOD_S)
        self.table = ConnectionTable(bound)
        self.context = CountingContext(
            self.handler,
            self.account,
            self.limits,
            lambda: self.now_s,
            table=self.table,
            buffer=memoryview(bytearray(65_536)),
        )
        self.address = Ports.address()

    async def connect(self, receive_bytes: int = 0) -> Client:
        """Open a connection; `receive_bytes` limits the client's kernel buffer."""
        host_ip, _, port = self.address.rpartition(':')
        raw_socket = socket.socket()
        if receive_bytes:
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        raw_socket.connect((host_ip, int(port)))
        raw_socket.setblocking(False)  # noqa: WPS425
        count = self.context.arrived
        await until(lambda: self.context.arrived > count)
        return Client(raw_socket)

    async def pass_time(self, duration_s: float) -> None:
        """Let time pass in steps of the check period."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += CHECK_PERIOD_S
            self.server.check()
        await anyio.sleep(0.05)

    async def handled(self, count: int) -> list[Exchange]:
        """Wait until that many requests were handed to the handler."""
        await until(lambda: len(self.handler.handled) >= count)
        return self.handler.handled


def run_served(work, *, bound: int = 100, limit_bytes: int = 50_000_000, **limits):
    """Run a coroutine function with a running server."""

    @asynccontextmanager
    async def served():
        scene = Scene(bound=bound, limit_bytes=limit_bytes, **limits)
        scene.server.listen(scene.address, scene.context)
        await scene.server.start()
        try:
            yield scene
        finally:
            await scene.server.close(0.1)

    async def main() -> None:
        with anyio.fail_after(_TEST_TIMEOUT_S):
            async with served() as scene:
                await work(scene)
            await until(lambda: not scene.context.connections)
            assert scene.account.held_bytes == 0
            assert len(scene.handler.ended) == scene.handler.begun

    anyio.run(main)
