"""Test requests that an entry host forwards from callers to workers."""

from collections import Counter
from functools import partial

import anyio
import pytest
from prometheus_client import REGISTRY

from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.head_check import HeadCheck
from cicadadoor.entry.model import Topic
from cicadadoor.errors import ErrorKind, Executed, Failure
from cicadadoor.platform.headers import read_request, read_response
from tests.test_entry_backends import record_of
from tests.utils.entry_hosts import run_deployed
from tests.utils.metadata_store import StoreFaults, configuration, worker_entry
from tests.utils.waiting import until


class TestAnswers:
    """Check responses of workers and of the host itself."""

    def test_request_is_served(self):
        async def work(deployment):
            answer = await deployment.call('/look/1?a=b', Cookie='Affinity-Key=7')
            assert answer.status_code == 200
            assert answer.content == b'i-0'
            assert answer.headers['response-signature'] == 'signed'
            sent = deployment.workers['i-0'].runs[0]
            assert sent.target == '/look/1?a=b'
            assert sent.headers['tenant'] == 'school'
            assert sent.headers['attempt-id'] == 'attempt-1'
            assert 'authorization' not in sent.headers
            assert 0 < int(sent.headers['deadline-ms']) <= 3000

        run_deployed(work)

    @pytest.mark.parametrize(
        ('path', 'key', 'status'),
        (
            ('/nothing/1', 'key-1', 404),
            ('/look/1', '', 401),
            ('/look/1', 'stolen', 401),
            ('/open/1', '', 200),
        ),
    )
    def test_caller_without_permission_gets_the_matching_status(
        self, path, key, status
    ):
        async def work(deployment):
            answer = await deployment.call(path, key=key)
            assert answer.status_code == status

        run_deployed(work)

    def test_organisation_of_the_caller_is_not_taken_from_its_headers(self):
        async def work(deployment):
            await deployment.call('/look/1', Tenant='other')
            assert deployment.workers['i-0'].runs[0].headers['tenant'] == 'school'

        run_deployed(work)

    def test_host_without_workers_refuses_with_retry_after(self):
        async def work(deployment):
            answer = await deployment.call('/look/1')
            assert answer.status_code == 503
            assert 0 < float(answer.headers['retry-after']) < 2

        run_deployed(work, workers=0)

    def test_error_answer_of_a_worker_is_returned_with_its_signature(self):
        async def work(deployment):
            deployment.workers['i-0'].script = ['fail']
            answer = await deployment.call('/book/1', method='POST')
            assert answer.status_code == 500
            assert answer.headers['response-signature'] == 'signed'

        run_deployed(work)


