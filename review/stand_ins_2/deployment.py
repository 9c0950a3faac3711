"""Run a small deployment on loopback: a store, workers and entry hosts.

The store is the project's own stand-in. Entry hosts are separate processes, started with
the command of the deploy file. Only processes that were started here are signalled.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from tests.utils.metadata_store import MetadataStore
from tests.utils.processes import Ports
from tests.utils.raw_server import serving

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = 'site.example'
KEY = 'key-1'
ZONES = {
    'muc-a': 'muenchen',
    'nue-a': 'nuernberg',
    'aug-a': 'augsburg',
    'muc-b': 'muenchen',
    'nue-b': 'nuernberg',
    'aug-b': 'augsburg',
}
_COLUMNS = (
    'name',
    'host',
    'path_prefix',
    'route_type',
    'timeout_ms',
    'target_latency_ms',
    'priority',
    'service',
    'max_attempts',
    'session_affinity',
    'public',
)


def route(
    name: str,
    kind: str = 'safe',
    timeout_ms: int = 8000,
    max_attempts: int = 2,
    service: str = 'front',
) -> list:
    """Return a row of the routes of a configuration."""
    return [
        name,
        HOST_NAME,
        f'/{name}/',
        kind,
        timeout_ms,
        1000,
        2,
        service,
        max_attempts,
        False,
        False,
    ]


def configuration(number: int, routes: list, **changes: object) -> dict:
    """Return a configuration as an operator writes it."""
    return {
        'version': f'r{number}',
        'routes': {'columns': list(_COLUMNS), 'rows': routes},
        'services': {
            'columns': ['name', 'health_path', 'max_conns', 'warmup_s', 'cold_per_s'],
            'rows': [['front', '/healthz', 330, 3.0, 6.8]],
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67_108_864,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': {
            'columns': ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
            'rows': [['school', [KEY, 'key-2'], 1, 127, 127]],
        },
        **changes,
    }


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._began_s = time.monotonic()

    def note(self, text: str) -> None:
        """Add a line."""
        line = f'{time.monotonic() - self._began_s:8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)


class Worker:
    """A sound worker: one request at a time on a connection."""

    def __init__(self, name: str, record: Record, zone: str = 'muc-a') -> None:
        self.name = name
        self.zone = zone
        self.address = ''
        # Attempt ids of the requests that were run, in order.
        self.runs: list[str] = []
        self._record = record

    async def handle(self, request, connection) -> None:
        """Run one request: `work_ms` and `bytes` stand in its query."""
        head = {'Attempt-Id': request.headers.get('attempt-id', '')}
        if request.target == '/healthz':
            await connection.answer(200, {'Instance-Id': self.name})
            return
        if request.headers.get('target-instance', self.name) != self.name:
            await connection.answer(421, {**head, 'Instance-Id': self.name})
            return
        attempt = head['Attempt-Id']
        self.runs.append(attempt)
        self._record.note(f'run      {attempt} at {self.name}: {request.target}')
        _, _, query = request.target.partition('?')
        fields = dict(part.split('=') for part in query.split('&') if '=' in part)
        await asyncio.sleep(int(fields.get('work_ms', 20)) / 1000)
        body = f'{attempt}|'.encode()
        body += b'x' * max(0, int(fields.get('bytes', 0)) - len(body))
        await connection.answer(
            200,
            {**head, 'Response-Signature': f'signed-{attempt}', 'Server-Load': '1,0,8'},
            body,
        )


def worker_entry(worker: Worker, **status: object) -> dict:
    """Return the entry that a worker registers for itself."""
    return {
        'address': worker.address,
        'born': 1_700_000_000_000,
        'info': {'service': 'front', 'version': 'v1', 'zone': worker.zone, 'slots': 8},
        'status': {'state': 'ready', 'seq': 1, 'cold_remaining_ms': 0, **status},
    }


class EntryHost:
    """One entry host as a process, with the settings of a machine of a small site."""

    def __init__(self, name: str, zone: str, store: str, folder: Path) -> None:
        self.name = name
        self.settings = {
            'host': name,
            'failure_domain': zone,
            'region': ZONES[zone],
            'region_of_domain': ZONES,
            'callers': Ports.address(),
            'readiness': Ports.address(),
            'directory': Ports.address(),
            'peers': Ports.address(),
            'metrics': Ports.address(),
            'store': store,
            'kill_after_s': 6,
            'retry_ratio': 0.2,
            'retry_slack': 56,
            'quota_overrun': 0.1,
            'quota_slack': 20,
            'cold_overrun': 1.5,
            'cold_slack': 5,
            'directory_ttl_max_s': 5,
            'memory_mb': 300,
            'max_descriptors': 4100,
            'link_mbps': 1000.0,
            'cores': 1,
            'cpu_share': 0.86,
            'log_level': 'INFO',
        }
        self._path = folder / f'{name}.json'
        self._log = folder / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Return the address for callers."""
        host_ip, _, port = str(self.settings['callers']).rpartition(':')
        return host_ip, int(port)

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        self._path.write_text(json.dumps(self.settings))
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'cicadadoor.entry',
                str(self._path),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        try:
            async with asyncio.timeout(20):
                while not await self.is_ready():
                    await asyncio.sleep(0.1)
        except TimeoutError as error:
            tail = ' | '.join(self.log_tail())
            raise RuntimeError(f'{self.name} is not ready: {tail}') from error

    async def is_ready(self) -> bool:
        """Return whether the host says that it is ready."""
        host_ip, _, port = str(self.settings['readiness']).rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host_ip, int(port))
        except OSError:
            return False
        try:
            writer.write(b'GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n')
            line = await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()
        return b' 200 ' in line

    def log_tail(self, lines: int = 12) -> list[str]:
        """Return the last lines that the process wrote."""
        return self._log.read_text(errors='replace').splitlines()[-lines:]

    async def stop(self) -> None:
        """End the process."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.process.wait(), 7)
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Deployment:
    """Hold the store, the workers and the hosts of one case."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.store = MetadataStore()
        self.store_address = ''
        self.workers: dict[str, Worker] = {}
        self.hosts: list[EntryHost] = []


