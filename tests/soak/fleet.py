"""Run the processes, stand-ins and relays of one soak run."""

import json
import math
import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import anyio

from tests.soak.faulty_answers import FAULTY_PATH, send_faulty
from tests.soak.host_process import SoakProcess
from tests.soak.relay import Relay
from tests.utils.entry_hosts import Worker
from tests.utils.metadata_store import MetadataStore, configuration, worker_entry
from tests.utils.processes import Ports, python_module
from tests.utils.raw_server import RawConnection, RawRequest, serving

REGIONS = {'muc-a': 'muenchen', 'nue-a': 'nuernberg'}
RATE_PER_S = 60.0
BURST = 60.0
_USUAL_HOSTS = 3
KILL_AFTER_S = 4
# Memory of the machine of each host.
MEMORY_MB = 300
# Requests for this path crash the worker that runs them.
CRASH_PATH = '/look/crash'
# A path with this part asks a worker to run the request for the milliseconds after it.
SLOW_PATH = '/slow/'
_MS_PER_S = 1000


class Run:
    """Record that a worker began to execute a request."""

    __slots__ = (
        'answered_s',
        'at_s',
        'attempt',
        'is_key_forwarded',
        'method',
        'organisation',
        'path',
        'worker',
    )

    def __init__(self, request: RawRequest) -> None:
        self.at_s = time.monotonic()
        # When the worker had sent its answer; infinite if it has not.
        self.answered_s = math.inf
        self.attempt = request.headers.get('attempt-id', '')
        self.method = request.method
        self.path = request.target
        self.organisation = request.headers.get('tenant', '')
        self.is_key_forwarded = 'authorization' in request.headers
        self.worker = request.headers.get('target-instance', '')


class Departure:
    """Record from when to when a worker has left, as the store acknowledged it."""

    __slots__ = ('back_s', 'left_s', 'worker')

    def __init__(self, worker: str, left_s: float, back_s: float) -> None:
        self.worker = worker
        self.left_s = left_s
        self.back_s = back_s


class SoakWorker(Worker):
    """Record each run as it begins."""

    def __init__(self, instance_id: str, runs: list[Run]) -> None:
        super().__init__(instance_id)
        self.all_runs = runs
        self.work_s = 0.02
        # Set by the event that sends crashing requests.
        self.on_crash: Callable[..., object] | None = None
        self.restart: Callable[[str], Awaitable[None]] | None = None

    async def handle(self, request: RawRequest, connection: RawConnection) -> None:
        """Record and handle one request."""
        is_addressed = request.headers.get('target-instance') == self.instance_id
        run = Run(request)
        if is_addressed and self.script[:1] != ['shed']:
            self.all_runs.append(run)
        if is_addressed and request.target == CRASH_PATH and self.on_crash:
            connection.reset()
            self.on_crash(self.restart, self.instance_id)
            return
        if is_addressed and FAULTY_PATH in request.target:
            attempt = request.headers.get('attempt-id', '')
            await send_faulty(request.target, attempt, connection)
            return
        if is_addressed and SLOW_PATH in request.target:
            work_ms = int(request.target.rpartition('/')[2])
            await anyio.sleep(work_ms / _MS_PER_S)
        await super().handle(request, connection)
        run.answered_s = time.monotonic()


class Host:
    """Run one entry host as a process."""

    def __init__(self, name: str, domain: str, folder: Path, store: str) -> None:
        self.name = name
        self.path = folder / f'{name}.json'
        self.callers = Ports.address()
        self.settings = {
            'host': name,
            'failure_domain': domain,
            'region': REGIONS[domain],
            'region_of_domain': REGIONS,
            'callers': self.callers,
            'readiness': Ports.address(),
            'directory': Ports.address(),
            'metrics': Ports.address(),
            'peers': Ports.address(),
            'store': store,
            'kill_after_s': KILL_AFTER_S,
            'memory_mb': MEMORY_MB,
        }
        self.write_settings()
        command = python_module('cicadadoor.entry', str(self.path))
        self.process = SoakProcess(name, command, folder)

    def write_settings(self, **changes: object) -> None:
        """Update the settings and replace the settings file.

        A process that starts meanwhile must not read a part of it.
        """
        self.settings.update(changes)
        written = self.path.with_suffix('.new')
        written.write_text(json.dumps(self.settings))
        written.replace(self.path)

    def restart(self) -> None:
        """Start the process again if it has ended."""
        if not self.process.is_running():
            self.process.start()

    def kill(self) -> None:
        """Kill the process, even if it is paused."""
        if self.process.is_running():
            self.process.send(signal.SIGCONT)
            self.process.kill()


