"""Start entry hosts as the deploy file says, and call them as clients do."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import urlencode

from stand_ins.http import call

ROOT = Path(__file__).resolve().parents[2]
REGIONS = {
    'muc-a': 'muenchen',
    'nue-a': 'nuernberg',
    'aug-a': 'augsburg',
    'muc-b': 'muenchen',
    'nue-b': 'nuernberg',
    'aug-b': 'augsburg',
}
# The machines of the small deployment knetwerk-bayern.
MACHINES = (
    ('front-muc-a-1', 'muc-a'),
    ('front-muc-a-2', 'muc-a'),
    ('front-nue-a-1', 'nue-a'),
    ('front-nue-a-2', 'nue-a'),
    ('front-aug-a-1', 'aug-a'),
    ('front-muc-b-1', 'muc-b'),
    ('front-nue-b-1', 'nue-b'),
    ('front-aug-b-1', 'aug-b'),
)
BOUNDS = {
    'drain_ms': 2500,
    'config_apply_ms': 2500,
    'stability_ms': 3000,
    'evac_ms': 5000,
    'grace_s': 6,
    'retry_budget_ratio': 0.2,
    'retry_budget_slack': 56,
    'quota_overrun': 0.1,
    'quota_slack': 20,
    'cold_overrun': 1.5,
    'cold_slack': 5,
    'ttl_max_s': 5,
}
# The machine's, as the platform fills them in.
LIMITS = {
    'cpu_share': 0.86,
    'cores': 1,
    'memory_mb': 300,
    'max_fds': 4100,
    'link_mbps': 1000.0,
}
# Front, ready and directory, as in DEPLOY.md; each machine has an address of its own.
PORTS = (8388, 8384, 8383)
HOST_NAME = 'ficu95.example'
KEY = 'xd9dnn2ctnfzs989anu6'


class CannotRunError(Exception):
    """Say that the case could not be run."""


class Record:
    """Write what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._started_s = time.monotonic()

    def note(self, what, **fields):
        at_s = time.monotonic() - self._started_s
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{at_s:9.3f} {what} {text}\n')

    def say(self, text):
        """Write a line to the record and to standard output."""
        self.note('--', text=text)
        sys.stdout.write(text + '\n')
        sys.stdout.flush()

    def close(self):
        self._file.close()


def configuration(number=1, **changes):
    """Return a configuration like that of knetwerk-bayern."""
    routes = [
        ['look', HOST_NAME, '/look/', 'safe', 3000, 400, 2, 'kursbuchung', 2],
        ['book', HOST_NAME, '/book/', 'unsafe', 4000, 600, 1, 'kursbuchung', 2],
        ['list', HOST_NAME, '/list/', 'safe', 2000, 1000, 2, 'schulakten', 2],
    ]
    columns = ['name', 'host', 'path_prefix', 'route_type', 'timeout_ms']
    columns += ['target_latency_ms', 'priority', 'service', 'max_attempts']
    services = [
        ['kursbuchung', '/healthz', 330, 3.0, 6.8],
        ['schulakten', '/healthz', 330, 3.0, 6.8],
    ]
    return {
        'version': f'r{number}',
        'routes': {'columns': columns, 'rows': routes},
        'services': {
            'columns': ['name', 'health_path', 'max_conns', 'warmup_s', 'cold_per_s'],
            'rows': services,
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1_000_000,
            'header_timeout_ms': 5000,
            'idle_timeout_ms': 10000,
        },
        'tenants': {
            'columns': ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
            'rows': [['huka270', [KEY], 1, 0, 0]],
        },
        **changes,
    }


def _find(fields, path):
    for part in path.split('.'):
        fields = fields[int(part)] if isinstance(fields, list) else fields[part]
    return fields


def render(template, fields):
    """Fill in the placeholders that the deploy file's template uses."""

    def replace(match):
        path, _, form = match.group(1).partition('|')
        found = _find(fields, path)
        return json.dumps(found) if form == 'json' else str(found)

    return re.sub(r'\{\{([a-z_.0-9|]+)\}\}', replace, template)


