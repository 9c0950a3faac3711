"""Check guarantees by comparing the callers' records with the workers' runs."""

from collections import Counter
from http import HTTPStatus

from tests.soak.callers import CallRecord
from tests.soak.fleet import BURST, RATE_PER_S, Run

_WINDOW_S = 5.0
_OVERRUN = 1.1
_SLACK = 20


def find_faults(records: list[CallRecord], runs: list[Run]) -> list[str]:
    """Return a line for each violated guarantee."""
    by_attempt = Counter(run.attempt for run in runs)
    faults = [f'{each.attempt}: {each.fault}' for each in records if each.fault]
    faults.extend(
        f'{each.attempt}: answered {each.status} and ran'
        for each in records
        if each.says_not_executed and by_attempt[each.attempt]
    )
    faults.extend(
        f'{each.attempt}: answered {each.status} by the host itself'
        for each in records
        if each.status == HTTPStatus.INTERNAL_SERVER_ERROR and not each.is_signed
    )
    faults.extend(
        f'{attempt}: ran {count} times'
        for attempt, count in _unsafe_counts(runs).items()
        if count > 1
    )
    sent = {each.attempt for each in records}
    faults.extend(
        f'{run.attempt}: no caller sent it' for run in runs if run.attempt not in sent
    )
    faults.extend(
        f'{run.attempt}: ran for {run.organisation!r}, key passed: {run.key_was_passed}'
        for run in runs
        if run.organisation != 'school' or run.key_was_passed
    )
    worst = max_runs_in_window(
        [run.at_s for run in runs if by_attempt[run.attempt] == 1]
    )
    bound = (RATE_PER_S * _WINDOW_S + BURST) * _OVERRUN + _SLACK
    if worst > bound:
        faults.append(f'{worst} runs of the organisation within {_WINDOW_S} s')
    return faults


def max_runs_in_window(times_s: list[float]) -> int:
    """Return the largest number of runs within any window of `_WINDOW_S`."""
    ordered = sorted(times_s)
    worst = 0
    start = 0
    for end, at_s in enumerate(ordered):
        while at_s - ordered[start] > _WINDOW_S:
            start += 1
        worst = max(worst, end - start + 1)
    return worst


def _unsafe_counts(runs: list[Run]) -> Counter[str]:
    return Counter(run.attempt for run in runs if run.method != 'GET')
