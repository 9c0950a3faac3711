"""Test responses whose Location header is no address that the HTTP client accepts."""

import anyio
import pytest

from cicadadoor.errors import ErrorKind
from tests.test_forwarding import RawServer, make_request, run_exchange
from tests.test_invalid_statuses import (
    order,
    read_store,
    watch_object_store,
    write_object_store,
    write_store,
)
from tests.utils.raw_server import serving

LOCATIONS = ('mailto:a', 'app:signed-in', 'http:a', 'http://[::', f'/{"a" * 70_000}')


class TestGates:
    """Guard against a redirect that the caller gets as a failure, though it has run."""

    @pytest.mark.parametrize('location', LOCATIONS[:-1])
    def test_redirect_is_passed_on(self, location):
        head = f'HTTP/1.1 302 X\r\ncontent-length: 0\r\nlocation: {location}\r\n\r\n'

        async def use(forward):
            answer = await forward(make_request())
            assert answer.status == 302
            assert ('location', location) in answer.headers

        run_exchange(RawServer(head.encode()), use)


class TestClients:
    """Guard against an exception that ends the task of whoever asked."""

    @pytest.mark.parametrize('location', LOCATIONS)
    @pytest.mark.parametrize(
        ('ask', 'kind'),
        (
            (write_store, ErrorKind.STORE_UNAVAILABLE),
            (write_object_store, ErrorKind.STORE_OUTCOME_UNKNOWN),
            (read_store, ErrorKind.STORE_UNAVAILABLE),
            (watch_object_store, ErrorKind.STORE_UNAVAILABLE),
            (order, ErrorKind.PEER_UNREACHABLE),
        ),
    )
    def test_redirect_is_a_failure(self, location, ask, kind):
        failures = []

        async def handle(request, connection) -> None:
            await connection.answer(302, {'Location': location})

        async def main() -> None:
            async with serving(handle) as server:
                failures.append(await ask(server.address))

        anyio.run(main)
        assert failures[0].kind is kind
