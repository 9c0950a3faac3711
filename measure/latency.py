"""Compare the gate's look-ups and forwarding with baseline servers."""

import tempfile
from pathlib import Path

import anyio
import httpx

from measure.http_load import LoadResult, run_load
from measure.results import Results
from tests.utils.cluster import Cluster
from tests.utils.deployments import small_deployment
from tests.utils.processes import Ports, TestProcess, python_module
from tests.utils.waiting import wait_until

_CONNECTIONS = 16
_LOOKUPS = 12_000
_FORWARDS = 2_000
_ROUNDS = 3
_DOMAINS = {'muenchen-1': ('muenchen', 1)}
_SERVICE_PATH = '/s/kursbuchung/timetable'


def measure(results: Results) -> None:
    """Measure baselines and gate in turn, and report the best of several rounds.

    The best round is the one least disturbed by other load on the machine.
    """
    with tempfile.TemporaryDirectory() as folder:
        with Cluster(Path(folder), _DOMAINS, trace_sample_ratio=0) as cluster:
            _measure(cluster, results)


def _measure(cluster: Cluster, results: Results) -> None:
    fixed_address = _start_baseline(cluster, 'fixed')
    backend_url = f'http://{fixed_address}'
    forwarder_address = _start_baseline(cluster, 'forward', backend_url)
    cluster.start_hosts()
    deployment = small_deployment(_DOMAINS)
    deployment.organisation('load', rate_per_s=1e6, burst=1_000_000)
    deployment.backend_server(
        'kursbuchung',
        'bare',
        url=backend_url,
        failure_domain='muenchen-1',
        slots=_CONNECTIONS * 2,
        connections=_CONNECTIONS * 4,
    )
    cluster.submit(deployment)
    cluster.wait_ready()
    key = cluster.grant_key('load')
    host = cluster.hosts['muenchen-1-0']
    _wait_until_key_in_force(f'{host.callers_url}{_SERVICE_PATH}', key)
    gate_address = host.settings['callers']
    lookup = '/cicadadoor/v1/hosts?service=kursbuchung&client=127.0.0.1'
    pairs = (
        ('lookup', fixed_address, lookup, gate_address, lookup, _LOOKUPS),
        (
            'forward',
            forwarder_address,
            '/timetable',
            gate_address,
            _SERVICE_PATH,
            _FORWARDS,
        ),
    )
    for name, baseline_address, baseline_path, address, path, count in pairs:
        baseline = _best(baseline_address, baseline_path, key, count)
        measured = _best(address, path, key, count)
        ratio = measured.rate_per_s / baseline.rate_per_s
        results.add(name, 'bare', **baseline.figures())
        results.add(name, 'gate', **measured.figures(), ratio=ratio)


def _start_baseline(cluster: Cluster, mode: str, *arguments: str) -> str:
    address = Ports.address()
    command = python_module('measure.bare_servers', mode, address, *arguments)
    process = TestProcess(f'bare-{mode}', command, cluster.folder)
    cluster.extra_processes.append(process)
    wait_until(lambda: _answers(f'http://{address}/'), f'{mode} answers')
    return address


def _answers(url: str) -> bool:
    try:
        return httpx.get(url).status_code == 200
    except httpx.HTTPError:
        return False


def _wait_until_key_in_force(url: str, key: str) -> None:
    headers = {'x-api-key': key}
    wait_until(
        lambda: httpx.get(url, headers=headers).status_code == 200,
        'the key is in force',
    )


def _best(address: str, path: str, key: str, count: int) -> LoadResult:
    request = (
        f'GET {path} HTTP/1.1\r\nhost: {address}\r\nx-api-key: {key}\r\n\r\n'
    ).encode()
    rounds = [_run(address, request, count) for _ in range(_ROUNDS)]
    return max(rounds, key=lambda result: result.rate_per_s)


def _run(address: str, request: bytes, count: int) -> LoadResult:
    async def load() -> LoadResult:
        return await run_load(
            address,
            request,
            connections=_CONNECTIONS,
            requests=count,
        )

    return anyio.run(load)


if __name__ == '__main__':
    collected = Results()
    measure(collected)
    collected.print_table()
