"""Test graceful shutdown of gates and agents under load."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from cicadadoor.errors import ExitStatus
from tests.utils.backend_server import read_executions
from tests.utils.cluster import Cluster
from tests.utils.control import set_faults
from tests.utils.deployments import small_deployment
from tests.utils.waiting import wait_until

DOMAINS = {'muenchen-1': ('muenchen', 2), 'augsburg-1': ('augsburg', 1)}
HOST = 'muenchen-1-0'
ENROL_WORK_MS = 30


@pytest.fixture
def cluster(tmp_path):
    """Run three entry hosts with a short look-up TTL, and backend servers."""
    settings = {'answer_ttl_ms': 500, 'leave_margin_s': 3, 'grace_s': 4}
    with Cluster(tmp_path, DOMAINS, **settings) as running:
        deployment = small_deployment(DOMAINS)
        for domain in DOMAINS:
            backend = running.add_backend(f'kb-{domain}', slots=64)
            deployment.backend_server(
                'kursbuchung',
                backend.name,
                url=backend.url,
                failure_domain=domain,
                slots=64,
                connections=330,
            )
        running.start_hosts()
        running.submit(deployment)
        running.wait_ready()
        running.key = running.grant_key('guild-a')
        for host in running.hosts.values():
            _wait_served(host, running.key)
        yield running


class TestGracefulStop:
    """Guard against requests that are lost or run twice in a planned shutdown."""

    @pytest.mark.parametrize('order', ('gate agent', 'agent gate', 'both at once'))
    def test_no_request_is_lost_whichever_daemon_stops_first(self, cluster, order):
        """A caller with a cached look-up must not lose or repeat an enrolment."""
        host = cluster.hosts[HOST]
        with Callers(cluster, host.callers_url) as callers:
            wait_until(lambda: len(callers.answered) > 50, 'the load runs')
            statuses = _stop(host, order)
            wait_until(
                lambda: callers.use_other_hosts_only(HOST),
                'callers use other hosts only',
            )
        assert statuses == {'gate': ExitStatus.SUCCESS, 'agent': ExitStatus.SUCCESS}
        assert not callers.failures, callers.failures
        assert sorted(callers.answered) == sorted(_enrolments(cluster))
        assert 'event=left_lookups' in host.gate.log_text()

    def test_stopping_host_leaves_all_look_ups_while_it_still_serves(self, cluster):
        """The gate must serve callers until their cached look-ups expire."""
        host = cluster.hosts[HOST]
        other = cluster.hosts['augsburg-1-0']
        wait_until(
            lambda: host.callers_url in _looked_up_urls(other), 'the look-up names it'
        )
        host.gate.send(15)
        wait_until(
            lambda: host.callers_url not in _looked_up_urls(host),
            'its own look-ups do not name it',
        )
        assert _get(host, cluster.key)
        wait_until(
            lambda: host.callers_url not in _looked_up_urls(other),
            'look-ups of other hosts do not name it',
        )
        assert host.gate.wait() == ExitStatus.SUCCESS

    def test_refusal_while_stopping_names_other_hosts_and_ends_the_connection(
        self,
        cluster,
    ):
        """A refusal must announce that the connection closes.

        Otherwise the next request on the connection has an unknown outcome.
        """
        host = cluster.hosts[HOST]
        other_url = cluster.hosts['augsburg-1-0'].callers_url
        wait_until(
            lambda: other_url in _looked_up_urls(host),
            'its look-ups name the other region',
        )
        refusals = []
        with httpx.Client() as client:
            slow = threading.Thread(target=_enrol_slowly, args=(cluster, host, 5000))
            slow.start()
            host.gate.send(15)

            def is_refused() -> bool:
                refusals.append(
                    client.get(_url(host), headers={'x-api-key': cluster.key})
                )
                return refusals[-1].status_code != 200

            wait_until(is_refused, 'new work is refused')
        assert refusals[-1].json()['error'] == 'draining'
        assert refusals[-1].headers['x-cicadadoor-run'] == 'no'
        assert refusals[-1].headers['connection'] == 'close'
        assert other_url in refusals[-1].json()['hosts']
        assert host.gate.wait() == ExitStatus.SUCCESS
        slow.join()

    @pytest.mark.parametrize('by_signal', (True, False))
    def test_second_signal_or_deadline_reports_aborted_requests(
        self, cluster, by_signal
    ):
        """The exit code and the log must show that requests were aborted."""
        host = cluster.hosts[HOST]
        backend = cluster.backends['kb-muenchen-1']
        set_faults(backend.url, work_ms=60_000)
        slow = threading.Thread(target=_enrol_slowly, args=(cluster, host, 0))
        slow.start()
        wait_until(lambda: _enrolments(cluster), 'the request runs')
        _stop_with_work_left(host, by_signal=by_signal)
        assert host.gate.wait() == ExitStatus.STOPPED_WITH_WORK_LEFT
        assert 'event=stopped_with_work_left' in host.gate.log_text()
        assert 'departure=1' in host.gate.log_text()
        slow.join()

    @pytest.mark.parametrize('by_signal', (True, False))
    def test_request_aborted_by_a_stop_gets_run_unknown(
        self,
        cluster,
        by_signal,
    ):
        """An aborted request must get `run=unknown` instead of a plain 500."""
        host = cluster.hosts[HOST]
        set_faults(cluster.backends['kb-muenchen-1'].url, work_ms=60_000)
        with ThreadPoolExecutor() as threads:
            enrolment = threads.submit(_post_slowly, cluster, host, 0)
            wait_until(lambda: _enrolments(cluster), 'the request runs')
            _stop_with_work_left(host, by_signal=by_signal)
            answer = enrolment.result()
        assert answer.status_code == 504
        assert answer.json()['error'] == 'cut_by_stop'
        assert answer.headers['x-cicadadoor-run'] == 'unknown'
        assert answer.headers['connection'] == 'close'
        assert host.gate.wait() == ExitStatus.STOPPED_WITH_WORK_LEFT

    @pytest.mark.parametrize('by_signal', (True, False))
    def test_request_aborted_while_its_body_is_read_gets_run_no(
        self,
        cluster,
        by_signal,
    ):
        """A request aborted while its body is read must get `run=no`.

        Only then may the caller send it to another host.
        """
        host = cluster.hosts[HOST]
        head = (
            'POST /s/kursbuchung/enrol/slow HTTP/1.1\r\n'
            f'host: muenchen\r\nx-api-key: {cluster.key}\r\n'
            'expect: 100-continue\r\ncontent-length: 8\r\n\r\n'
        )
        address = host.settings['callers'].rpartition(':')
        with socket.create_connection((address[0], int(address[2])), 60) as caller:
            caller.sendall(head.encode())
            assert b' 100 ' in caller.recv(1000)
            caller.sendall(b'half')
            _stop_with_work_left(host, by_signal=by_signal)
            answer = caller.makefile('rb').read()
        assert answer.startswith(b'HTTP/1.1 503 ')
        assert b'"error":"draining"' in answer
        assert b'x-cicadadoor-run: no' in answer
        assert host.gate.wait() == ExitStatus.STOPPED_WITH_WORK_LEFT
        assert not _enrolments(cluster)

    def test_withdrawal_during_a_stop_of_the_agent_is_confirmed(self, cluster):
        """A withdrawal must be confirmed although the agent shuts down.

        The agent has passed the key to other hosts, but the platform does not answer.
        """
        host = cluster.hosts[HOST]
        host.gate.kill()
        set_faults(cluster.platform_url, delay_ms=60_000)
        with ThreadPoolExecutor() as threads:
            withdrawal = threads.submit(
                httpx.post,
                f'{host.operators_url}/v1/withdrawals',
                json={'key_hash': 'a' * 64},
                timeout=60,
            )
            wait_until(
                lambda: 'event=keys_withdrawn' in host.agent.log_text(),
                'the key is refused',
            )
            host.agent.send(15)
            wait_until(
                lambda: 'event=stopping' in host.agent.log_text(),
                'the first signal is handled',
            )
            host.agent.send(15)
            answer = withdrawal.result()
        assert answer.status_code == 200
        assert answer.json()['recorded'] is False
        assert answer.json()['told_hosts'] > 0
        assert host.agent.wait() == ExitStatus.STOPPED_WITH_WORK_LEFT
        assert 'operator_api=1' in host.agent.log_text()
        other = cluster.hosts['muenchen-1-1']
        wait_until(lambda: other.status()['withdrawn_keys'], 'the other host knows')


class Callers:
    """Send enrolments from several threads, each with its own connections."""

    def __init__(self, cluster, first_url) -> None:
        self.answered = []
        self.failures = []
        self._cluster = cluster
        self._first_url = first_url
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,)) for number in range(6)
        ]
        self._urls_in_use = {}

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error):
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def use_other_hosts_only(self, name) -> bool:
        """Return whether no caller's look-up names the host."""
        url = self._cluster.hosts[name].callers_url
        return all(url not in urls for urls in self._urls_in_use.values())

    def _run(self, number) -> None:
        count = 0
        with httpx.Client() as client:
            urls, expires_s = [self._first_url], 0
            while not self._ended.is_set():
                if time.monotonic() >= expires_s:
                    urls, expires_s = self._look_up(client, urls)
                    self._urls_in_use[number] = urls
                count += 1
                self._enrol(client, urls, f'{number}-{count}')

    def _look_up(self, client, urls):
        # Every known host answers look-ups; stopped hosts are skipped.
        known = [*urls, *(host.callers_url for host in self._cluster.hosts.values())]
        for url in known:
            try:
                found = client.get(
                    f'{url}/cicadadoor/v1/hosts',
                    params={'service': 'kursbuchung'},
                ).json()
            except httpx.HTTPError:
                continue
            hosts = [entry['url'] for entry in found['hosts']]
            return hosts, time.monotonic() + found['ttl_ms'] / 1000
        raise AssertionError('no host answers look-ups')

    def _enrol(self, client, urls, name) -> None:
        for url in urls:
            try:
                answer = client.post(
                    f'{url}/s/kursbuchung/enrol/{name}',
                    headers={
                        'x-api-key': self._cluster.key,
                        'x-work-ms': str(ENROL_WORK_MS),
                    },
                )
            except httpx.HTTPError as error:
                self.failures.append(f'{name}: {error!r}')
                return
            if answer.status_code == 200:
                self.answered.append(name)
                return
            if answer.headers.get('x-cicadadoor-run') != 'no':
                self.failures.append(f'{name}: {answer.text}')
                return
        self.failures.append(f'{name}: refused by each of {urls}')


