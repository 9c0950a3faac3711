"""Test requests that are still open when the host shuts down."""

import anyio
import pytest

from cicadadoor import kernel, open_requests
from cicadadoor.entry import server
from tests.utils.entry_hosts import host_settings, run_deployed
from tests.utils.waiting import until


class TestCancellation:
    """Check what is forwarded and answered once open requests are cancelled."""

    @pytest.mark.parametrize('method', ['GET', 'POST'])
    def test_request_that_arrives_after_cancellation_is_not_forwarded(self, method):
        """A persistent connection may deliver a request after the cancellation."""

        async def work(deployment):
            await deployment.call('/look/1')
            before = deployment.runs
            await deployment.find('server')._open.cancel_all()
            answer = await deployment.call('/look/1', method=method)
            assert deployment.runs == before
            assert answer.status_code == 503

        run_deployed(work)

    def test_worker_error_is_returned_when_its_retry_is_cancelled(self):
        """The first worker's error is returned, since the retry gets no answer."""

        async def work(deployment):
            answers: list = []
            script = ['fail', 'silent']
            for worker in deployment.workers.values():
                worker.script = script

            async def call() -> None:
                answers.append(await deployment.call('/look/1', deadline_ms=8000))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await until(lambda: deployment.runs == 2)
                deployment.stopping.set()
            assert answers[0].status_code == 500
            assert answers[0].headers['response-signature'] == 'signed'

        run_deployed(work, workers=2)


class TestStopDuration:
    """Check that a stop takes less time than the platform allows."""

    @pytest.mark.parametrize('kill_after_s', [1, 2, 4, 6, 12, 60])
    def test_stop_ends_before_the_process_is_killed(self, kill_after_s):
        """The time-outs for cancelled requests and connections are fixed."""
        settings = host_settings('host-0', '127.0.0.1:1')
        settings.kill_after_s = kill_after_s
        stop_s = (
            settings.leave_s
            + settings.grace_s
            + kernel._FLUSH_DELAY_S
            + open_requests._CANCEL_TIMEOUT_S
            + server._CLOSE_TIMEOUT_S
        )
        assert stop_s < kill_after_s

    @pytest.mark.parametrize('kill_after_s', [1, 6, 12, 60])
    def test_no_request_is_taken_late_in_a_long_stop(self, kill_after_s):
        """A request taken in the last seconds would be cut while it runs."""
        settings = host_settings('host-0', '127.0.0.1:1')
        settings.kill_after_s = kill_after_s
        assert settings.leave_s <= 3
        assert settings.grace_s > 0.4 * (settings.leave_s + settings.grace_s)
