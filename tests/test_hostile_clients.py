"""Test that clients which ignore the limits exhaust neither memory nor descriptors.

The crowds and the bounds were fixed before the host had such limits. The bounds are the
stated ones of the machine.
"""

from collections.abc import AsyncIterator, Callable
from http import HTTPStatus

import anyio
import pytest

from tests.utils import hostile_clients as clients
from tests.utils.watched_host import Scene, watched_host

# The smallest machine, and fewer descriptors than connections in a test.
LIMITS = {'memory_mb': 152, 'max_descriptors': 400}
LEGAL_BODY_BYTES = 67_108_864
BODY_BYTES = 12_000_000
BODY_COUNT = 20
RESPONSE_BYTES = 8_000_000
READER_COUNT = 32
CONNECTION_COUNT = 600
LOOKUPS = {'directory': '/v1/resolve?region=muenchen', 'metrics': '/metrics'}
TARGETS = {'callers': '/look/1', **LOOKUPS}
_PIECE_BYTES = 65_536
_TEST_TIMEOUT_S = 300


def run(folder, work: Callable) -> None:
    """Run a coroutine function against a watched host."""

    async def main() -> None:
        with anyio.fail_after(_TEST_TIMEOUT_S):
            async with watched_host(folder, **LIMITS) as scene:
                await work(scene)

    anyio.run(main)


async def in_pieces(content: bytes) -> AsyncIterator[bytes]:
    """Yield the content in pieces, so that the request states no length."""
    for start in range(0, len(content), _PIECE_BYTES):
        yield content[start : start + _PIECE_BYTES]


async def complete_bodies(scene: Scene) -> None:
    """Let the crowd send the ends of its bodies once hardly anything moves."""
    await scene.rest()
    scene.crowd.released.set()


class TestBodies:
    """Guard against bodies of legal size that exceed the memory together."""

    @pytest.mark.parametrize('body', (clients.whole_body, clients.chunked_body))
    def test_many_bodies_at_once(self, tmp_path, body):
        async def work(scene: Scene) -> None:
            scene.crowd.start(BODY_COUNT, body(scene.crowd, BODY_BYTES))
            await complete_bodies(scene)
            assert await scene.faults() == []

        run(tmp_path, work)

    @pytest.mark.parametrize('body', (clients.whole_body, clients.chunked_body))
    def test_bodies_that_stop_short_of_their_end(self, tmp_path, body):
        async def work(scene: Scene) -> None:
            scene.crowd.start(BODY_COUNT, body(scene.crowd, BODY_BYTES))
            assert await scene.faults() == []

        run(tmp_path, work)

    @pytest.mark.parametrize('body', (clients.whole_body, clients.chunked_body))
    @pytest.mark.parametrize('port', LOOKUPS)
    def test_bodies_to_a_port_that_reads_none(self, tmp_path, port, body):
        async def work(scene: Scene) -> None:
            sender = body(scene.crowd, BODY_BYTES, LOOKUPS[port])
            scene.crowd.start(BODY_COUNT, sender, port)
            await complete_bodies(scene)
            assert await scene.faults() == []

        run(tmp_path, work)


class TestResponses:
    """Guard against responses that wait in memory for clients that don't read."""

    def test_long_responses_read_slowly(self, tmp_path):
        async def work(scene: Scene) -> None:
            reader = clients.slow_reader(scene.crowd, RESPONSE_BYTES)
            scene.crowd.start(READER_COUNT, reader)
            assert await scene.faults() == []

        run(tmp_path, work)

    @pytest.mark.parametrize(
        ('connections', 'requests', 'size_bytes'),
        ((READER_COUNT, 16, RESPONSE_BYTES), (4, 20_000, 1)),
        ids=('long_responses', 'many_requests'),
    )
    def test_pipelined_requests_with_responses_unread(
        self, tmp_path, connections, requests, size_bytes
    ):
        async def work(scene: Scene) -> None:
            sender = clients.pipelined(scene.crowd, requests, f'/look/{size_bytes}')
            scene.crowd.start(connections, sender)
            assert await scene.faults() == []

        run(tmp_path, work)

    @pytest.mark.parametrize('port', LOOKUPS)
    @pytest.mark.parametrize(
        ('connections', 'requests'),
        ((64, 2000), (CONNECTION_COUNT, 10)),
        ids=('many_requests', 'many_connections'),
    )
    def test_pipelined_lookups_with_responses_unread(
        self, tmp_path, port, connections, requests
    ):
        async def work(scene: Scene) -> None:
            sender = clients.pipelined(scene.crowd, requests, LOOKUPS[port])
            scene.crowd.start(connections, sender, port)
            assert await scene.faults() == []

        run(tmp_path, work)


class TestConnections:
    """Guard against connections that use up the descriptors."""

    @pytest.mark.parametrize('port', TARGETS)
    def test_silent_connections(self, tmp_path, port):
        async def work(scene: Scene) -> None:
            scene.crowd.start(CONNECTION_COUNT, clients.silent(scene.crowd), port)
            assert await scene.faults() == []

        run(tmp_path, work)

    @pytest.mark.parametrize('port', TARGETS)
    def test_request_headers_that_never_end(self, tmp_path, port):
        async def work(scene: Scene) -> None:
            sender = clients.dripped_head(scene.crowd, TARGETS[port])
            scene.crowd.start(CONNECTION_COUNT, sender, port)
            assert await scene.faults() == []

        run(tmp_path, work)


def start_memory_holders(crowd: clients.Crowd) -> None:
    """Start clients of each kind that makes the host hold memory."""
    crowd.start(8, clients.whole_body(crowd, BODY_BYTES))
    crowd.start(8, clients.chunked_body(crowd, BODY_BYTES))
    crowd.start(16, clients.slow_reader(crowd, RESPONSE_BYTES))
    crowd.start(8, clients.pipelined(crowd, 16, f'/look/{RESPONSE_BYTES}'))


class TestMix:
    """Guard against limits that hold for each kind alone but not together."""

    def test_all_kinds_at_once(self, tmp_path):
        async def work(scene: Scene) -> None:
            crowd = scene.crowd
            start_memory_holders(crowd)
            for port, target in TARGETS.items():
                crowd.start(100, clients.silent(crowd), port)
                crowd.start(50, clients.dripped_head(crowd, target), port)
            assert await scene.faults() == []

        run(tmp_path, work)

    def test_all_kinds_that_hold_memory_at_once(self, tmp_path):
        """The connections above displace most bodies where they are bounded."""

        async def work(scene: Scene) -> None:
            start_memory_holders(scene.crowd)
            assert await scene.faults() == []

        run(tmp_path, work)


class TestLegalSize:
    """Guard against limits that refuse a single request of legal size."""

    @pytest.mark.parametrize('is_chunked', (False, True))
    @pytest.mark.parametrize('target', ('/store/1', '/book/1'))
    def test_body_of_legal_size(self, tmp_path, target, is_chunked):
        async def work(scene: Scene) -> None:
            content = bytes(LEGAL_BODY_BYTES)
            status = await scene.call(
                target,
                method='POST',
                content=in_pieces(content) if is_chunked else content,
            )
            assert status == HTTPStatus.OK
            assert scene.backend.bodies[-1] == LEGAL_BODY_BYTES
            assert await scene.faults() == []

        run(tmp_path, work)

    def test_response_of_legal_size(self, tmp_path):
        async def work(scene: Scene) -> None:
            assert await scene.call(f'/fetch/{LEGAL_BODY_BYTES}') == HTTPStatus.OK
            assert await scene.faults() == []

        run(tmp_path, work)