def _stop(host, order):
    processes = {'gate': host.gate, 'agent': host.agent}
    if order == 'both at once':
        host.gate.send(15)
        host.agent.send(15)
        return {name: process.wait() for name, process in processes.items()}
    return {name: processes[name].terminate() for name in order.split()}


def _enrolments(cluster):
    return [
        execution.target.rpartition('/')[2].rstrip('?')
        for backend in cluster.backends.values()
        for execution in read_executions(backend.records_file)
        if execution.method == 'POST'
    ]


def _url(host) -> str:
    return f'{host.callers_url}/s/kursbuchung/timetable'


def _get(host, key) -> bool:
    return httpx.get(_url(host), headers={'x-api-key': key}).status_code == 200


def _wait_served(host, key) -> None:
    wait_until(lambda: _get(host, key), f'{host.name} serves')


def _looked_up_urls(host):
    found = httpx.get(
        f'{host.callers_url}/cicadadoor/v1/hosts',
        params={'service': 'kursbuchung'},
    ).json()
    return [entry['url'] for entry in found['hosts']]


def _stop_with_work_left(host, *, by_signal) -> None:
    """Start a shutdown, and abort it by a second signal or let it time out."""
    host.gate.send(15)
    if by_signal:
        wait_until(
            lambda: 'event=left_lookups' in host.gate.log_text(),
            'the first signal is handled',
        )
        host.gate.send(15)


def _post_slowly(cluster, host, work_ms) -> httpx.Response:
    headers = {'x-api-key': cluster.key, 'x-work-ms': str(work_ms)}
    url = f'{host.callers_url}/s/kursbuchung/enrol/slow'
    return httpx.post(url, headers=headers, timeout=60)


def _enrol_slowly(cluster, host, work_ms) -> None:
    try:
        _post_slowly(cluster, host, work_ms)
    except httpx.HTTPError:
        # The test that aborts the request checks the exit code and the log.
        return