class Host:
    """Hold one entry host, a process of its own."""

    def __init__(self, name, zone, ip, ports, store_address, folder):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front = f'{ip}:{ports[0]}'
        self.ready = f'{ip}:{ports[1]}'
        self.directory = f'{ip}:{ports[2]}'
        self.process = None
        self._folder = folder
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['entry']
        fields = {
            'node_name': name,
            'zone': zone,
            'region': REGIONS[zone],
            'zones': REGIONS,
            'ip': ip,
            'listen': {
                'front': self.front,
                'ready': self.ready,
                'directory': self.directory,
            },
            'internal_ports': [7560, 7575],
            'platform': {'address': store_address},
            'bounds': BOUNDS,
            'limits': LIMITS,
        }
        self.settings = folder / f'{name}.yaml'
        template = (ROOT / role['template']).read_text()
        self.settings.write_text(render(template, fields))
        words = role['run'].split()
        self._command = [
            str(self.settings) if word.startswith('/etc/') else word for word in words
        ]

    async def start(self):
        kept = {name: os.environ[name] for name in ('PATH', 'HOME') if name in os.environ}
        log = open(self._folder / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            *self._command,
            cwd=ROOT,
            env={
                **kept,
                'LANG': 'C.UTF-8',
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'CICADADOOR_BOOT': str(self.settings),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        if self.is_running:
            self.process.send_signal(number)

    async def end(self):
        """Kill the process, and wait for its end."""
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        status, _, _ = await call(self.ready, 'GET', '/v1/readyz', {'Host': 'x'}, b'', 1)
        return status == 200

    def log_text(self):
        return (self._folder / f'{self.name}.log').read_text(errors='replace')


class Fleet:
    """Hold the entry hosts and the traffic of clients."""

    def __init__(self, record, store, machines=MACHINES):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory(prefix='review-')
        folder = Path(self._temporary.name)
        addresses = _free_addresses(len(machines))
        self.hosts = []
        for (name, zone), ip in zip(machines, addresses, strict=True):
            self.hosts.append(Host(name, zone, ip, PORTS, store.address, folder))
        self._directory = {}
        self._count = 0
        # Attempt id to a dictionary of what is known of it.
        self.attempts = {}

    async def start(self, within_s=30.0):
        for host in self.hosts:
            await host.start()
        await self.until_ready(within_s)

    async def until_ready(self, within_s=30.0):
        ends_s = time.monotonic() + within_s
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > ends_s or not host.is_running:
                    last = host.log_text()[-400:]
                    raise CannotRunError(f'{host.name} is not ready: {last}')
                await asyncio.sleep(0.05)

    async def close(self):
        for host in self.hosts:
            await host.end()
        self._temporary.cleanup()

    async def front_addresses(self, zone):
        known = self._directory.get(zone)
        now_s = time.monotonic()
        if known and now_s < known[0]:
            return known[1]
        near = sorted(
            self.hosts,
            key=lambda each: (each.zone != zone, REGIONS[each.zone] != REGIONS[zone]),
        )
        query = urlencode({'name': HOST_NAME, 'region': REGIONS[zone], 'zone': zone})
        for host in near[:3]:
            status, _, body = await call(
                host.directory, 'GET', f'/v1/resolve?{query}', {'Host': 'x'}, b'', 1
            )
            if status == 200:
                found = json.loads(body)
                until_s = now_s + min(found['ttl_s'], BOUNDS['ttl_max_s'])
                self._directory[zone] = (until_s, found['addresses'])
                return found['addresses']
        return known[1] if known else []

    async def request(self, zone, path, method='GET', body=b'', deadline_ms=4000, key=KEY):
        """Send one request to a front address that the directory names."""
        addresses = await self.front_addresses(zone)
        self._count += 1
        attempt = f'{self._count:016x}'
        facts = {'sent_s': time.monotonic(), 'method': method, 'path': path}
        self.attempts[attempt] = facts
        if not addresses:
            facts['status'] = 0
            self.record.note('answered', attempt=attempt, status='no address')
            return facts
        address = random.choice(addresses)
        facts['host'] = next(
            (host.name for host in self.hosts if host.front == address), address
        )
        self.record.note('sent', attempt=attempt, to=facts['host'], path=path)
        headers = {
            'Host': HOST_NAME,
            'Attempt-Id': attempt,
            'Deadline-Ms': str(deadline_ms),
            'Authorization': f'Bearer {key}',
        }
        status, answered, content = await call(
            address, method, path, headers, body, deadline_ms / 1000 + 1
        )
        facts.update(status=status, body=content, answered_s=time.monotonic())
        facts['is_signed'] = 'response-signature' in answered
        self.record.note('answered', attempt=attempt, status=status)
        return facts

    async def traffic(self, per_s, for_s, zones=None, unsafe_share=0.3, path='1'):
        """Send requests at a steady rate, and wait for their answers."""
        zones = zones or sorted({host.zone for host in self.hosts})
        tasks = []
        started_s = time.monotonic()
        number = 0
        while time.monotonic() - started_s < for_s:
            zone = zones[number % len(zones)]
            if random.random() < unsafe_share:
                coroutine = self.request(zone, f'/book/{path}', 'POST', b'seat=1')
            else:
                coroutine = self.request(zone, f'/look/{path}')
            tasks.append(asyncio.ensure_future(coroutine))
            number += 1
            due_s = started_s + number / per_s
            await asyncio.sleep(max(0, due_s - time.monotonic()))
        return list(await asyncio.gather(*tasks))


def served_share(facts):
    """Return the share of requests that were answered with a worker's success."""
    good = [each for each in facts if each['status'] == 200 and each['is_signed']]
    return len(good) / max(1, len(facts))


def _free_addresses(count):
    """Return loopback addresses on which the machines' ports are free."""
    for _ in range(50):
        net = random.randrange(2, 250)
        found = [f'127.{net}.{number}.1' for number in range(1, count + 1)]
        if all(_is_free(ip, port) for ip in found for port in (*PORTS, 7560, 7561)):
            return found
    raise CannotRunError('no free loopback addresses')


def _is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as tried:
            try:
                tried.bind((ip, port))
            except OSError:
                return False
    return True


def run_case(case, folder, within_s=110.0):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it can't run."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(folder) / 'record.txt')
    started = []

    async def main():
        async with asyncio.timeout(within_s):
            try:
                return await case(record, started, has_trouble=has_trouble)
            finally:
                for fleet in started:
                    await fleet.close()

    status = 2
    try:
        status = 1 if asyncio.run(main()) else 0
    except CannotRunError as error:
        record.say(f'could not run: {error}')
    except TimeoutError:
        record.say('could not run: out of time')
    record.say({0: 'the rule held', 1: 'the rule was BROKEN', 2: 'no result'}[status])
    record.close()
    sys.exit(status)
