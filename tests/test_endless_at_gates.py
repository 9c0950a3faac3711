"""Test the memory of a gate's process while a backend server sends without end."""

import threading
from pathlib import Path

import httpx
import pytest

from tests.utils.cluster import Cluster
from tests.utils.deployments import small_deployment
from tests.utils.endless_server import ENDLESS
from tests.utils.processes import Ports, TestProcess, python_module
from tests.utils.waiting import wait_until

DOMAINS = {'muenchen-1': ('muenchen', 1)}
HOST = 'muenchen-1-0'
_CALLERS = 12
_DEADLINE_MS = 3000
# A response up to 1 MiB is buffered, and copied once; the rest is garbage of the event
# loop. Without a limit, a caller's response would add hundreds of megabytes.
_GROWTH_BYTES = 100_000_000
_BYTES_PER_KIB = 1024


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    """Run an entry host with one backend server."""
    folder = tmp_path_factory.mktemp('endless')
    address = Ports.address()
    with Cluster(folder, DOMAINS) as running:
        running.extra_processes.append(
            TestProcess(
                'kb-1', python_module('tests.utils.endless_server', address), folder
            )
        )
        deployment = small_deployment(DOMAINS)
        deployment.backend_server(
            'kursbuchung',
            'kb-1',
            url=f'http://{address}',
            failure_domain='muenchen-1',
            slots=64,
            connections=330,
        )
        running.start_hosts()
        running.submit(deployment)
        running.wait_ready()
        running.key = running.grant_key('guild-a')
        wait_until(lambda: serves(running), 'the gate serves')
        yield running


def call(cluster, method, path, reads=True):
    """Send a request; return the status, or 0 if the response is incomplete."""
    url = f'{cluster.hosts[HOST].callers_url}/s/kursbuchung{path}'
    headers = {'x-api-key': cluster.key, 'x-deadline-ms': str(_DEADLINE_MS)}
    try:
        with httpx.stream(method, url, headers=headers, timeout=30) as answer:
            for _ in answer.iter_raw() if reads else ():
                pass
    except httpx.HTTPError:
        return 0
    return answer.status_code


def serves(cluster):
    return call(cluster, 'GET', '/timetable') == 200


def peak_bytes(pid):
    """Return the most resident memory that the process has had."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM'):
            return int(line.split()[1]) * _BYTES_PER_KIB
    raise AssertionError(pid)


class TestGateProcess:
    """Guard against a gate that ends, with all requests, for what one server sends."""

    @pytest.mark.parametrize('what', ENDLESS)
    @pytest.mark.parametrize(
        ('method', 'path', 'reads'),
        (
            ('GET', '', True),
            ('HEAD', '', True),
            # The gate reads on after the caller has left, since the request may run.
            ('POST', '/enrol', False),
        ),
    )
    def test_memory_stays_bounded_and_others_are_served(
        self, cluster, what, method, path, reads
    ):
        gate = cluster.hosts[HOST].gate
        before = peak_bytes(gate.pid)
        callers = [
            threading.Thread(
                target=call, args=(cluster, method, f'{path}/{what}', reads)
            )
            for _ in range(_CALLERS)
        ]
        for caller in callers:
            caller.start()
        wait_until(lambda: serves(cluster), 'another caller is served')
        for caller in callers:
            caller.join()
        wait_until(lambda: serves(cluster), 'a later caller is served')
        assert gate.is_running()
        assert peak_bytes(gate.pid) - before < _GROWTH_BYTES
