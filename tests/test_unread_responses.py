"""Test that bytes which a host has not read yet do not exceed its memory."""

from contextlib import ExitStack

import anyio
import httpx
import pytest

from tests.utils.endless_backend import HeldBackend
from tests.utils.hostile_clients import Client, Work
from tests.utils.machine_memory import MachineMemory
from tests.utils.metadata_store import worker_entry
from tests.utils.waiting import LIMIT_S, until
from tests.utils.watched_host import SITE, Scene, watched_host

_BACKEND_COUNT = 8
_SERVER = {'service': 'front', 'version': 'v1', 'zone': 'muc-a', 'slots': 330}
_UNSAFE_COUNT = 4
_BATCH = 40
_BATCH_LIMIT_S = 5
_REST_S = 1
_TEST_TIMEOUT_S = 300
_BYTES_PER_MB = 1_000_000


class Servers:
    """Hold several backend servers that send without end at the same time."""

    def __init__(self) -> None:
        self.backends = [HeldBackend() for _ in range(_BACKEND_COUNT)]

    @property
    def waiting(self) -> int:
        """Return how many requests for endless responses have arrived."""
        return sum(backend.waiting for backend in self.backends)

    @property
    def running(self) -> int:
        """Return how many unsafe requests have arrived."""
        return sum(backend.running for backend in self.backends)

    @property
    def is_sending(self) -> bool:
        """Tell whether all requests for endless responses are being answered."""
        return self.waiting == sum(backend.answered for backend in self.backends)

    async def fill_sockets(self) -> None:
        """Answer all held requests, and return once no server can send more."""
        for backend in self.backends:
            backend.may_answer.set()
        await until(lambda: self.is_sending)
        moved_bytes = -1
        while moved_bytes < (present := self._moved_bytes):
            moved_bytes = present
            await anyio.sleep(_REST_S)

    def answer_unsafe(self) -> None:
        """Answer the unsafe requests."""
        for backend in self.backends:
            backend.released.set()

    @property
    def _moved_bytes(self) -> int:
        return sum(backend.moved_bytes for backend in self.backends)


class TestPausedHost:
    """Guard against a host that its machine ends for bytes that no account counts."""

    @pytest.mark.parametrize(('memory_mb', 'count'), ((152, 350), (300, 700)))
    def test_responses_that_arrive_during_a_pause_do_not_exceed_the_memory(
        self, tmp_path, memory_mb, count
    ):
        async def main() -> None:
            servers = Servers()
            with anyio.fail_after(_TEST_TIMEOUT_S), ExitStack() as stack:
                async with watched_host(
                    tmp_path,
                    servers.backends[0],
                    memory_mb=memory_mb,
                    max_descriptors=4100,
                ) as scene:
                    for backend in servers.backends[1:]:
                        name, address = f'i-{id(backend)}', await backend.start()
                        stack.callback(backend.close)
                        entry = worker_entry(address, info=_SERVER)
                        scene.store.put('servers', name, entry)
                    await check_pause(scene, servers, count)

        anyio.run(main)


async def check_pause(scene: Scene, servers: Servers, count: int) -> None:
    """Pause the host while responses arrive, and check memory and unsafe requests."""
    process = scene.host.process
    statuses: list[int] = []
    with MachineMemory(process.pid, scene.host.memory_bytes) as machine:
        await send_requests(scene, servers, count)
        async with anyio.create_task_group() as tasks:
            for number in range(_UNSAFE_COUNT):
                tasks.start_soon(book_on_kept_connection, scene, number, statuses)
            await until(lambda: servers.running == _UNSAFE_COUNT)
            process.pause()
            await servers.fill_sockets()
            process.resume()
            await until(lambda: scene.crowd.is_done or not process.is_running())
            servers.answer_unsafe()
    peaks = (
        f'{machine.peak_bytes / _BYTES_PER_MB:.0f} MB in use at most, and '
        f'{machine.peak_unread_bytes / _BYTES_PER_MB:.0f} MB unread at most'
    )
    assert statuses == [200, 200, 200, 200], peaks
    assert not machine.has_killed, peaks


async def send_requests(scene: Scene, servers: Servers, count: int) -> None:
    """Send requests until this many have arrived; a busy host refuses some."""
    while (missing := count - servers.waiting) > 0:
        await send_batch(scene, servers, min(missing, _BATCH))


async def send_batch(scene: Scene, servers: Servers, count: int) -> None:
    """Send requests, and wait for a while until they have arrived."""
    due = servers.waiting + count
    scene.crowd.start(count, fetch_endless(scene))
    with anyio.move_on_after(_BATCH_LIMIT_S):
        await until(lambda: servers.waiting >= due)


def fetch_endless(scene: Scene) -> Work:
    """Ask for an endless response, and wait until the host closes the connection."""

    async def work(client: Client) -> None:
        target = '/fetch/endless/unframed'
        await client.send(scene.crowd.head('GET', target, 'Connection: close'))
        await client.wait_closed()

    return work


async def book_on_kept_connection(
    scene: Scene, number: int, statuses: list[int]
) -> None:
    """Send a safe and an unsafe request; add the status, or 0 without an answer."""
    address = scene.host.addresses['callers']
    async with httpx.AsyncClient(
        base_url=f'http://{address}', trust_env=False, timeout=LIMIT_S
    ) as client:
        for method, target in (('GET', '/look/1'), ('POST', f'/book/{number}')):
            headers = {
                'Host': SITE,
                'Authorization': 'Bearer key-clinic',
                'Attempt-Id': scene.crowd.next_attempt(),
                'Deadline-Ms': '60000',
            }
            try:
                answer = await client.request(method, target, headers=headers)
            except httpx.HTTPError:
                statuses.append(0)
                return
        statuses.append(answer.status_code)
