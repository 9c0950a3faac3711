"""Test steering with the processes of a small deployment."""

import json

import httpx
import pytest

from cicadadoor.decisions.leaving import STABLE_HEALTH_S
from tests.utils import control
from tests.utils.backend_server import read_executions
from tests.utils.cluster import Cluster
from tests.utils.deployments import small_deployment
from tests.utils.waiting import wait_until

DOMAINS = {'muenchen-1': ('muenchen', 1), 'augsburg-1': ('augsburg', 1)}
SERVERS = {'kb-1': 'muenchen-1', 'kb-2': 'muenchen-1', 'kb-3': 'augsburg-1'}


class Requests:
    """Send requests to the gate of one host."""

    def __init__(self, cluster, host: str) -> None:
        self.cluster = cluster
        self.url = f'{cluster.hosts[host].callers_url}/s/kursbuchung/timetable'
        self.headers = {'x-api-key': cluster.key}

    def answer(self) -> httpx.Response:
        """Send one request."""
        return httpx.get(self.url, headers=self.headers)

    def is_served(self) -> bool:
        """Return whether a request succeeds."""
        return self.answer().status_code == 200

    def server(self) -> str:
        """Return the backend server that ran a request, or the error kind."""
        answer = self.answer()
        body = answer.json()
        return body['server'] if answer.status_code == 200 else body['error']

    def servers(self, count: int = 12) -> set[str]:
        """Return the backend servers that ran some requests."""
        return {self.server() for _ in range(count)}


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    """Run one entry host in each of two regions, with three backend servers."""
    folder = tmp_path_factory.mktemp('steering')
    with Cluster(folder, DOMAINS, answer_ttl_ms=500) as running:
        deployment = small_deployment(DOMAINS)
        for name, domain in SERVERS.items():
            backend = running.add_backend(name, slots=8)
            deployment.backend_server(
                'kursbuchung',
                name,
                url=backend.url,
                failure_domain=domain,
                slots=8,
                connections=330,
            )
        running.start_hosts()
        running.submit(deployment)
        running.wait_ready()
        running.key = running.grant_key('guild-a')
        for host in running.hosts:
            requests = Requests(running, host)
            wait_until(requests.is_served, f'{host} serves')
        yield running


def find_listed(cluster, group: str, name: str) -> dict:
    """Return an object by name from the output of a list command."""
    found = json.loads(cluster.operate(group, 'list', '--json'))['listed']
    return next(each for each in found if each['name'] == name)


class TestLeavingServers:
    """Guard against new requests to a leaving server, however it is detected."""

    def test_drain_command_empties_a_server(self, cluster):
        requests = Requests(cluster, 'muenchen-1-0')
        cluster.operate('drain', 'start', 'backend_server', 'kb-2', '--within_s=60')
        name = 'backend_server.kb-2'
        wait_until(
            lambda: find_listed(cluster, 'drain', name)['state'] == 'done',
            'the drain is done',
        )
        assert requests.servers() == {'kb-1'}
        version = find_listed(cluster, 'drain', name)['version']
        cluster.operate('drain', 'cancel', name, str(version))
        wait_until(lambda: 'kb-2' in requests.servers(), 'kb-2 serves again')

    def test_drain_signal_of_the_server_suffices(self, cluster):
        requests = Requests(cluster, 'muenchen-1-0')
        backend = cluster.backends['kb-2']
        control.set_faults(backend.url, draining=True)
        wait_until(lambda: requests.servers() == {'kb-1'}, 'kb-2 gets no requests')
        ran = len(read_executions(backend.records_file))
        assert requests.servers(30) == {'kb-1'}
        assert len(read_executions(backend.records_file)) == ran
        control.set_faults(backend.url, draining=False)
        # If no probe saw the server drain, its return is not seen as a change, and it
        # is used again only after its health was good for some minutes.
        wait_until(
            lambda: 'kb-2' in requests.servers(),
            'kb-2 serves again',
            2 * STABLE_HEALTH_S,
        )

    def test_dead_server_gets_nothing_until_it_is_back(self, cluster):
        requests = Requests(cluster, 'muenchen-1-0')
        backend = cluster.backends['kb-2']
        backend.process.kill()
        wait_until(lambda: requests.servers() == {'kb-1'}, 'kb-2 gets no requests')
        backend.process.start()
        wait_until(lambda: 'kb-2' in requests.servers(), 'kb-2 serves again')


class TestForwardingToOtherRegions:
    """Guard against refusal of requests that another region can serve."""

    def test_requests_are_forwarded_until_a_hold_is_set(self, cluster):
        requests = Requests(cluster, 'augsburg-1-0')
        assert requests.servers() == {'kb-3'}
        backend = cluster.backends['kb-3']
        control.set_faults(backend.url, draining=True)
        wait_until(
            lambda: requests.server() in {'kb-1', 'kb-2'},
            'requests are forwarded to the other region',
        )
        cluster.operate('hold', 'set', 'region', 'augsburg')
        wait_until(
            lambda: requests.servers() == {'no_backend_server'},
            'the hold stops the forwarding',
        )
        refused = requests.answer()
        assert refused.headers['x-cicadadoor-run'] == 'no'
        version = find_listed(cluster, 'hold', 'region.augsburg')['version']
        cluster.operate('hold', 'clear', 'region.augsburg', str(version))
        control.set_faults(backend.url, draining=False)
        wait_until(
            lambda: requests.servers() == {'kb-3'},
            'kb-3 serves again',
            2 * STABLE_HEALTH_S,
        )


class TestShift:
    """Guard against faults between the command, the planner and the gates."""

    def test_automatic_shift_moves_callers(self, cluster):
        cluster.operate(
            'shift',
            'create',
            'move',
            '--service=kursbuchung',
            '--source=muenchen',
            '--target=augsburg',
            '--step=0.1',
            '--interval_s=0',
            '--approval=automatic',
            '--keep=0.8',
        )
        wait_until(
            lambda: find_listed(cluster, 'shift', 'move')['state'] == 'done',
            'the shift is done',
        )
        assert find_listed(cluster, 'shift', 'move')['steps_done'] == 2

    def test_manual_shift_waits_for_approval(self, cluster):
        cluster.operate(
            'shift',
            'create',
            'back',
            '--service=kursbuchung',
            '--source=augsburg',
            '--target=muenchen',
            '--step=0.1',
        )
        wait_until(
            lambda: find_listed(cluster, 'shift', 'back')['state'] == 'proposed',
            'a step is proposed',
        )
        version = find_listed(cluster, 'shift', 'back')['version']
        cluster.operate('shift', 'approve', 'back', str(version))
        wait_until(
            lambda: find_listed(cluster, 'shift', 'back')['steps_done'] == 1,
            'the approved step is made',
        )
        cluster.operate('shift', 'approve', 'back', str(version), expect=4)
