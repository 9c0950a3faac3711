"""Send malformed and hostile requests to a gate."""

import socket

import httpx
import pytest

from tests.utils.cluster import Cluster
from tests.utils.deployments import small_deployment
from tests.utils.waiting import wait_until

DOMAINS = {'muenchen-1': ('muenchen', 1)}
HOSTS = '/cicadadoor/v1/hosts'
SOCKET_TIMEOUT_S = 30


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    """Run one entry host with one backend server, and one key."""
    with Cluster(tmp_path_factory.mktemp('bad'), DOMAINS) as running:
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
        running.key = running.grant_key('guild-a')
        running.wait_in_force()
        wait_until(lambda: _is_served(running), 'the host serves')
        yield running


class TestBadInput:
    """Guard against bad input that is executed, crashes the gate or is misreported."""

    @pytest.mark.parametrize(
        ('target', 'headers', 'error'),
        (
            ('/', {}, 'bad_request'),
            ('/nothing/here', {}, 'bad_request'),
            (HOSTS, {}, 'unknown_service'),
            (f'{HOSTS}?service=none', {}, 'unknown_service'),
            (f'{HOSTS}?service=kursbuchung&client=x', {}, 'bad_request'),
            ('/s/none/timetable', {}, 'unknown_service'),
            ('/s/', {}, 'unknown_service'),
            ('/s/kursbuchung/timetable', {}, 'key_missing'),
            ('/s/kursbuchung/timetable', {'x-api-key': ''}, 'key_missing'),
            ('/s/kursbuchung/timetable', {'x-api-key': 'wrong'}, 'key_unknown'),
            ('/s/kursbuchung/timetable', {'x-api-key': 'x' * 300}, 'bad_request'),
            ('/s/kursbuchung/timetable', {'authorization': 'Basic a'}, 'key_missing'),
            ('/s/kursbuchung/timetable?api_key=wrong', {}, 'key_unknown'),
            ('/s/kursbuchung/timetable?api%5Fkey=wrong', {}, 'key_unknown'),
            ('/s/kursbuchung/timetable?api_key=a&api_key=b', {}, 'bad_request'),
            (
                '/s/kursbuchung/timetable?api_key=a',
                {'x-api-key': 'b'},
                'bad_request',
            ),
        ),
    )
    def test_refusal_names_the_error_kind(self, cluster, target, headers, error):
        """The refusal must name the error and say that the request has not run."""
        answer = httpx.get(f'{_url(cluster)}{target}', headers=headers)
        assert answer.json()['error'] == error
        assert answer.headers['x-cicadadoor-run'] == 'no'

    @pytest.mark.parametrize('wanted', ('soon', '-5', '1.5', '²'))
    def test_deadline_that_is_no_number_is_refused(self, cluster, wanted):
        """Ignoring it would leave the caller with a deadline that is not enforced."""
        answer = httpx.get(
            f'{_url(cluster)}/s/kursbuchung/timetable',
            headers={
                b'x-api-key': cluster.key.encode(),
                b'x-deadline-ms': wanted.encode('latin-1'),
            },
        )
        assert answer.json()['error'] == 'bad_request'

    @pytest.mark.parametrize(
        'path',
        (
            '/public/../enrol/a',
            '/public//../enrol/a',
            '/public/%2e%2e/enrol/a',
            '/public/%2E%2E%2Fenrol/a',
            '/public/..',
            '/./public',
            '//public',
            '/public%2f..%2fenrol',
            '/public/..%5cenrol',
            '/public/..;a=b/enrol',
        ),
    )
    def test_path_traversal_does_not_reach_an_open_route(self, cluster, path):
        """A backend server may resolve the path and run a route that needs a key."""
        status = _send_raw(cluster, f'GET /s/kursbuchung{path} HTTP/1.1')
        assert status in {400, 401}

    @pytest.mark.parametrize(
        'head',
        (
            'GET',
            'GET / HTTP/9.9',
            'GET /\x00 HTTP/1.1',
            f'GET /{"x" * 100_000} HTTP/1.1',
            'GET / HTTP/1.1\r\nx: y\r\nx' + 'y' * 100_000,
            'POST /s/kursbuchung/enrol HTTP/1.1\r\ncontent-length: -1',
            'POST /s/a HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2',
        ),
    )
    def test_malformed_request_gets_a_client_error(self, cluster, head):
        """A request that two parsers may read differently must not run."""
        assert 400 <= _send_raw(cluster, head) < 500

    def test_unknown_transfer_encoding_is_not_implemented(self, cluster):
        """The end of the body is unknown, so nothing may run (RFC 9112, 6.1)."""
        assert _send_raw(cluster, 'POST /s/a HTTP/1.1\r\ntransfer-encoding: x') == 501

    def test_encoded_service_name_is_refused(self, cluster):
        """The gate would have forwarded the service prefix as part of the path."""
        head = 'GET /s/kurs%62uchung/public/a HTTP/1.1'
        assert _send_raw(cluster, head) == 400

    def test_body_over_the_limit_is_refused(self, cluster):
        """Unbounded bodies would fill the memory of a small host."""
        answer = httpx.post(
            f'{_url(cluster)}/s/kursbuchung/enrol',
            headers={'x-api-key': cluster.key},
            content=bytes(17_000_000),
        )
        assert answer.status_code == 413
        assert answer.json()['error'] == 'request_too_large'

    def test_chunked_body_is_forwarded_completely(self, cluster):
        """A body without a content length must be forwarded completely."""
        answer = httpx.post(
            f'{_url(cluster)}/s/kursbuchung/enrol/chunked',
            headers={'x-api-key': cluster.key},
            content=iter((b'first ', b'second')),
        )
        assert answer.status_code == 200
        assert cluster.executions()[-1].body == 'first second'

    def test_gate_still_serves_afterwards(self, cluster):
        """None of the requests above may have crashed the gate or logged an error."""
        assert cluster.hosts['muenchen-1-0'].gate.is_running()
        assert 'level=ERROR' not in cluster.hosts['muenchen-1-0'].gate.log_text()
        assert _is_served(cluster)


def _url(cluster) -> str:
    return cluster.hosts['muenchen-1-0'].callers_url


def _is_served(cluster) -> bool:
    answer = httpx.get(
        f'{_url(cluster)}/s/kursbuchung/timetable',
        headers={'x-api-key': cluster.key},
    )
    return answer.status_code == 200


def _send_raw(cluster, head) -> int:
    address = cluster.hosts['muenchen-1-0'].settings['callers'].rpartition(':')
    with socket.create_connection(
        (address[0], int(address[2])), SOCKET_TIMEOUT_S
    ) as connection:
        request = f'{head}\r\nhost: gate\r\nconnection: close\r\n\r\n'
        connection.sendall(request.encode('latin-1'))
        received = connection.recv(65_536)
    return int(received.split()[1])