@contextlib.asynccontextmanager
async def deployed(
    record: Record,
    first_configuration: dict,
    *,
    workers: int = 2,
    zones: tuple[str, ...] = ('muc-a', 'nue-a'),
    make_worker: Callable[..., Worker] | None = None,
):
    """Run a deployment while the context is open.

    `make_worker` returns a worker that serves and registers by itself.
    """
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        deployment = Deployment(record, folder)
        server = await stack.enter_async_context(serving(deployment.store.handle))
        deployment.store_address = server.address
        deployment.store.put('config', 'main', first_configuration)
        for number in range(workers):
            name, zone = f'i-{number}', zones[number % len(zones)]
            if make_worker is not None:
                own = make_worker(name, record, zone, deployment.store)
                await own.start()
                stack.callback(own.stop)
                deployment.workers[name] = own
                continue
            worker = Worker(name, record, zone)
            running = await stack.enter_async_context(serving(worker.handle))
            worker.address = running.address
            deployment.workers[worker.name] = worker
            deployment.store.put('servers', worker.name, worker_entry(worker))
        for number, zone in enumerate(zones):
            host = EntryHost(
                f'front-{zone}-{number}', zone, deployment.store_address, folder
            )
            deployment.hosts.append(host)
            stack.push_async_callback(host.stop)
        await asyncio.gather(*(host.start() for host in deployment.hosts))
        record.note(f'hosts ready: {", ".join(host.name for host in deployment.hosts)}')
        # Heartbeats and the list of hosts settle.
        await asyncio.sleep(3)
        yield deployment


def request_bytes(
    attempt: str,
    path: str,
    *,
    method: str = 'GET',
    deadline_ms: int = 8000,
    body: bytes = b'',
    headers: tuple[str, ...] = (),
) -> bytes:
    """Return a client's request."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'Attempt-Id: {attempt}',
        f'Deadline-Ms: {deadline_ms}',
        f'Authorization: Bearer {KEY}',
        *headers,
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Answer:
    """Hold one answer as a client reads it."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]] | None:
    """Return status and headers of the next answer, or None at the end."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, found, text = line.partition(':')
        if found:
            headers[name.strip().lower()] = text.strip()
    return int(first.split()[1]), headers


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer of a connection; raise IncompleteReadError if it ends."""
    status, headers = await read_head(reader)
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Answer(status, headers, body)


def has_trouble() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(folder: Path, play) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if not, 2 if it couldn't run."""
    record = Record(folder / 'record.txt')
    record.note(f'TROUBLE={int(has_trouble())}')

    async def bounded() -> int:
        async with asyncio.timeout(110):
            return await play(record)

    try:
        broken = asyncio.run(bounded())
    except Exception as error:
        record.note(f'the case could not run: {type(error).__name__}: {error}')
        sys.exit(2)
    record.note(f'broken: {broken}')
    sys.exit(1 if broken else 0)
