"""Test the answers to requests that are in flight when a host stops."""

from functools import partial

import anyio
import httpx
import pytest

from cicadadoor.entry.model import Topic
from tests.utils.entry_hosts import Deployment, run_deployed
from tests.utils.logs import captured_logs
from tests.utils.metadata_store import configuration
from tests.utils.waiting import until


async def _call_and_stop(
    deployment: Deployment,
    method: str = 'GET',
) -> httpx.Response:
    """Stop the host once a worker has received the request; return the answer."""
    worker = deployment.workers['i-0']
    worker.script = ['silent']
    answers: list = []

    async def call() -> None:
        answers.append(await deployment.call('/look/1', method=method))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(call)
        await until(lambda: worker.runs)
        deployment.stopping.set()
    return answers[0]


class TestEndOfGracePeriod:
    """Check what answers say about execution when the grace period ends."""

    @pytest.mark.parametrize('method', ['GET', 'POST'])
    def test_request_cut_by_the_stop_gets_run_unknown(self, method):
        async def work(deployment):
            answer = await _call_and_stop(deployment, method)
            assert answer.status_code == 504
            assert answer.json()['run'] == 'unknown'
            assert answer.headers['connection'] == 'close'

        run_deployed(work)

    def test_request_whose_first_attempt_may_have_run_does_not_get_run_no(
        self, monkeypatch
    ):
        """The first attempt may have run although the second one did not."""

        async def work(deployment):
            script = ['reset', 'shed']
            for worker in deployment.workers.values():
                worker.script = script
            placement = deployment.find('placement')
            select_server = placement.select_server
            is_waiting = anyio.Event()

            async def select_twice(routed):
                if len(routed.tried) < 2:
                    return await select_server(routed)
                is_waiting.set()
                return await anyio.sleep_forever()

            monkeypatch.setattr(placement, 'select_server', select_twice)
            monkeypatch.setattr(
                deployment.find('dispatcher'), '_may_retry', lambda *_: True
            )
            answers: list = []

            async def call() -> None:
                answers.append(await deployment.call('/look/1', deadline_ms=9000))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await is_waiting.wait()
                deployment.stopping.set()
            assert answers[0].status_code == 504

        run_deployed(work, workers=2)

    def test_log_of_a_request_cut_by_the_stop_does_not_say_that_the_caller_left(self):
        async def work(deployment, lines):
            await _call_and_stop(deployment)
            failed = [line for line in lines if 'event=request_failed' in line]
            assert len(failed) == 1
            assert 'outcome=cut_by_stop' in failed[0]
            assert 'caller left' not in failed[0]

        with captured_logs() as lines:
            run_deployed(partial(work, lines=lines))

    def test_request_that_was_not_sent_gets_run_no(self):
        """It waits while another request loads its object into the worker's cache."""

        async def work(deployment):
            worker = deployment.workers['i-0']
            worker.script = ['silent']
            answers: list = []

            async def call() -> None:
                cookie = {'cookie': 'Affinity-Key=7'}
                answers.append(await deployment.call('/look/1', **cookie))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await until(lambda: worker.runs)
                tasks.start_soon(call)
                await until(lambda: deployment.find('server').work_left() == 2)
                await anyio.sleep(0.1)
                deployment.stopping.set()
            statuses = sorted(answer.status_code for answer in answers)
            assert statuses == [503, 504]
            refused = min(answers, key=lambda answer: answer.status_code)
            assert refused.json()['run'] == 'no'
            assert 'retry-after' in refused.headers

        run_deployed(work)

    def test_steps_after_the_grace_period_share_their_time(self, monkeypatch):
        """Beside clients that take nothing, the process would end after SIGKILL."""

        async def work(deployment):
            server = deployment.find('server')
            timeouts_s: list[float] = []

            async def close(timeout_s: float) -> None:
                timeouts_s.append(timeout_s)

            with monkeypatch.context() as patch, server._open.track():
                patch.setattr(server._server, 'close', close)
                await server.stop(1)
            assert len(timeouts_s) == 1
            assert timeouts_s[0] < 0.1

        run_deployed(work)


class TestBackgroundTaskErrors:
    """Check that errors in background tasks do not affect requests."""

    def test_store_watch_error_does_not_abort_requests(self, monkeypatch):
        """The host must also continue to follow the store."""

        async def work(deployment):
            source = deployment.find('source')
            policy = deployment.find('policy')
            worker = deployment.workers['i-0']
            worker.work_s = 0.5
            answers: list = []

            watch = source.watch

            async def fail(topic, *arguments, **options) -> None:
                if topic is not Topic.POLICY:
                    return await watch(topic, *arguments, **options)
                monkeypatch.undo()
                raise RuntimeError('simulated reader error')

            async def call() -> None:
                answers.append(await deployment.call('/look/1'))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await until(lambda: worker.runs)
                monkeypatch.setattr(source, 'watch', fail)
                deployment.store.put('config', 'main', configuration(9))
            assert [answer.status_code for answer in answers] == [200]
            deployment.store.put('config', 'main', configuration(11))
            await until(lambda: policy.current.version == 11)

        run_deployed(work)

    def test_error_in_one_mirror_subscriber_does_not_affect_others(self):
        async def work(deployment):
            def fail(topic) -> None:
                raise RuntimeError('simulated subscriber error')

            notified: list = []
            mirror = deployment.find('mirror')
            mirror._subscribers.insert(0, fail)
            mirror.subscribe(notified.append)
            notified.clear()
            deployment.store.put('config', 'main', configuration(9))
            await until(lambda: notified)
            assert (await deployment.call('/look/1')).status_code == 200

        run_deployed(work)

    def test_error_outside_of_the_attempts_is_logged_with_the_request_id(
        self, monkeypatch
    ):
        """The HTTP library answers with status 500 and does not log the error."""

        async def work(deployment):
            def fail(*arguments) -> None:
                raise RuntimeError('simulated admission error')

            with monkeypatch.context() as patch:
                patch.setattr(deployment.find('admission'), 'admit', fail)
                answer = await deployment.call('/look/1')
            assert answer.status_code == 500
            assert answer.json()['run'] == 'no'

        with captured_logs() as lines:
            run_deployed(work)
        faults = [line for line in lines if 'event=request_fault' in line]
        assert len(faults) == 1
        assert 'request_id=attempt-1' in faults[0]
        assert 'simulated admission error' in faults[0]

    def test_error_in_one_heartbeat_part_does_not_stop_the_heartbeats(
        self, monkeypatch
    ):
        """A host that sends no heartbeats is considered gone by all others."""

        async def work(deployment):
            def fail(*arguments) -> None:
                raise RuntimeError('simulated error of a heartbeat part')

            quotas = deployment.find('quotas')
            for method in ('add_fields', 'on_heartbeats', 'on_tick'):
                monkeypatch.setattr(quotas, method, fail)
            other = deployment.find('membership', host=1)
            name = deployment.hosts[0].host
            await until(lambda: _heartbeat_number(other, name) > 0)
            before = _heartbeat_number(other, name)
            await until(lambda: _heartbeat_number(other, name) > before + 2)

        run_deployed(work, hosts=2)


def _heartbeat_number(membership, host: str) -> int:
    heartbeats = [
        heartbeat
        for heartbeat in membership.live_heartbeats()
        if heartbeat.host == host
    ]
    return heartbeats[0].number if heartbeats else 0
