"""Serve requests end to end through separate processes."""

import httpx
import pytest

from tests.utils.backend_server import read_executions
from tests.utils.cluster import Cluster
from tests.utils.deployments import small_deployment
from tests.utils.waiting import wait_until

DOMAINS = {'muenchen-1': ('muenchen', 1), 'augsburg-1': ('augsburg', 1)}


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    """Run two entry hosts, and a backend server in the first domain."""
    with Cluster(tmp_path_factory.mktemp('cluster'), DOMAINS) as running:
        backend = running.add_backend('kb-1', slots=8)
        running.start_hosts()
        deployment = small_deployment(DOMAINS)
        deployment.backend_server(
            'kursbuchung',
            'kb-1',
            url=backend.url,
            failure_domain='muenchen-1',
            slots=8,
            connections=330,
        )
        running.submit(deployment)
        running.wait_ready()
        yield running


class TestWholePath:
    """Guard against failures on the path from operator and caller to backend server."""

    def test_request_is_served_without_its_key(self, cluster):
        """A backend server that saw the key could use it in the caller's name."""
        key = cluster.grant_key('guild-a')
        host = cluster.hosts['muenchen-1-0']
        found = httpx.get(
            f'{host.callers_url}/cicadadoor/v1/hosts',
            params={'service': 'kursbuchung'},
        ).json()
        assert found['hosts'][0]['url'] == host.callers_url
        headers = {'x-api-key': key, 'x-echo': 'hello'}
        url = f'{host.callers_url}/s/kursbuchung/timetable?day=1&api_key={key}'

        def is_served() -> bool:
            return httpx.get(url, headers=headers).status_code == 200

        wait_until(is_served, 'the granted key is in force')
        assert httpx.get(url, headers=headers).json()['echo'] == 'hello'
        executions = read_executions(cluster.backends['kb-1'].records_file)
        assert executions[-1].organisation == 'guild-a'
        assert 'traceparent' in executions[-1].headers
        for execution in executions:
            assert key not in repr(execution)

    def test_unknown_key_is_refused_as_not_run(self, cluster):
        """A request may run only for the organisation that owns its key."""
        host = cluster.hosts['muenchen-1-0']
        answer = httpx.get(
            f'{host.callers_url}/s/kursbuchung/timetable',
            headers={'x-api-key': 'wrong'},
        )
        assert answer.status_code == 401
        assert answer.headers['x-cicadadoor-run'] == 'no'
        assert answer.json()['error'] == 'key_unknown'

    def test_lookup_names_the_reachable_hosts(self, cluster):
        """Callers have no load balancer, so a look-up must name more than one host."""
        host = cluster.hosts['augsburg-1-0']

        def names_both() -> bool:
            found = httpx.get(
                f'{host.callers_url}/cicadadoor/v1/hosts',
                params={'service': 'kursbuchung'},
            ).json()
            urls = [entry['url'] for entry in found['hosts']]
            first_url = cluster.hosts['muenchen-1-0'].callers_url
            return urls == [first_url, host.callers_url]

        wait_until(names_both, 'the look-up names both hosts, the home region first')
