"""Test that a status outside 100..599, and a protocol switch, reach no caller."""

import pytest

from tests.utils.entry_hosts import run_deployed

# HTTP parsers reject those below 100 and accept those from 600 on.
STATUSES = ('000', '001', '099', '101', '600', '777', '999')


class TestEntryHosts:
    """Guard against an invalid status that an entry host passes on."""

    @pytest.mark.parametrize(
        'fault', (*(f'status_{status}' for status in STATUSES), 'signed_interim')
    )
    def test_caller_is_told_that_the_answer_was_invalid(self, fault):
        async def work(deployment):
            deployment.workers['i-0'].script = [fault]
            answer = await deployment.call('/book/1', method='POST')
            assert answer.status_code == 502
            assert answer.json() == {'error': 'answer_invalid', 'run': 'unknown'}
            assert deployment.runs == 1

        run_deployed(work)

    @pytest.mark.parametrize('status', STATUSES)
    def test_safe_requests_are_served_by_the_other_worker(self, status):
        """Fails if the answers are passed on."""

        async def work(deployment):
            bad = deployment.workers['i-0']
            bad.script = [f'status_{status}' for _ in range(20)]
            for number in range(10):
                answer = await deployment.call(
                    '/look/1', Cookie=f'Affinity-Key={number}'
                )
                assert answer.status_code == 200
                assert answer.content == b'i-1'
            assert bad.arrivals

        run_deployed(work, workers=2)
