"""Test clients against answers whose values are nested too deeply to be decoded."""

import anyio
import pytest

from cicadadoor.errors import ErrorKind, Failure
from tests.test_http_client import (
    ask_agent,
    ask_object_store,
    probe,
    watch_object_store,
)
from tests.utils.raw_server import serving

# Within the size limit of every client.
DEEP = b'{"a":' * 2000


def run(ask, status: int) -> list[object]:
    """Return what the client makes of the answer."""
    found = []

    async def handle(request, connection) -> None:
        await connection.answer(status, body=DEEP)

    async def main() -> None:
        async with serving(handle) as server:
            found.append(await ask(server.address))

    anyio.run(main)
    return found


class TestDeepAnswers:
    """Guard against an exception that ends the task of whoever asked."""

    @pytest.mark.parametrize(
        ('ask', 'kind'),
        (
            (ask_object_store, ErrorKind.STORE_UNAVAILABLE),
            (watch_object_store, ErrorKind.STORE_UNAVAILABLE),
            (ask_agent, ErrorKind.MESSAGE_INVALID),
        ),
    )
    def test_answer_is_a_failure(self, ask, kind):
        failure = run(ask, 200)[0]
        assert isinstance(failure, Failure)
        assert failure.kind is kind

    def test_server_that_fails_its_probe_is_recorded(self):
        run(probe, 500)