class TestRetries:
    """Check which requests are retried."""

    @pytest.mark.parametrize(
        'fault',
        ('reset', 'short', 'foreign', 'fail', 'shed', 'noise', 'unsigned_open'),
    )
    def test_safe_request_is_retried_at_another_worker(self, fault):
        async def work(deployment):
            for worker in deployment.workers.values():
                worker.script = [fault]
            first = await deployment.call('/look/1', Cookie='Affinity-Key=7')
            second = await deployment.call('/look/1', Cookie='Affinity-Key=7')
            assert {first.status_code, second.status_code} <= {200, 500, 502, 503}
            assert sum(each.arrivals for each in deployment.workers.values()) >= 3

        run_deployed(work, workers=2)

    def test_safe_requests_are_served_after_resets(self):
        async def work(deployment):
            deployment.find('backends')
            for worker in deployment.workers.values():
                worker.script = ['reset']
            answers = [
                await deployment.call('/look/1', Cookie=f'Affinity-Key={number}')
                for number in range(4)
            ]
            assert answers[-1].status_code == 200

        run_deployed(work, workers=2)

    @pytest.mark.parametrize('fault', ('reset', 'short', 'foreign', 'unsigned'))
    def test_unsafe_request_that_may_have_run_is_not_retried(self, fault):
        async def work(deployment):
            for worker in deployment.workers.values():
                worker.script = [fault]
            answer = await deployment.call('/book/1', method='POST')
            assert answer.status_code == 502
            assert 'retry-after' not in answer.headers
            assert deployment.runs == 1

        run_deployed(work, workers=2)

    @pytest.mark.parametrize(
        ('fault', 'error', 'expected_run'),
        (
            ('unsigned_open', 'answer_invalid', 'unknown'),
            ('shed_open', 'backend_shed', 'no'),
        ),
    )
    def test_body_is_not_awaited_when_the_head_decides(
        self, fault, error, expected_run
    ):
        async def work(deployment):
            deployment.workers['i-0'].script = [fault]
            answer = await deployment.call('/book/1', method='POST', deadline_ms=60_000)
            assert answer.json() == {'error': error, 'run': expected_run}

        run_deployed(work)

    @pytest.mark.parametrize('fault', ('noise', 'unsigned_open', 'interim_open'))
    def test_safe_requests_are_served_despite_a_worker_with_invalid_answers(
        self, fault
    ):
        async def work(deployment):
            bad = deployment.workers['i-0']
            bad.script = [fault for _ in range(20)]
            for number in range(10):
                answer = await deployment.call(
                    '/look/1', Cookie=f'Affinity-Key={number}'
                )
                assert answer.status_code == 200
                assert answer.content == b'i-1'
            assert bad.arrivals

        run_deployed(work, workers=2)

    def test_shed_request_is_retried_at_another_worker(self):
        async def work(deployment):
            for worker in deployment.workers.values():
                worker.script = ['shed']
            first = await deployment.call('/book/1', method='POST')
            assert first.status_code == 503
            second = await deployment.call('/book/1', method='POST')
            assert second.status_code == 200
            assert deployment.runs == 1

        run_deployed(work, workers=2)

    def test_worker_at_a_reused_address_does_not_run_the_request(self):
        async def work(deployment):
            worker = deployment.workers['i-0']
            worker.instance_id = 'i-other'
            answer = await deployment.call('/book/1', method='POST')
            assert answer.status_code == 503
            assert deployment.runs == 0

        run_deployed(work)

    def test_unreachable_worker_is_skipped(self):
        async def work(deployment):
            deployment.store.put('servers', 'i-9', worker_entry('127.0.0.1:1'))
            backends = deployment.find('backends')
            await until(lambda: len(backends.of_service('front')) == 2)
            answers = [
                await deployment.call('/book/1', method='POST') for _ in range(6)
            ]
            assert {answer.status_code for answer in answers} == {200}
            assert deployment.runs == 6

        run_deployed(work)

    def test_request_that_crashes_workers_is_quarantined(self):
        async def work(deployment):
            for worker in deployment.workers.values():
                worker.script = ['reset' for _ in range(20)]
            for _ in range(6):
                await deployment.call('/look/poison')
            assert deployment.runs <= 4
            for worker in deployment.workers.values():
                worker.script = []
            answer = await deployment.call('/look/sound')
            assert answer.status_code == 200

        run_deployed(work, workers=3)


def count_invalid_answers() -> float:
    labels = {'service': 'front'}
    return REGISTRY.get_sample_value('cicadadoor_invalid_answers_total', labels) or 0


class TestRepeatedRefusals:
    """Check workers that send an earlier refusal again, before the next answer."""

    @pytest.mark.parametrize('refusal', ('shed', 'shed_with_id'))
    def test_request_that_ran_is_neither_called_not_run_nor_run_again(self, refusal):
        async def work(deployment):
            await _set_rate_limit(deployment, rate_per_s=1000, burst=1000)
            for worker in deployment.workers.values():
                worker.script = [refusal]
                worker.repeats_refusals = True
            answers = {}
            while deployment.runs < 4:
                attempt = f'unsafe-{len(answers)}'
                answers[attempt] = await deployment.call(
                    '/book/1', method='POST', Attempt_Id=attempt
                )
            runs = Counter(
                run.headers['attempt-id']
                for worker in deployment.workers.values()
                for run in worker.runs
            )
            assert max(runs.values()) == 1
            refused = {
                attempt
                for attempt, answer in answers.items()
                if answer.status_code == 503
            }
            assert not refused & set(runs)

        run_deployed(work, workers=2)

    @pytest.mark.parametrize('status', (421, 503))
    def test_refusal_of_another_request_does_not_state_that_this_one_has_not_run(
        self, status
    ):
        head_check = HeadCheck(
            read_request('POST', b'/', [(b'Attempt-Id', b'second')]),
            Backend(record_of('i-0'), 'muenchen'),
            read_response,
        )
        head_check.wants_body(
            status, [(b'Attempt-Id', b'first'), (b'Not-Executed', b'1')]
        )
        assert head_check.fault.kind is ErrorKind.ANSWER_INVALID
        assert head_check.fault.run is Executed.UNKNOWN


# At least the length of the head of a worker's answer.
_HEAD_BYTES = 150


class TestCutHeads:
    """Check workers that close the connection within the head of an answer."""

    def test_caller_gets_no_success(self):
        async def work(deployment):
            await _set_rate_limit(deployment, rate_per_s=1000, burst=1000)
            worker = deployment.workers['i-0']
            worker.script = [f'head_cut_at_{size}' for size in range(1, _HEAD_BYTES)]
            while worker.script:
                answer = await deployment.call('/look/1')
                assert answer.status_code >= 500

        run_deployed(work)


