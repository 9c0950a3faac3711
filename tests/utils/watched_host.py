"""Run an entry host as a process with stated limits, and watch what it uses."""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from http import HTTPStatus
from pathlib import Path

import httpx

from tests.utils.hostile_clients import Crowd, StreamingBackend
from tests.utils.metadata_store import MetadataStore, configuration, worker_entry
from tests.utils.process_memory import peak_resident_bytes
from tests.utils.processes import Ports, TestProcess, python_module
from tests.utils.raw_server import serving
from tests.utils.waiting import LIMIT_S

SITE = 'site.example'
_BYTES_PER_MB = 1_000_000
_SAMPLE_S = 0.02
_RETRY_S = 0.1
# A crowd is at rest when less than this moves within a second; at full speed, tens of
# megabytes do.
_REST_BYTES_PER_S = 1_000_000
_MAX_REST_WAIT_S = 30
# Long enough for a machine that is busy with other work.
_TIMEOUT_MS = 60_000
_KILL_AFTER_S = 6


class WatchedHost:
    """Hold the process of one entry host, and the most that it has used."""

    def __init__(self, folder: Path, store: str, **limits: float) -> None:
        self.memory_bytes = int(limits['memory_mb'] * _BYTES_PER_MB)
        self.max_descriptors = limits['max_descriptors']
        names = ('callers', 'readiness', 'directory', 'metrics', 'peers')
        self.addresses = {name: Ports.address() for name in names}
        settings = {
            'host': 'host-0',
            'failure_domain': 'muc-a',
            'region': 'muenchen',
            'region_of_domain': {'muc-a': 'muenchen'},
            'store': store,
            'kill_after_s': _KILL_AFTER_S,
            **self.addresses,
            **limits,
        }
        path = folder / 'host-0.json'
        path.write_text(json.dumps(settings))
        self.process = TestProcess(
            'host-0', python_module('cicadadoor.entry', str(path)), folder
        )
        self.peak_bytes = 0
        self.peak_descriptors = 0

    async def watch(self) -> None:
        """Sample the process until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(_SAMPLE_S)

    def sample(self) -> None:
        """Update the highest resident memory and number of descriptors."""
        folder = Path('/proc') / str(self.process.pid)
        # The process may have ended.
        with suppress(OSError):
            self.peak_descriptors = max(
                self.peak_descriptors, len(list((folder / 'fd').iterdir()))
            )
            used_bytes = peak_resident_bytes(self.process.pid)
            self.peak_bytes = max(self.peak_bytes, used_bytes)

    def faults(self) -> list[str]:
        """Return which bounds the process has exceeded, and whether it has ended."""
        self.sample()
        found = []
        if not self.process.is_running():
            found.append(f'the process has ended with {self.process.wait()}')
        if self.peak_bytes > self.memory_bytes:
            found.append(
                f'resident memory of {self.peak_bytes:,} bytes exceeds '
                f'{self.memory_bytes:,} bytes'
            )
        if self.peak_descriptors > self.max_descriptors:
            found.append(
                f'{self.peak_descriptors} descriptors exceed {self.max_descriptors}'
            )
        return found


class Scene:
    """Hold a host, its backend server, and the crowd of clients against it."""

    def __init__(
        self,
        host: WatchedHost,
        backend: StreamingBackend,
        store: MetadataStore,
    ) -> None:
        self.host = host
        self.backend = backend
        self.crowd = Crowd(host.addresses)
        self.store = store

    async def rest(self) -> None:
        """Wait until hardly anything moves, or all clients of the crowd are done.

        The wait only shapes the load: the checks hold whenever they are made.
        """
        end_s = time.monotonic() + _MAX_REST_WAIT_S
        moved_bytes = -_REST_BYTES_PER_S
        while time.monotonic() < end_s and not self.crowd.is_done:
            present = self.crowd.sent_bytes + self.backend.moved_bytes
            is_still = present - moved_bytes < _REST_BYTES_PER_S
            if is_still and self.crowd.is_connected:
                return
            moved_bytes = present
            await asyncio.sleep(1)

    async def faults(self) -> list[str]:
        """Check the host while the crowd is connected, and after it has gone."""
        await self.rest()
        found = self.host.faults()
        found += await self._find_unanswered('beside the crowd')
        self.crowd.close()
        found += await self._find_unanswered('after the crowd')
        return found or self.host.faults()

    async def call(self, target: str, port: str = 'callers', **options) -> int:
        """Send a request on a new connection; return the status, 0 without answer."""
        headers = {
            'Host': SITE,
            'Authorization': 'Bearer key-clinic',
            'Attempt-Id': self.crowd.next_attempt(),
            'Deadline-Ms': str(_TIMEOUT_MS),
        }
        url = f'http://{self.host.addresses[port]}{target}'
        method = options.pop('method', 'GET')
        try:
            async with (
                httpx.AsyncClient(trust_env=False, timeout=LIMIT_S) as client,
                client.stream(method, url, headers=headers, **options) as answer,
            ):
                async for _ in answer.aiter_raw():
                    # The body is read to its end and not kept.
                    pass
        except httpx.HTTPError:
            return 0
        return answer.status_code

    async def _find_unanswered(self, when: str) -> list[str]:
        """Return the ports where no ordinary request is answered with 200.

        A host may refuse a request while it is full, so requests are repeated.
        """
        ordinary = {
            'callers': '/look/1',
            'directory': '/v1/resolve?region=muenchen',
            'metrics': '/metrics',
            'readiness': '/v1/readyz',
        }
        found = []
        for port, target in ordinary.items():
            end_s = time.monotonic() + LIMIT_S
            status = await self.call(target, port)
            while status != HTTPStatus.OK and self._may_retry(end_s):
                await asyncio.sleep(_RETRY_S)
                status = await self.call(target, port)
            if status != HTTPStatus.OK:
                found.append(f'{port} answers {status} {when}')
        return found

    def _may_retry(self, end_s: float) -> bool:
        return self.host.process.is_running() and time.monotonic() < end_s


def _configuration() -> dict:
    columns = configuration()['routes']['columns']
    routes = (
        ('look', '/look/', 'safe'),
        ('book', '/book/', 'unsafe'),
        ('fetch', '/fetch/', 'download'),
        ('store', '/store/', 'upload'),
    )
    times = (_TIMEOUT_MS, _TIMEOUT_MS, 1)
    rows = [
        [name, SITE, prefix, kind, *times, 'front', 1, False, False]
        for name, prefix, kind in routes
    ]
    tenants = [
        [name, [f'key-{name}'], 1, 10_000, 10_000] for name in ('school', 'clinic')
    ]
    return configuration(
        routes={'columns': columns, 'rows': rows},
        # No `limits`: the defaults of the platform apply, with bodies of 64 MiB.
        limits={},
        tenants={
            'columns': ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
            'rows': tenants,
        },
    )


@asynccontextmanager
async def watched_host(
    folder: Path,
    backend: StreamingBackend | None = None,
    **limits: float,
) -> AsyncIterator[Scene]:
    """Run a host with a store and a backend server, and watch it."""
    async with AsyncExitStack() as stack:
        store = MetadataStore()
        store_server = await stack.enter_async_context(serving(store.handle))
        backend = backend or StreamingBackend()
        address = await backend.start()
        stack.callback(backend.close)
        info = {'service': 'front', 'version': 'v1', 'zone': 'muc-a', 'slots': 64}
        store.put('config', 'main', _configuration())
        store.put('servers', 'i-0', worker_entry(address, info=info))
        host = WatchedHost(folder, store_server.address, **limits)
        stack.callback(host.process.kill)
        scene = Scene(host, backend, store)
        stack.callback(scene.crowd.close)
        watcher = asyncio.create_task(host.watch())
        stack.callback(watcher.cancel)
        end_s = time.monotonic() + LIMIT_S
        while await scene.call('/look/1') != HTTPStatus.OK:
            if time.monotonic() > end_s:
                raise AssertionError(host.process.log_text()[-2000:])
            await asyncio.sleep(_RETRY_S)
        yield scene
