"""Test HTTP clients against endless, slow and unexpected responses."""

import gzip
from functools import partial

import anyio
import httpx
import pytest

from cicadadoor.cli.client import read_status
from cicadadoor.config.model import BackendServer
from cicadadoor.decisions.memory_account import MemoryAccount, Owner
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.probing import Prober
from cicadadoor.http_client import fetch
from cicadadoor.object_store.http import HttpObjectStore
from cicadadoor.platform.store_client import Page, StoreClient
from cicadadoor.timer import BootTimer
from tests.test_keyed_once import StubService
from tests.utils.gates import FakeKernel
from tests.utils.raw_server import serving

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
CHUNK = b'10000\r\n' + b' ' * 65_536 + b'\r\n'
# More than any client accepts in one response.
_CHUNKS = 512
_TEST_TIMEOUT_S = 20


async def ask_store(address: str) -> object:
    client = StoreClient(address)
    answer = await client.get('config', 'main')
    await client.close()
    return answer


async def ask_object_store(address: str) -> object:
    client = HttpObjectStore(f'http://{address}')
    answer = await client.get('config', 'main')
    await client.close()
    return answer


async def watch_object_store(address: str) -> object:
    client = HttpObjectStore(f'http://{address}')
    answers = [each async for each in client.watch('config', 1)]
    await client.close()
    return answers[-1]


async def ask_agent(address: str) -> object:
    return await read_status(f'http://{address}')


async def probe(address: str) -> object:
    probe_results = []
    kernel = FakeKernel()
    services = StubService(
        'servers', record_probe=lambda *args, **facts: probe_results.append(facts)
    )
    for service in (
        BootTimer(),
        services,
        StubService('state'),
        StubService('slot_share'),
        StubService('directory'),
        StubService('peers', on=lambda *args: None),
    ):
        kernel.register(service)
    prober = Prober()
    await prober.start(kernel)
    await prober.probe(
        BackendServer(
            name='a',
            url=f'http://{address}',
            failure_domain='b',
            slots=1,
            connections=1,
        )
    )
    await prober.stop(0)
    assert probe_results == [{'is_good': False}]
    return Failure(ErrorKind.PEER_UNREACHABLE, 'reported as failed')


CLIENTS = (ask_store, ask_object_store, ask_agent, probe)


def run(handle, ask) -> None:
    """Check that the client returns a Failure for the response of the handler."""

    async def main() -> None:
        with anyio.fail_after(_TEST_TIMEOUT_S):
            async with serving(handle) as server:
                assert isinstance(await ask(server.address), Failure)

    anyio.run(main)


class TestEndlessResponses:
    """Guard against responses that exhaust memory or never end."""

    @pytest.mark.parametrize('ask', (*CLIENTS, watch_object_store))
    def test_endless_body_is_not_read_to_its_end(self, ask):
        sent = []

        async def endless(request, connection) -> None:
            await connection.write(HEAD)
            for number in range(_CHUNKS):
                await connection.write(CHUNK)
                sent.append(number)
            await connection.closed()

        run(endless, ask)
        assert len(sent) < _CHUNKS

    def test_encoded_answer_is_not_decompressed(self):
        async def compressed(request, connection) -> None:
            assert request.headers['accept-encoding'] == 'identity'
            body = gzip.compress(b' ' * 1000)
            await connection.answer(200, {'Content-Encoding': 'gzip'}, body)

        async def ask_compressed(address: str) -> object:
            async with httpx.AsyncClient(trust_env=False) as client:
                with pytest.raises(httpx.DecodingError):
                    await fetch(
                        client, 'GET', f'http://{address}', limit_bytes=99, within_s=9
                    )
            return Failure(ErrorKind.PEER_UNREACHABLE, 'not decompressed')

        run(compressed, ask_compressed)

    @pytest.mark.parametrize('ask', CLIENTS)
    @pytest.mark.parametrize('start', (HEAD, b''), ids=('body', 'interim_answers'))
    def test_slow_answer_ends_at_the_timeout_of_the_call(self, ask, start):
        part = b'1\r\n \r\n' if start else b'HTTP/1.1 102 Processing\r\n\r\n'

        async def trickling(request, connection) -> None:
            await connection.write(start)
            while True:
                await connection.write(part)
                await anyio.sleep(0.05)

        run(trickling, ask)

    @pytest.mark.parametrize('start', (b'HTTP/1.1 200 OK\r\nA: ', b''))
    def test_watch_whose_head_never_ends_is_given_up(self, start, monkeypatch):
        """An agent would learn of no change until the platform closes the watch."""
        monkeypatch.setattr('cicadadoor.object_store.http._WATCH_READ_TIMEOUT_S', 1)
        part = b'b' if start else b'HTTP/1.1 102 Processing\r\n\r\n'

        async def trickling(request, connection) -> None:
            await connection.write(start)
            while True:
                await connection.write(part)
                await anyio.sleep(0.05)

        run(trickling, watch_object_store)


def ask_for_page(account: MemoryAccount, size_bytes: int) -> object:
    """Return what the store client makes of a valid page of this size."""
    answers = []

    async def page(request, connection) -> None:
        body = b'{"items":["%s"],"at":1}' % (b'a' * size_bytes)
        await connection.answer(200, body=body)

    async def main() -> None:
        async with serving(page) as server:
            client = StoreClient(server.address, account)
            answers.append(await client.page('config'))
            await client.close()

    anyio.run(main)
    return answers[0]


class TestAccount:
    """Guard against store answers that are held beside the memory of clients."""

    @pytest.mark.parametrize(
        ('limit_bytes', 'is_held'), ((1_000_000, False), (10_000_000, True))
    )
    def test_answer_is_not_held_beyond_the_account(self, limit_bytes, is_held):
        account = MemoryAccount(limit_bytes)
        answer = ask_for_page(account, 2_000_000)
        assert isinstance(answer, Page) is is_held
        assert is_held or answer.kind is ErrorKind.STORE_UNAVAILABLE
        assert account.held_bytes == 0

    def test_answer_displaces_the_clients_that_hold_the_most(self):
        """A host whose clients fill its memory must still follow the store."""
        account = MemoryAccount(1_000_000)
        evicted = []
        crowd = account.open('body', Owner('127.0.0.2'))
        crowd.on_evict = partial(evicted.append, True)
        assert crowd.grow(850_000)

        assert isinstance(ask_for_page(account, 200_000), Page)
        assert evicted
        assert account.held_bytes == 0


class TestStatus:
    """Guard against a status code that no client expects."""

    @pytest.mark.parametrize('ask', (*CLIENTS, watch_object_store))
    def test_unknown_status_is_a_failure(self, ask):
        async def unknown(request, connection) -> None:
            await connection.answer(599)

        run(unknown, ask)


async def ask_store_twice(address: str) -> None:
    client = StoreClient(address)
    for _ in range(2):
        await client.get('config', 'main')
    await client.close()


async def ask_object_store_twice(address: str) -> None:
    client = HttpObjectStore(f'http://{address}')
    for _ in range(2):
        await client.get('config', 'main')
    await client.close()


class TestCookies:
    """Guard against cookies that a client keeps: there is no limit to their number."""

    @pytest.mark.parametrize('ask', (ask_store_twice, ask_object_store_twice, probe))
    def test_cookie_is_not_kept(self, ask):
        sent = []

        async def set_cookie(request, connection) -> None:
            sent.append(request.headers.get('cookie'))
            await connection.answer(599, {'Set-Cookie': f'c{len(sent)}=1'})

        async def main() -> None:
            async with serving(set_cookie) as server:
                await ask(server.address)

        anyio.run(main)
        assert sent == [None, None]