class TestHealth:
    """Check how invalid responses affect the health of a server."""

    @pytest.mark.parametrize('fault', ('foreign', 'noise', 'short'))
    def test_server_that_sends_invalid_answers_becomes_unreliable(self, fault):
        async def work(deployment):
            deployment.workers['i-0'].script = [fault, fault]
            count_before = count_invalid_answers()
            for _ in range(2):
                answer = await deployment.call('/book/1', method='POST')
                assert answer.status_code == 502
                assert answer.json()['run'] == 'unknown'
            backend = deployment.find('backends').find('i-0')
            now_s = deployment.find('timer').now_s()
            assert backend.health.is_unreliable(now_s)
            assert count_invalid_answers() - count_before == 2

        run_deployed(work)


class TestTimeouts:
    """Check time-outs and callers that disconnect."""

    def test_request_times_out_after_the_time_out_of_its_route(self):
        async def work(deployment):
            spec = configuration(2)
            for row in spec['routes']['rows']:
                row[4] = 300
            deployment.store.put('config', 'main', spec)
            policy = deployment.find('policy')
            await until(lambda: policy.current.version == 2)
            deployment.workers['i-0'].script = ['silent']
            answer = await deployment.call('/book/1', method='POST')
            assert answer.status_code == 504
            await until(lambda: deployment.workers['i-0'].cancelled == 1)

        run_deployed(work)

    def test_request_to_the_worker_is_cancelled_when_the_caller_disconnects(self):
        async def work(deployment):
            deployment.workers['i-0'].script = ['silent']
            with anyio.move_on_after(0.3):
                await deployment.call('/look/1')
            await until(lambda: deployment.workers['i-0'].cancelled == 1)

        run_deployed(work)


class TestConfiguration:
    """Check changes of the configuration and of server entries."""

    def test_withdrawn_key_is_refused_on_an_open_connection(self):
        async def work(deployment):
            assert (await deployment.call('/look/1')).status_code == 200
            spec = configuration(2)
            spec['tenants']['rows'][0][1] = ['key-2']
            deployment.store.put('config', 'main', spec)
            policy = deployment.find('policy')
            await until(lambda: policy.current.version == 2)
            assert (await deployment.call('/look/1')).status_code == 401
            assert (await deployment.call('/look/1', key='key-2')).status_code == 200

        run_deployed(work)

    def test_older_or_unreadable_configuration_changes_nothing(self):
        async def work(deployment):
            mirror = deployment.find('mirror')
            policy = deployment.find('policy')
            deployment.store.put('config', 'main', configuration(5))
            await until(lambda: policy.current.version == 5)
            for spec in (configuration(4, tenants=None), 'nonsense', None):
                stored = deployment.store.put('config', 'main', spec)
                revision = stored['metadata']['revision']
                await until(partial(_is_at, mirror, revision))
                assert policy.current.version == 5
                assert (await deployment.call('/look/1')).status_code == 200

        run_deployed(work)

    def test_unknown_key_is_refused_temporarily_while_the_configuration_is_stale(
        self,
    ):
        async def work(deployment):
            deployment.store.faults.outage = 'busy'
            deployment.store.cut_watches()
            policy = deployment.find('policy')
            await until(lambda: policy.age_s > 2.5)
            answer = await deployment.call('/look/1', key='new')
            assert answer.status_code == 503
            assert (await deployment.call('/look/1')).status_code == 200

        run_deployed(work)

    def test_evacuated_failure_domain_gets_no_requests(self):
        async def work(deployment):
            deployment.store.put('evacuations', 'muc-a', {})
            backends = deployment.find('backends')
            await until(
                lambda: not backends.usable('front', frozenset(), is_repeatable=True)
            )
            assert (await deployment.call('/look/1')).status_code == 503
            assert deployment.runs == 0

        run_deployed(work)

    def test_draining_worker_gets_no_requests(self):
        async def work(deployment):
            backends = deployment.find('backends')
            record = backends.of_service('front')[0].record
            draining = {'state': 'draining', 'seq': 2, 'cold_remaining_ms': 0}
            deployment.store.put(
                'servers',
                record.instance_id,
                worker_entry(record.address, status=draining),
            )
            await until(
                lambda: not backends.usable('front', frozenset(), is_repeatable=True)
            )
            assert (await deployment.call('/look/1')).status_code == 503

        run_deployed(work)


