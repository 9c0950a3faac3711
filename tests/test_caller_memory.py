"""Test that callers which leave or are refused leave no memory behind."""

import asyncio
import gc
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager

import anyio
import pytest

from cicadadoor.entry.exchange import Response
from tests.utils.caller_server import run_served
from tests.utils.waiting import until
from tests.utils.watched_host import SITE, Scene, watched_host

_BODY_BYTES = 4_194_304
# Below one body.
_LEFT_BYTES = 1_000_000
# Two of them exceed the memory of the smallest machine.
_LONG_BYTES = 60_000_000
_TEST_TIMEOUT_S = 180


@contextmanager
def uncollected() -> Iterator[None]:
    """Trace allocations, and keep the garbage collector from hiding a retained one."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


def traced_bytes() -> int:
    """Return the memory that is allocated now."""
    return tracemalloc.get_traced_memory()[0]


class TestResponses:
    """Guard against responses that outlive their release from the memory account."""

    @pytest.mark.parametrize('end', ('leaves', 'stalls', 'is_evicted', 'host_stops'))
    def test_response_is_freed_with_its_connection(self, end):
        async def work(scene):
            client = await scene.connect(receive_bytes=4096)
            before_bytes = traced_bytes()
            await client.request('/book')
            exchange = (await scene.handled(1))[0]
            exchange.respond(Response(200, [], bytearray(_BODY_BYTES)))
            assert scene.account.held_bytes > _BODY_BYTES
            if end == 'leaves':
                client.close()
            elif end == 'stalls':
                await scene.pass_time(20)
            elif end == 'is_evicted':
                exchange.response_reservation.on_evict()
            else:
                await scene.server.close(0)
            await until(lambda: not scene.context.connections)
            assert traced_bytes() - before_bytes < _LEFT_BYTES

        with uncollected():
            run_served(work)


async def leave_within_response(scene: Scene) -> None:
    """Ask for a long response, take its first bytes and reset the connection."""
    host_ip, _, port = scene.host.addresses['callers'].rpartition(':')
    reader, writer = await asyncio.open_connection(host_ip, int(port), limit=4096)
    lines = (
        f'GET /fetch/{_LONG_BYTES} HTTP/1.1',
        f'Host: {SITE}',
        'Authorization: Bearer key-clinic',
        f'Attempt-Id: {scene.crowd.next_attempt()}',
        'Deadline-Ms: 60000',
    )
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
    await reader.readexactly(1)
    writer.transport.abort()


class TestHostProcess:
    """Guard against a host that ends because of callers which have left."""

    def test_callers_that_leave_in_sequence_do_not_exceed_the_memory(self, tmp_path):
        async def main() -> None:
            with anyio.fail_after(_TEST_TIMEOUT_S):
                async with watched_host(
                    tmp_path, memory_mb=152, max_descriptors=400
                ) as scene:
                    for _ in range(8):
                        await leave_within_response(scene)
                    assert await scene.faults() == []

        anyio.run(main)
