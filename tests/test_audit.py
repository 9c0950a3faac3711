"""Check that the audit of demo and scenarios detects each kind of violation."""

import pytest

from tests.demo import WITHDRAWAL_LIMIT_S, WITHDRAWN, DemoResult
from tests.utils.backend_server import Execution
from tests.utils.load import Audit, Outcome, OutcomeKind


def _execution(target: str) -> Execution:
    return Execution(
        server='kb-1',
        request_id='',
        organisation='',
        idempotency_key='',
        method='POST',
        target=target,
        headers={},
        body='',
    )


class TestAudit:
    """Guard against an audit that passes despite violations."""

    @pytest.mark.parametrize(
        ('kind', 'targets', 'expected'),
        (
            (
                OutcomeKind.SERVED,
                ['/enrol/a'],
                'lost=0 doubled=0 withdrawn_served=0 exit=0',
            ),
            (OutcomeKind.SERVED, [], 'lost=1 doubled=0 withdrawn_served=0 exit=1'),
            (
                OutcomeKind.NO_ANSWER,
                ['/enrol/a'],
                'lost=1 doubled=0 withdrawn_served=0 exit=1',
            ),
            (
                OutcomeKind.SERVED,
                ['/enrol/a?', '/enrol/a?'],
                'lost=0 doubled=1 withdrawn_served=0 exit=1',
            ),
            (
                OutcomeKind.SERVED,
                ['/timetable/a', '/timetable/a'],
                'lost=0 doubled=0 withdrawn_served=0 exit=0',
            ),
        ),
    )
    def test_lost_and_doubled_requests_are_counted(self, kind, targets, expected):
        """A lost answer, a lost run and a second run each fail the demo."""
        outcome = Outcome('a', 'handwerkskammer', kind, '', '')
        audit = Audit([outcome], [_execution(target) for target in targets])
        assert DemoResult(audit, 0, {}).line().endswith(expected)

    def test_use_of_a_withdrawn_key_is_counted_after_the_limit(self):
        """A withdrawn key may still be served until the limit, not afterwards."""
        early = Outcome('a', WITHDRAWN, OutcomeKind.SERVED, '', '')
        late = Outcome('b', WITHDRAWN, OutcomeKind.SERVED, '', '')
        late.ended_s = early.ended_s + WITHDRAWAL_LIMIT_S + 1
        ran = [_execution('/enrol/a'), _execution('/enrol/b')]
        demo_result = DemoResult(Audit([early, late], ran), early.ended_s, {})
        assert demo_result.withdrawn_served == [late]

    def test_refusal_of_a_request_that_ran_is_found(self):
        """A refusal guarantees that the request has not run."""
        outcome = Outcome('a', 'handwerkskammer', OutcomeKind.REFUSED, '', '')
        audit = Audit([outcome], [_execution('/timetable/a')])
        assert audit.run_but_refused() == [outcome]

    def test_stop_with_work_left_fails_the_demo(self):
        """A process that does not stop gracefully must fail the demo."""
        demo_result = DemoResult(Audit([], []), 0, {'muenchen-1-0-gate': 8})
        assert demo_result.exit_status() == 1