def _configuration_with_home_regions(region: str) -> dict:
    changed = configuration(9)
    changed['routes']['columns'].append('home_regions')
    for row in changed['routes']['rows']:
        row.append([region])
    return changed


class TestHosts:
    """Check several hosts that work together."""

    def test_directory_returns_all_live_hosts(self):
        async def work(deployment):
            expected = {str(settings.callers) for settings in deployment.hosts}

            async def resolve() -> set[str]:
                answer = await deployment.platform_call(
                    '/v1/resolve?name=site.example&region=muenchen&zone=muc-a'
                )
                return set(answer.json()['addresses'])

            with anyio.fail_after(20):
                while await resolve() != expected:
                    await anyio.sleep(0.1)

        run_deployed(work, hosts=3)

    def test_host_without_store_access_reads_from_another_host(self):
        async def work(deployment):
            membership = deployment.find('membership')
            await until(lambda: len(membership.live_heartbeats()) == 1)
            mirror = deployment.find('mirror')
            source = deployment.find('source')

            async def fail_to_read(*_arguments, **_options):
                await anyio.sleep(0.01)
                return Failure(ErrorKind.STORE_UNAVAILABLE, 'simulated outage')

            source.read = fail_to_read
            source.watch = fail_to_read
            deployment.store.cut_watches()
            await until(lambda: mirror.is_failing(Topic.POLICY))
            deployment.store.put('config', 'main', configuration(9))
            policy = deployment.find('policy')
            await until(lambda: policy.current.version == 9)
            assert mirror.is_failing(Topic.POLICY)

        run_deployed(work, hosts=2)

    def test_leaving_host_may_send_overlapping_heartbeats(self):
        """Heartbeats that overlap must not end open requests.

        SIGTERM may arrive while a heartbeat is being sent.
        """

        async def work(deployment):
            membership = deployment.find('membership')
            await until(lambda: len(membership.live_heartbeats()) == 1)
            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(membership._send_heartbeat)
                tasks.start_soon(membership.leave)

        run_deployed(work, hosts=2)

    def test_request_runs_only_in_its_home_regions(self):
        async def work(deployment):
            address = deployment.find('backends').find('i-1').record.address
            info = {'service': 'front', 'version': 'v1', 'zone': 'nue-a', 'slots': 8}
            deployment.store.put('servers', 'i-1', worker_entry(address, info=info))
            deployment.store.put(
                'config', 'main', _configuration_with_home_regions('nuernberg')
            )
            policy = deployment.find('policy')
            backends = deployment.find('backends')
            await until(lambda: policy.current.version == 9)
            await until(lambda: backends.find('i-1').region == 'nuernberg')
            for number in range(10):
                cookie = f'Affinity-Key={number}'
                answer = await deployment.call('/look/1', Cookie=cookie)
                assert answer.text == 'i-1'
            deployment.store.remove('servers', 'i-1')
            await until(lambda: backends.find('i-1') is None)
            assert (await deployment.call('/look/1')).status_code == 503

        run_deployed(work, workers=2)

    def test_host_with_stale_reads_gets_changes_from_its_domain_reader(self):
        async def work(deployment):
            membership = deployment.find('membership', 1)
            await until(lambda: len(membership.live_heartbeats()) == 1)
            mirror = deployment.find('mirror', 1)
            await until(lambda: mirror.may_be_stale)
            deployment.store.faults.stale_s = 60
            deployment.store.cut_watches()
            await anyio.sleep(0.3)
            deployment.store.put('evacuations', 'nue-a', {})
            await until(lambda: 'nue-a' in mirror.records(Topic.EVACUATIONS), 10)
            assert not deployment.find('mirror').may_be_stale

        run_deployed(work, hosts=2)

    def test_rate_limit_applies_to_all_hosts_together(self):
        async def work(deployment):
            await _set_rate_limit(deployment, rate_per_s=10, burst=10)
            statuses = []

            async def send(number: int) -> None:
                answer = await deployment.call('/look/1', host=number % 2)
                statuses.append(answer.status_code)

            async with anyio.create_task_group() as tasks:
                for number in range(120):
                    tasks.start_soon(send, number)
            assert set(statuses) == {200, 429}
            # All requests were sent within 5 s: (5 x rate + burst) x 1.1 + slack.
            assert deployment.runs <= (5 * 10 + 10) * 1.1 + 20

        # Enough workers for every admitted request, so that only the limit refuses.
        run_deployed(work, workers=4, hosts=2)

    def test_hosts_that_missed_each_other_at_the_start_do_not_each_take_the_limit(self):
        """If the store fails during startup, each host knows only itself.

        It would then admit the whole limit, as if it were the only host.
        """

        async def work(deployment):
            await _set_rate_limit(deployment, rate_per_s=10, burst=100)
            deployment.store.faults.hanging_watches = True
            for number in range(3):
                peers = deployment.find('membership', number).peers
                for peer in peers.all():
                    peers.forget(peer.record.host)

            async def send() -> None:
                for number in range(60):
                    await deployment.call('/look/1', host=number % 3)

            began_s = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                for _ in range(6):
                    tasks.start_soon(send)
            # The window is 5 s, or longer on a slow machine.
            window_s = max(5.0, anyio.current_time() - began_s)
            assert deployment.runs <= (window_s * 10 + 100) * 1.1 + 20

        run_deployed(work, workers=4, hosts=3)

    def test_host_that_does_not_find_itself_in_the_list_admits_no_limited_requests(
        self,
    ):
        """Hosts that all read the list before any of them was in it know no others."""

        async def work(deployment):
            await _set_rate_limit(deployment, rate_per_s=10, burst=100)
            for number in range(3):
                answer = await deployment.call('/look/1', host=number)
                assert answer.status_code == 503
                assert answer.headers['Retry-After']
            assert deployment.runs == 0
            deployment.store.faults.hidden_kinds = frozenset()
            hosts = [deployment.find('membership', number) for number in range(3)]
            await until(lambda: all(host.is_listed for host in hosts))
            assert [host.host_count for host in hosts] == [3, 3, 3]
            assert (await deployment.call('/look/1')).status_code == 200

        run_deployed(
            work,
            workers=2,
            hosts=3,
            faults=StoreFaults(hidden_kinds=frozenset(('cicadadoor-hosts',))),
        )

    def test_heartbeat_of_an_unlisted_host_makes_its_receiver_read_the_list(self):
        """The watch that would deliver the record of the new host may be silent."""

        async def work(deployment):
            deployment.store.faults.hanging_watches = True
            membership = deployment.find('membership')
            membership.peers.forget('host-1')
            deployment.store.calls.clear()
            await until(lambda: len(membership.peers.unlisted) == 1)
            assert membership.host_count == 2
            await until(
                lambda: 'GET /v1/objects/cicadadoor-hosts' in _reads(deployment)
            )

        run_deployed(work, hosts=2)


