"""Check guarantees by comparing the callers' records with the workers' runs."""

from collections import Counter
from collections.abc import Sequence
from http import HTTPStatus

from tests.soak.callers import CRASH_ATTEMPTS, FAULTY_ATTEMPTS, CallRecord
from tests.soak.fleet import BURST, RATE_PER_S, Departure, Run
from tests.soak.host_process import SoakProcess

_WINDOW_S = 5.0
_RATE_TOLERANCE = 1.1
_SLACK_RUNS = 20
# Attempts of a crashing request that may reach workers although they were sent later
# than this after it crashed the third worker.
_CRASHED_WORKERS = 3
_MAX_LATE_CRASHES = 3
_LATE_CRASH_S = 3.0
# A run that begins later than this after its caller's answer was held up by a
# partition. The event loop that records both may be late by some tenths of a second.
_ABANDONED_S = 1.0
# Nothing may be sent to a worker later than this after the store acknowledged that it
# has left.
_DRAIN_S = 2.5


def find_violations(
    records: list[CallRecord], runs: list[Run], scale: float = 1
) -> list[str]:
    """Return a line for each violated guarantee."""
    runs_by_attempt = Counter(run.attempt for run in runs)
    violations = [
        f'{each.attempt}: {each.violation}' for each in records if each.violation
    ]
    violations.extend(
        f'{each.attempt}: ran although it was answered {each.status}'
        for each in records
        if each.says_not_executed and runs_by_attempt[each.attempt]
    )
    violations.extend(
        f'{each.attempt}: unsigned {each.status} from the host itself'
        for each in records
        if each.status == HTTPStatus.INTERNAL_SERVER_ERROR and not each.is_signed
    )
    violations.extend(
        f'{attempt}: ran {count} times'
        for attempt, count in _unsafe_runs_by_attempt(runs).items()
        if count > 1
    )
    sent = {each.attempt for each in records}
    violations.extend(
        f'{run.attempt}: ran, but no caller sent it'
        for run in runs
        if run.attempt not in sent
    )
    violations.extend(
        f'{run.attempt}: ran for {run.organisation!r}, '
        f'key forwarded: {run.is_key_forwarded}'
        for run in runs
        if run.organisation != 'school' or run.is_key_forwarded
    )
    violations.extend(_late_crashes(records, runs))
    violations.extend(_runs_after_abandonment(records, runs))
    max_runs = max_runs_in_window(
        [run.at_s for run in runs if runs_by_attempt[run.attempt] == 1]
    )
    rated = (RATE_PER_S * _WINDOW_S + BURST) * scale
    bound = rated * _RATE_TOLERANCE + _SLACK_RUNS
    if max_runs > bound:
        violations.append(f'{max_runs} runs of the organisation within {_WINDOW_S} s')
    return violations


def _late_crashes(records: list[CallRecord], runs: list[Run]) -> list[str]:
    crashes = [run for run in runs if run.attempt.startswith(CRASH_ATTEMPTS)]
    third = sorted(run.at_s for run in crashes)[_CRASHED_WORKERS - 1 : _CRASHED_WORKERS]
    reached = {run.attempt for run in crashes}
    late = [
        each.attempt
        for each in records
        if third and each.attempt in reached and each.sent_s > third[0] + _LATE_CRASH_S
    ]
    if len(late) <= _MAX_LATE_CRASHES:
        return []
    return [f'{len(late)} late attempts of a crashing request reached workers']


def _runs_after_abandonment(records: list[CallRecord], runs: list[Run]) -> list[str]:
    answered_s = {each.attempt: each.answered_s for each in records}
    return [
        f'{run.attempt}: ran {run.at_s - answered_s[run.attempt]:.1f} s after its end'
        for run in runs
        if run.at_s > answered_s.get(run.attempt, run.at_s) + _ABANDONED_S
    ]


def find_late_runs(departures: list[Departure], runs: list[Run]) -> list[str]:
    """Return a line for each request that reached a worker after it had left."""
    return [
        f'{run.attempt}: ran {run.at_s - left.left_s:.1f} s after {run.worker} left'
        for left in departures
        for run in runs
        if run.worker == left.worker and left.left_s + _DRAIN_S < run.at_s < left.back_s
    ]


def find_lost_answers(
    records: list[CallRecord], runs: list[Run], processes: Sequence[SoakProcess]
) -> list[str]:
    """Return a line for each request that was passed on and got no answer.

    A host answers for a server that fails, so that only a fault of its own process
    excuses it.
    """
    ran = {run.attempt for run in runs}
    return [
        f'{each.attempt}: ran, and {processes[each.host].name} did not answer within '
        f'{each.answered_s - each.sent_s:.2f} s: {each.error}'
        for each in records
        if each.error
        and each.attempt in ran
        and not processes[each.host].is_disturbed(each.sent_s, each.answered_s)
    ]


def find_withheld_answers(records: list[CallRecord], runs: list[Run]) -> list[str]:
    """Return a line for each request whose server answered and whose caller failed.

    For runs without random faults only. A caller whose deadline has passed before its
    server answered is rightly told so.
    """
    answered_s: dict[str, float] = {}
    for run in runs:
        first_s = answered_s.get(run.attempt, run.answered_s)
        answered_s[run.attempt] = min(first_s, run.answered_s)
    failed = [
        each
        for each in records
        if each.status and each.status != HTTPStatus.OK and each.attempt in answered_s
    ]
    return [
        f'{each.attempt}: ran and was answered {each.status} after '
        f'{each.answered_s - each.sent_s:.2f} s, by its server after '
        f'{answered_s[each.attempt] - each.sent_s:.2f} s'
        for each in failed
        if not each.attempt.startswith(FAULTY_ATTEMPTS)
        and min(answered_s[each.attempt], each.answered_s) < each.deadline_s
    ]


def max_runs_in_window(times_s: list[float]) -> int:
    """Return the largest number of runs within any window of `_WINDOW_S`."""
    ordered = sorted(times_s)
    max_runs = 0
    start = 0
    for end, at_s in enumerate(ordered):
        while at_s - ordered[start] > _WINDOW_S:
            start += 1
        max_runs = max(max_runs, end - start + 1)
    return max_runs


def _unsafe_runs_by_attempt(runs: list[Run]) -> Counter[str]:
    return Counter(run.attempt for run in runs if run.method != 'GET')
