"""Test that the bytes of an abandoned request can no longer reach the server."""

import asyncio
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator

import anyio
import pytest

from cicadadoor.entry.connection_pool import ConnectionPool
from cicadadoor.entry.connections import BackendConnection, connect
from cicadadoor.entry.response_reader import InvalidResponseError

# The server's buffer is smaller than a request, so that its end stays unacknowledged
# in the sender's kernel, as behind a partition.
_RECEIVE_BUFFER_BYTES = 4096
_BODY = b'a' * 49_152
_HEADERS = [(b'Host', b'a'), (b'Content-Length', str(len(_BODY)).encode())]
_TIMEOUT_S = 20.0
_SENDING_PROCESS = """
import sys
import anyio
from cicadadoor.entry.connections import connect

async def main():
    connection = await connect(sys.argv[1], 5)
    headers = [(b'Host', b'a'), (b'Content-Length', sys.argv[2].encode())]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            connection.exchange, 'POST', b'/', headers, b'a' * int(sys.argv[2])
        )
        while not connection.has_sent:
            await anyio.sleep(0.01)
        print('sent', flush=True)

anyio.run(main)
"""


class SilentServer:
    """Accept a connection, and read nothing until it is told to."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen()
        self.address = '127.0.0.1:{}'.format(self._listener.getsockname()[1])
        self.accepted: socket.socket

    def accept(self) -> None:
        """Accept the connection."""
        self._listener.settimeout(_TIMEOUT_S)
        self.accepted = self._listener.accept()[0]
        self.accepted.settimeout(_TIMEOUT_S)

    def read_until_reset(self) -> bytes:
        """Return what arrives before the reset; fail at an orderly end."""
        received = bytearray()
        with pytest.raises(ConnectionResetError):
            while part := self.accepted.recv(65_536):
                received += part
        return bytes(received)

    def close(self) -> None:
        """Close the sockets."""
        self.accepted.close()
        self._listener.close()


@pytest.fixture
def server() -> Iterator[SilentServer]:
    """Provide a server that is closed after the test."""
    found = SilentServer()
    yield found
    found.close()


async def _post(connection: BackendConnection) -> None:
    await connection.exchange('POST', b'/', _HEADERS, _BODY)


async def _leave_by_cancellation(connection: BackendConnection) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_post, connection)
        while not connection.has_sent:
            await asyncio.sleep(0.01)
        tasks.cancel_scope.cancel()


async def _leave_by_deadline(connection: BackendConnection) -> None:
    with pytest.raises(TimeoutError):
        with anyio.fail_after(0.1):
            await _post(connection)


async def _leave_for_memory(connection: BackendConnection) -> None:
    with pytest.raises(InvalidResponseError):
        async with asyncio.timeout(_TIMEOUT_S):
            sending = asyncio.ensure_future(_post(connection))
            while not connection.has_sent:
                await asyncio.sleep(0.01)
            connection._reader.abort_response()
            await sending


class TestAbandonedRequests:
    """Guard against requests that run after the host has given them up.

    A graceful close delivers what the server had not acknowledged, and the server runs
    the request once a partition heals.
    """

    @pytest.mark.parametrize(
        'leave', (_leave_by_cancellation, _leave_by_deadline, _leave_for_memory)
    )
    def test_server_sees_a_reset_and_no_complete_request(self, server, leave):
        async def main() -> None:
            connection = await connect(server.address, 5)
            server.accept()
            await leave(connection)
            # The transport closes the socket in the next pass of the event loop.
            await asyncio.sleep(0.01)

        anyio.run(main)
        assert len(server.read_until_reset()) < len(_BODY)

    def test_killed_process_leaves_no_request_behind(self, server):
        """The kernel closes the sockets of a process that ends without doing so."""
        command = [
            sys.executable,
            '-c',
            _SENDING_PROCESS,
            server.address,
            str(len(_BODY)),
        ]
        with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
            server.accept()
            assert process.stdout.readline() == b'sent\n'
            process.send_signal(signal.SIGKILL)
        assert len(server.read_until_reset()) < len(_BODY)

    def test_partly_sent_request_is_not_continued(self, server):
        """Bytes in the transport's buffer would follow those in the kernel's."""
        body = b'a' * 33_554_432
        headers = [(b'Host', b'a'), (b'Content-Length', str(len(body)).encode())]

        async def main() -> None:
            connection = await connect(server.address, 5)
            server.accept()
            with anyio.move_on_after(0.1):
                await connection.exchange('POST', b'/', headers, body)
            await asyncio.sleep(0.01)

        anyio.run(main)
        assert len(server.read_until_reset()) < len(body)


class TestIdleConnections:
    """Guard against resets that servers would log for ordinary closes."""

    def test_pool_closes_idle_connections_in_order(self, server):
        async def main() -> None:
            connection = await connect(server.address, 5)
            server.accept()
            pool = ConnectionPool()
            pool.release('server', connection, 10.0, None)
            pool.close()
            await asyncio.sleep(0.01)

        anyio.run(main)
        assert server.accepted.recv(1) == b''