def _reads(deployment) -> list[str]:
    """Return the calls to the store that are not watches."""
    return [call for call in deployment.store.calls if 'watch=' not in call]


async def _set_rate_limit(deployment, *, rate_per_s: int, burst: int) -> None:
    """Set the organisation's rate limit, and wait until every host has applied it."""
    spec = configuration(2)
    spec['tenants']['rows'] = [['school', ['key-1'], 1, rate_per_s, burst]]
    deployment.store.put('config', 'main', spec)
    for number, _ in enumerate(deployment.hosts):
        policy = deployment.find('policy', number)
        await until(partial(_has_version, policy, 2))


def _has_version(policy, version: int) -> bool:
    return policy.current.version == version


def _is_at(mirror, revision: int) -> bool:
    return mirror.revision(Topic.POLICY) >= revision


class TestStalledServers:
    """Check backend servers that accept a request and do not answer."""

    def test_safe_request_moves_to_a_server_that_answers(self):
        async def work(deployment):
            for worker in deployment.workers.values():
                worker.script = ['silent']
            first = await deployment.call('/look/1')
            assert first.status_code in {200, 504}
            answer = await deployment.call('/look/1')
            assert answer.status_code == 200

        run_deployed(work, workers=3)

    def test_stalled_request_without_another_server_is_not_cancelled(self):
        async def work(deployment):
            deployment.workers['i-0'].work_s = 1.5
            answer = await deployment.call('/look/1')
            assert answer.status_code == 200
            assert deployment.runs == 1

        run_deployed(work)

    def test_stopping_host_does_not_cancel_a_stalled_request(self):
        async def work(deployment):
            for worker in deployment.workers.values():
                worker.work_s = 1.5
            deployment.find('state').is_leaving = True
            answer = await deployment.call('/look/1')
            assert answer.status_code == 200
            assert deployment.runs == 1

        run_deployed(work, workers=2)

    def test_server_is_not_cold_after_it_was_unreachable(self):
        async def work(deployment):
            backend = deployment.find('backends').of_service('front')[0]
            backend.health.note_unreachable(0.0, sent_s=-1.0)
            assert (await deployment.call('/look/1')).status_code == 200
            timer = deployment.find('timer')
            assert not backend.is_cold(timer.now_s())
            answers = [await deployment.call('/look/1') for _ in range(5)]
            assert {answer.status_code for answer in answers} == {200}

        run_deployed(work)
