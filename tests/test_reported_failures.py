"""Test how hosts act on the failures of backend servers that other hosts report."""

import anyio

from tests.utils.entry_hosts import run_deployed
from tests.utils.waiting import until


class TestReportedFailures:
    """Check that a server stays in use for requests that may run only once."""

    def test_requests_are_not_refused_because_one_timed_out_at_another_host(self):
        async def work(deployment):
            deployment.workers['i-0'].script = ['silent']
            first = await deployment.call('/book/1', method='POST', deadline_ms=500)
            assert first.status_code == 504
            for _ in range(8):
                await anyio.sleep(0.25)
                for host in (1, 2):
                    answer = await deployment.call('/book/1', method='POST', host=host)
                    assert answer.status_code == 200

        run_deployed(work, hosts=3)

    def test_reported_failure_does_not_keep_a_server_out_for_good(self):
        """Hosts that send few requests may get no answer that shows its recovery."""

        async def work(deployment):
            now_s = deployment.find('timer').now_s()
            deployment.find('backends').find('i-0').health.note_refused(now_s)
            other = deployment.find('backends', host=1)
            server = other.find('i-0')

            def is_usable() -> bool:
                return other.is_usable(server, frozenset(), is_repeatable=False)

            await until(lambda: not is_usable())
            await until(is_usable)
            answer = await deployment.call('/book/1', method='POST', host=1)
            assert answer.status_code == 200

        run_deployed(work, hosts=2)