class Fleet:
    """Start everything, and write objects as the operator and the workers do."""

    def __init__(self, folder: Path) -> None:
        self.store = MetadataStore()
        self.runs: list[Run] = []
        self.workers: dict[str, SoakWorker] = {}
        self.worker_relays: dict[str, Relay] = {}
        self.store_relays: list[Relay] = []
        self.hosts: list[Host] = []
        self.version = 1
        # Multiplies the limit of the organisation in large fleets: a small one, divided
        # among many hosts, would refuse most requests.
        self.scale = 1.0
        self.departures: list[Departure] = []
        self._sequence = 0
        self._folder = folder
        # Start of the current run of each worker.
        self._born: dict[str, int] = {}
        # When each worker was announced as draining, or as ready after a restart.
        self._turns: list[tuple[str, str, float]] = []
        self._stack = AsyncExitStack()

    async def start(self, hosts: int, workers: int) -> None:
        """Start stand-ins, relays and hosts."""
        self.scale = max(1, hosts / _USUAL_HOSTS)
        server = await self._stack.enter_async_context(serving(self.store.handle))
        self.configure()
        for number in range(workers):
            await self._add_worker(f'i-{number}')
        for number in range(hosts):
            relay = Relay(server.address)
            await relay.start()
            self.store_relays.append(relay)
            domain = tuple(REGIONS)[number % len(REGIONS)]
            host = Host(f'host-{number}', domain, self._folder, relay.address)
            self.hosts.append(host)

    async def stop(self) -> None:
        """Stop everything that was started."""
        for host in self.hosts:
            host.kill()
        for relay in (*self.store_relays, *self.worker_relays.values()):
            relay.stop()
        await self._stack.aclose()

    def configure(self, keys: tuple[str, ...] = ('key-1', 'key-2')) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        limits = (RATE_PER_S * self.scale, BURST * self.scale)
        organisation = ['school', list(keys), 1, *limits]
        columns = ['name', 'api_keys', 'priority', 'rate_per_s', 'burst']
        tenants = {'columns': columns, 'rows': [organisation]}
        changed = configuration(self.version, tenants=tenants)
        self.store.put('config', 'main', changed)

    def next_sequence(self) -> int:
        """Return the number of the next heartbeat of a worker."""
        self._sequence += 1
        return self._sequence

    def announce(
        self,
        instance_id: str,
        state: str,
        sequence: int | None = None,
        born: int = 0,
    ) -> None:
        """Write a worker's registration with its state, and the start of its run."""
        if born or state == 'draining':
            self._turns.append((instance_id, state, time.monotonic()))
        self._born[instance_id] = born or self._born.get(instance_id, 1)
        number = self.next_sequence() if sequence is None else sequence
        entry = worker_entry(
            self.worker_relays[instance_id].address,
            status={'state': state, 'seq': number, 'cold_remaining_ms': 0},
            born=self._born[instance_id],
        )
        self.store.put('servers', instance_id, entry)

    def record_departure(self, worker: str, left_s: float) -> None:
        """Record that a worker has left, apart from times after it restarted."""
        is_away = True
        for name, state, at_s in self._turns:
            if name != worker or at_s <= left_s:
                continue
            if is_away and state == 'ready':
                self.departures.append(Departure(worker, left_s, at_s))
            if not is_away and state == 'draining':
                left_s = at_s
            is_away = state == 'draining'
        if is_away:
            self.departures.append(Departure(worker, left_s, time.monotonic()))

    async def _add_worker(self, instance_id: str) -> None:
        worker = SoakWorker(instance_id, self.runs)
        server = await self._stack.enter_async_context(serving(worker.handle))
        relay = Relay(server.address)
        await relay.start()
        self.workers[instance_id] = worker
        self.worker_relays[instance_id] = relay
        self.announce(instance_id, 'ready')
