"""Check requests that meet the very end of a host."""

import pytest

from tests.utils.entry_hosts import run_deployed


class TestCut:
    """Guard what is sent, and answered, once requests are cut."""

    @pytest.mark.parametrize('method', ['GET', 'POST'])
    def test_request_that_arrives_after_the_cut_is_not_passed_on(self, method):
        """A kept connection takes it before the cancellation is noticed."""

        async def work(deployment):
            await deployment.call('/look/1')
            before = deployment.runs
            await deployment.find('server')._open.cut()
            answer = await deployment.call('/look/1', method=method)
            assert deployment.runs == before
            assert answer.status_code == 503

        run_deployed(work)
