"""Run entry hosts, a metadata store and workers in one event loop."""

import time
from collections.abc import Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

import anyio
import httpx

from cicadadoor.entry.daemon import build
from cicadadoor.entry.model import Topic
from cicadadoor.entry.settings import EntrySettings, check
from cicadadoor.errors import Failure
from tests.utils.metadata_store import (
    MetadataStore,
    StoreFaults,
    configuration,
    worker_entry,
)
from tests.utils.processes import Ports
from tests.utils.raw_server import RawConnection, RawRequest, serving
from tests.utils.waiting import until

SITE = 'site.example'
_REGIONS = {'muc-a': 'muenchen', 'nue-a': 'nuernberg'}
# Answers that are incomplete or not valid HTTP.
_MALFORMED_ANSWERS = {
    'short': (
        b'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 99\r\n\r\nab'
    ),
    # An unsigned answer and a refusal whose bodies are never completed.
    'unsigned_open': b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nab',
    'shed_open': (b'HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 99\r\n\r\nab'),
    # A signature of an interim response does not sign the final one.
    'signed_interim': (
        b'HTTP/1.1 103 X\r\nResponse-Signature: s\r\n\r\n'
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab'
    ),
    # More interim responses than a host reads before it gives up.
    'interim_open': b'HTTP/1.1 102 Processing\r\n\r\n' * 40_000,
    'noise': b'\x16\x03\x01 no answer in the protocol\r\n\r\n',
}


# Refusals that state that the request has not run; the attempt id is filled in.
_HEAD_CUT = 'head_cut_at_'
_REFUSALS = {
    'shed': {'Not-Executed': '1'},
    'shed_with_id': {'Not-Executed': '1', 'Attempt-Id': ''},
}


class Worker:
    """Stand in for a worker of the platform, with faults."""

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id
        self.runs: list[RawRequest] = []
        self.arrivals = 0
        # Faults for the next requests, in order; later requests are answered normally.
        # A key of _REFUSALS or _MALFORMED_ANSWERS, 'head_cut_at_' and a byte count (-1
        # for all but the last byte of the body), 'reset', 'silent' (no answer), 'fail'
        # (signed 500), 'status_' and a number (signed), 'foreign' (the attempt id of
        # another request), 'unsigned' or 'fail_open' (a signed 500, half of whose body
        # is never sent).
        self.script: list[str] = []
        # Sent instead of the instance id.
        self.body = b''
        self.work_s = 0.0
        # Added to each answer, refusals included.
        self.extra_headers: dict[str, str] = {}
        self.arrived_s: list[float] = []
        self.cancelled = 0
        # Whether the worker sends an earlier refusal on a connection once more before
        # it answers the next request.
        self.repeats_refusals = False
        self._refusals: dict[RawConnection, dict[str, str]] = {}

    async def handle(self, request: RawRequest, connection: RawConnection) -> None:
        """Handle one request."""
        self.arrivals += 1
        self.arrived_s.append(time.monotonic())
        if request.headers.get('target-instance') != self.instance_id:
            await connection.answer(421, {'Instance-Id': self.instance_id})
            return
        fault = self.script.pop(0) if self.script else ''
        if fault in _REFUSALS:
            headers = _REFUSALS[fault]
            if 'Attempt-Id' in headers:
                headers = {**headers, 'Attempt-Id': request.headers['attempt-id']}
            headers = {**headers, **self.extra_headers}
            self._refusals[connection] = headers
            await connection.answer(503, headers)
            return
        self.runs.append(request)
        if self.repeats_refusals and connection in self._refusals:
            await connection.answer(503, self._refusals[connection])
        if fault == 'reset':
            connection.reset()
        elif fault == 'silent':
            await connection.closed()
            self.cancelled += 1
            connection.close()
        else:
            await anyio.sleep(self.work_s)
            await self._answer(request, connection, fault)

    async def _answer(self, request, connection, fault: str) -> None:
        head = {
            'Attempt-Id': request.headers.get('attempt-id', ''),
            'Response-Signature': 'signed',
            'Server-Load': '1,0,8',
            **self.extra_headers,
        }
        body = self.body or self.instance_id.encode()
        if fault == 'fail_open':
            await connection.write(b'HTTP/1.1 500 X\r\n')
            fields = {**head, 'Content-Length': str(2 * len(body))}
            await connection.write(_encode_fields(fields) + body)
            await connection.closed()
            connection.close()
            return
        status = '500' if fault == 'fail' else fault.removeprefix('status_')
        if status.isdecimal():
            await connection.answer(status, head, body)
        elif fault == 'foreign':
            await connection.answer(200, {**head, 'Attempt-Id': 'another'}, body)
        elif fault == 'unsigned':
            await connection.answer(200, {}, body)
        elif fault in _MALFORMED_ANSWERS or fault.startswith(_HEAD_CUT):
            cut = _cut_head(head, body, fault)
            await connection.write(_MALFORMED_ANSWERS.get(fault, cut))
            if fault.endswith('_open'):
                await connection.closed()
            connection.close()
        else:
            await connection.answer(200, head, body)


def _encode_fields(fields: dict[str, str]) -> bytes:
    lines = [f'{name}: {text}\r\n' for name, text in fields.items()]
    return ''.join(lines).encode() + b'\r\n'


