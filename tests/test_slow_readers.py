"""Test that clients which read slowly get their responses whole."""

import asyncio
import signal
import socket
import time
from collections.abc import Awaitable, Callable

import anyio
import pytest

from cicadadoor.entry.exchange import Response
from tests.utils.caller_server import Scene as ServedScene
from tests.utils.caller_server import run_served
from tests.utils.watched_host import Scene, watched_host

LIMITS = {'memory_mb': 300, 'max_descriptors': 400}
# Of `watched_host`: SIGKILL comes this long after SIGTERM.
KILL_AFTER_S = 6
# For a machine that is busy with other work.
MARGIN_S = 0.15
# More than the kernel and the transport hold for one client.
RESPONSE_BYTES = 280_000
READER_COUNT = 8
# Fits into the kernel's buffers.
_KERNEL_BYTES = 80_000
_RECEIVE_BUFFER_BYTES = 16_384
_STEP_S = 0.05
_POLL_S = 0.02
_STOP_AFTER_S = 0.3
_TEST_TIMEOUT_S = 60


def run(folder, work: Callable[[Scene], Awaitable[None]]) -> None:
    """Run a coroutine function against a host in a process of its own."""

    async def main() -> None:
        with anyio.fail_after(_TEST_TIMEOUT_S):
            async with watched_host(folder, **LIMITS) as scene:
                await work(scene)

    anyio.run(main)


class SlowReader:
    """Ask for a response and read it at a steady rate, through a small buffer."""

    def __init__(self, scene: Scene, size_bytes: int) -> None:
        self._scene = scene
        self._size_bytes = size_bytes
        self.received_bytes = 0
        self.is_whole = False

    async def read(self, bytes_per_s: float) -> None:
        """Read until the response is whole or the connection ends."""
        loop = asyncio.get_running_loop()
        host_ip, _, port = self._scene.host.addresses['callers'].rpartition(':')
        with socket.socket() as raw_socket:
            raw_socket.setblocking(False)  # noqa: WPS425
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
            await loop.sock_connect(raw_socket, (host_ip, int(port)))
            head = self._scene.crowd.head('GET', f'/fetch/{self._size_bytes}')
            await loop.sock_sendall(raw_socket, head)
            began_s = time.monotonic()
            while not self.is_whole:
                await asyncio.sleep(_STEP_S)
                allowed_bytes = (time.monotonic() - began_s) * bytes_per_s
                step_bytes = max(1, int(allowed_bytes) - self.received_bytes)
                if not await self._receive(raw_socket, step_bytes):
                    return

    async def _receive(self, raw_socket: socket.socket, size_bytes: int) -> bool:
        loop = asyncio.get_running_loop()
        try:
            received = await loop.sock_recv(raw_socket, size_bytes)
        except ConnectionError:
            return False
        self.received_bytes += len(received)
        # The head comes on top of the stated size.
        self.is_whole = self.received_bytes > self._size_bytes
        return bool(received)


async def stop(scene: Scene) -> float:
    """Stop the host while clients read; return how long its process went on."""
    await anyio.sleep(_STOP_AFTER_S)
    scene.host.process.send(signal.SIGTERM)
    stopped_s = time.monotonic()
    while scene.host.process.is_running():
        await anyio.sleep(_POLL_S)
    return time.monotonic() - stopped_s


class TestStop:
    """Guard against a stop that cuts responses early, or takes too long."""

    @pytest.mark.parametrize(
        ('bytes_per_s', 'size_bytes'), ((30_000, 280_000), (45_000, 320_000))
    )
    def test_stopping_host_waits_for_clients_that_read(
        self, tmp_path, bytes_per_s, size_bytes
    ):
        """The end of each response is in the transport when no request is left."""

        async def work(scene: Scene) -> None:
            readers = [SlowReader(scene, size_bytes) for _ in range(READER_COUNT)]
            async with anyio.create_task_group() as tasks:
                for reader in readers:
                    tasks.start_soon(reader.read, bytes_per_s)
                took_s = await stop(scene)
            assert took_s < KILL_AFTER_S - MARGIN_S
            assert all(reader.is_whole for reader in readers)

        run(tmp_path, work)

    def test_end_of_a_stop_leaves_what_the_kernel_holds_to_it(self):
        """Under load, the rest of the stop's time is needed to end the process."""

        async def work(scene: ServedScene) -> None:
            client = await scene.connect(receive_bytes=_RECEIVE_BUFFER_BYTES)
            await client.request('/book', 'Connection: close')
            exchange = (await scene.handled(1))[0]
            exchange.respond(Response(200, [], bytes(_KERNEL_BYTES)))
            with anyio.fail_after(1):
                await scene.server.close(_TEST_TIMEOUT_S)
            assert len((await client.response())[2]) == _KERNEL_BYTES

        run_served(work)

    def test_stop_ends_in_time_beside_clients_that_take_nothing(self, tmp_path):
        async def work(scene: Scene) -> None:
            readers = [SlowReader(scene, RESPONSE_BYTES) for _ in range(READER_COUNT)]
            async with anyio.create_task_group() as tasks:
                for reader in readers:
                    tasks.start_soon(reader.read, 1)
                took_s = await stop(scene)
                tasks.cancel_scope.cancel()
            assert took_s < KILL_AFTER_S - MARGIN_S

        run(tmp_path, work)
