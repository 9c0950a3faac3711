"""Test the reuse and the limit of connections to backend servers."""

import anyio
import httpx
import pytest
from hypercorn.asyncio import serve
from hypercorn.config import Config

from cicadadoor.gate.connection_pool import BackendTransport
from cicadadoor.http_server import handle_lifespan, send_response
from tests.utils.processes import Ports


class _Server:
    """Count connections by the client port of each request."""

    def __init__(self) -> None:
        self.client_ports = set()
        self.released = anyio.Event()
        self.stopped = anyio.Event()
        self.address = Ports.address()

    async def handle(self, scope, receive, send):
        if scope['type'] == 'lifespan':
            await handle_lifespan(receive, send)
            return
        self.client_ports.add(scope['client'][1])
        if scope['path'] == '/hold':
            await self.released.wait()
        await send_response(send, 200, [], b'answer')


async def _run_with_client(max_connections, work):
    server = _Server()
    transport = BackendTransport(max_connections)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve, server)
        async with httpx.AsyncClient(transport=transport) as client:
            url = f'http://{server.address}'
            await _wait_answers(client, url)
            server.client_ports.clear()
            await work(client, url, server)
        server.stopped.set()


async def _serve(server):
    config = Config()
    config.bind = [server.address]
    config.errorlog = None
    await serve(server.handle, config, shutdown_trigger=server.stopped.wait)


async def _wait_answers(client, url):
    with anyio.fail_after(30):
        while True:
            try:
                await client.get(url)
            except httpx.ConnectError:
                await anyio.sleep(0.05)
            else:
                return


class TestBackendTransport:
    """Guard against connections that leak, pile up or are reused too early."""

    def test_sequential_requests_share_one_connection(self):
        """A new connection per request costs about 1 ms at the backend server."""

        async def work(client, url, server):
            for _ in range(5):
                answer = await client.get(url)
                assert answer.content == b'answer'
            assert len(server.client_ports) == 1

        anyio.run(_run_with_client, 4, work)

    def test_connections_are_bounded(self):
        """The limit of connections to a backend server is a hard one."""

        async def work(client, url, server):
            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    tasks.start_soon(client.get, f'{url}/hold')
                with anyio.fail_after(30):
                    while len(server.client_ports) < 2:
                        await anyio.sleep(0.01)
                with pytest.raises(httpx.PoolTimeout):
                    await client.get(url)
                server.released.set()
            assert (await client.get(url)).content == b'answer'

        anyio.run(_run_with_client, 2, work)

    def test_unread_answer_closes_its_connection(self):
        """The rest of an abandoned response must not be read as the next one."""

        async def work(client, url, server):
            async with client.stream('GET', url) as answer:
                assert answer.status_code == 200
            assert (await client.get(url)).content == b'answer'
            assert len(server.client_ports) == 2

        anyio.run(_run_with_client, 1, work)