def _cut_head(head: dict[str, str], body: bytes, fault: str) -> bytes:
    lines = ['HTTP/1.1 200 OK']
    lines.extend(f'{name}: {text}' for name, text in head.items())
    lines.append(f'Content-Length: {len(body)}')
    encoded = '\r\n'.join(lines).encode() + b'\r\n\r\n'
    _, _, size = fault.partition(_HEAD_CUT)
    end = int(size or 0)
    return encoded[:end] if end >= 0 else (encoded + body)[:end]


class Deployment:
    """Hold the running hosts and workers, and call them as clients do."""

    def __init__(self, store: MetadataStore) -> None:
        self.store = store
        self.workers: dict[str, Worker] = {}
        self.hosts: list[EntrySettings] = []
        self.kernels: list = []
        # Stops all hosts without a grace period for requests in flight.
        self.stopping = anyio.Event()
        self._client = httpx.AsyncClient(trust_env=False, timeout=20)
        self._attempts = 0

    async def call(
        self,
        path: str,
        *,
        method: str = 'GET',
        key: str = 'key-1',
        host: int = 0,
        deadline_ms: int = 3000,
        **headers: str,
    ) -> httpx.Response:
        """Send a request to a host."""
        self._attempts += 1
        fields = {
            'Host': SITE,
            'Attempt-Id': f'attempt-{self._attempts}',
            'Deadline-Ms': str(deadline_ms),
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        if key:
            fields['Authorization'] = f'Bearer {key}'
        return await self._client.request(
            method,
            f'http://{self.hosts[host].callers}{path}',
            headers=fields,
        )

    async def platform_call(self, path: str, host: int = 0) -> httpx.Response:
        """Call a host as the platform does."""
        address = self.hosts[host].readiness
        return await self._client.get(f'http://{address}{path}')

    def find(self, name: str, host: int = 0):
        """Return a service of a host."""
        return self.kernels[host].find(name)

    @property
    def runs(self) -> int:
        """Return the number of requests that workers executed."""
        return sum(len(worker.runs) for worker in self.workers.values())

    async def close(self) -> None:
        """Close the client's connections."""
        await self._client.aclose()


def host_settings(
    name: str,
    store: str,
    domain: str = 'muc-a',
    *,
    regions: Mapping[str, str] = _REGIONS,
    cores: float = 1.0,
) -> EntrySettings:
    """Return settings on free ports of the loopback interface."""
    callers, platform_address, peers = (Ports.address() for _ in range(3))
    settings = check(
        name,
        {
            'host': name,
            'failure_domain': domain,
            'region': regions[domain],
            'region_of_domain': regions,
            'cores': cores,
            'callers': callers,
            'readiness': platform_address,
            'directory': platform_address,
            'metrics': platform_address,
            'peers': peers,
            'store': store,
            'kill_after_s': 2,
        },
    )
    if isinstance(settings, Failure):
        raise ValueError(settings.reason)
    return settings


@asynccontextmanager
async def deployed(
    workers: int = 1,
    hosts: int = 1,
    faults: StoreFaults | None = None,
    domains: tuple[str, ...] = ('muc-a',),
    cores: tuple[float, ...] = (1.0,),
    regions: Mapping[str, str] = _REGIONS,
):
    """Run hosts and workers while the context is open.

    The store has the given faults from the start. The hosts are spread over the failure
    domains in turn, and have the given cores in turn.
    """
    async with AsyncExitStack() as stack:
        store = MetadataStore()
        store.faults = faults or StoreFaults()
        listed = 0 if store.faults.hidden_kinds else hosts
        server = await stack.enter_async_context(serving(store.handle))
        deployment = Deployment(store)
        stack.push_async_callback(deployment.close)
        store.put('config', 'main', configuration())
        for number in range(workers):
            worker = Worker(f'i-{number}')
            running = await stack.enter_async_context(serving(worker.handle))
            deployment.workers[worker.instance_id] = worker
            store.put('servers', worker.instance_id, worker_entry(running.address))
        tasks = await stack.enter_async_context(anyio.create_task_group())
        # A kernel waits for a first signal, then for a second one that ends the drain.
        # The event stays set, so hosts stop without a drain.
        stopping = deployment.stopping
        stack.callback(stopping.set)
        for number in range(hosts):
            domain = domains[number % len(domains)]
            settings = host_settings(
                f'host-{number}',
                server.address,
                domain,
                regions=regions,
                cores=cores[number % len(cores)],
            )
            kernel = build(settings)
            deployment.hosts.append(settings)
            deployment.kernels.append(kernel)
            tasks.start_soon(kernel.run, stopping.wait, 0)
        for kernel in deployment.kernels:
            await until(partial(_has_synced, kernel.find('mirror'), workers, listed))
        await until_listening(deployment)
        yield deployment


def _has_synced(mirror, workers: int, hosts: int) -> bool:
    return bool(
        mirror.records(Topic.POLICY)
        and len(mirror.records(Topic.BACKENDS)) == workers
        and len(mirror.records(Topic.HOSTS)) == hosts
    )


async def until_listening(deployment: Deployment) -> None:
    """Wait until every host accepts connections."""
    for number, _ in enumerate(deployment.hosts):
        while not await _is_listening(deployment, number):
            await anyio.sleep(0.05)


async def _is_listening(deployment: Deployment, number: int) -> bool:
    try:
        await deployment.platform_call('/v1/readyz', number)
    except httpx.ConnectError:
        return False
    return True


def run_deployed(work, **options) -> None:
    """Run a coroutine function with a new deployment."""

    async def main() -> None:
        with anyio.fail_after(60):
            async with deployed(**options) as deployment:
                await work(deployment)

    anyio.run(main)
