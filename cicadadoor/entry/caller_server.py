"""Accept the connections of clients, and close those that exceed a limit."""

import asyncio
import select
import socket
from collections.abc import Callable
from functools import partial

import anyio

from cicadadoor.entry.caller_connection import CallerConnection
from cicadadoor.entry.connection_context import ConnectionContext
from cicadadoor.errors import Failure
from cicadadoor.listening import BACKLOG, open_listener

# Connections accepted in one pass of the event loop.
_ACCEPTED_PER_PASS = 32
# Kernel memory for bytes that the process has not read, or the client has not taken;
# the kernel doubles the number. With a round trip of 6 ms, one connection reaches
# 10 MB/s.
_SOCKET_BUFFER_BYTES = 65_536
# A check that is later than this comes after a time in which nothing was read, so that
# clients may have sent their bytes in time.
_MAX_LATE_S = 0.5
_CLOSE_POLL_S = 0.01


class CallerServer:
    """Listen on some addresses of the host and serve their connections."""

    def __init__(self, now_s: Callable[[], float], check_period_s: float) -> None:
        self._now_s = now_s
        self._check_period_s = check_period_s
        self._contexts: list[ConnectionContext] = []
        self._listeners: list[tuple[socket.socket, ConnectionContext]] = []
        self._servers: list[asyncio.Server] = []
        self._checked_s = now_s()
        self._was_late = False

    def listen(self, address: str, context: ConnectionContext) -> None:
        """Listen on an address; raise AddressInUseError if it is in use."""
        listener = open_listener(address)
        # Connections inherit the sizes.
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listener.setsockopt(socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES)
        listener.setblocking(False)
        self._listeners.append((listener, context))
        if context not in self._contexts:
            self._contexts.append(context)

    async def start(self) -> None:
        """Begin to accept connections."""
        loop = asyncio.get_running_loop()
        for listener, context in self._listeners:
            server = await loop.create_server(
                partial(CallerConnection, context),
                sock=listener,
                backlog=_ACCEPTED_PER_PASS,
            )
            # The event loop accepts as many connections in one pass as its backlog
            # states, and has set the length of the kernel's queue to it.
            listener.listen(BACKLOG)
            self._servers.append(server)

    def check(self) -> None:
        """Close connections that take too long."""
        now_s = self._now_s()
        late_s = now_s - self._checked_s - self._check_period_s
        self._checked_s = now_s
        connections = self._connections()
        self._check_paused(connections)
        # A process that is always late checks every second time.
        self._was_late = late_s > _MAX_LATE_S and not self._was_late
        if self._was_late:
            return
        for connection in connections:
            if now_s >= connection.timeouts.due_s:
                connection.check(now_s)

    def count_delivering(self, *, with_kernel: bool) -> int:
        """Return how many connections wait for clients to take the last response.

        Without `with_kernel`, those of which the kernel has all bytes do not count.
        """
        connections = self._connections() if with_kernel else self._find_unfinished()
        return sum(connection.is_delivering for connection in connections)

    def refuse_unread(self, failure: Failure) -> None:
        """Refuse the requests that have been received in part."""
        for connection in self._connections():
            connection.refuse_unread(failure)

    async def close(self, timeout_s: float) -> None:
        """Stop listening, and close the connections once their responses are sent."""
        for server in self._servers:
            server.close()
        with anyio.move_on_after(timeout_s):
            while connections := self._find_unfinished():
                for connection in connections:
                    if connection.is_idle:
                        connection.close()
                await anyio.sleep(_CLOSE_POLL_S)
        for connection in self._connections():
            connection.abort()

    def _find_unfinished(self) -> list[CallerConnection]:
        """Return the connections that the process has to go on for."""
        return [
            connection
            for connection in self._connections()
            if not connection.timeouts.is_left_to_kernel
        ]

    def _connections(self) -> list[CallerConnection]:
        return [
            connection
            for context in self._contexts
            for connection in context.connections
        ]

    def _check_paused(self, connections: list[CallerConnection]) -> None:
        """Close paused connections whose client has left; they are not read."""
        paused = {
            descriptor: connection
            for connection in connections
            if (descriptor := connection.paused_descriptor) is not None
        }
        if not paused:
            return
        poll = select.poll()
        for descriptor in paused:
            poll.register(descriptor, select.POLLRDHUP)
        for descriptor, _ in poll.poll(0):
            if not paused[descriptor].eof_received():
                paused[descriptor].abort()
