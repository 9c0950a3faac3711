"""Test how long requests that crash backend servers are refused, and by which hosts."""

import math

import pytest

from cicadadoor.decisions.request_quarantine import (
    CRASHES_TO_REFUSE,
    CrashReport,
    RequestQuarantine,
    merge_reports,
)

REQUEST = 7
STEP_S = 2.0
MAX_LATE_RUNS = 3
MAX_REPORTS = 48
FIRST_PROBE_S = 60.0


class Host:
    """Hold the state of a host, which restarts without it."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.quarantine = RequestQuarantine(number)

    def restart(self) -> None:
        """Forget everything."""
        self.quarantine = RequestQuarantine(self.number)


class Fleet:
    """Let requests arrive at hosts that exchange reports at each step."""

    def __init__(self, host_count: int = 4) -> None:
        self.now_s = 1000.0
        self.hosts = [Host(number) for number in range(host_count)]
        self.run_times_s: list[float] = []
        self.is_crashing = True
        self.is_cut = False
        self._servers = 0

    def step(self, duration_s: float = STEP_S) -> None:
        """Advance the time, and exchange reports."""
        self.now_s += duration_s
        numbers = frozenset(host.number for host in self.hosts)
        for host in self.hosts:
            others = frozenset() if self.is_cut else numbers - {host.number}
            host.quarantine.update_hosts(others, self.now_s, may_probe=not self.is_cut)
            host.quarantine.expire(self.now_s)
        if not self.is_cut:
            self.exchange()

    def exchange(self) -> None:
        """Deliver a report of each host to all others."""
        reports = [host.quarantine.reports(self.now_s) for host in self.hosts]
        for receiver, host in enumerate(self.hosts):
            for sender, report in enumerate(reports):
                if sender != receiver:
                    host.quarantine.merge(report, self.now_s)

    def arrive(self, host: Host, fingerprint: int = REQUEST) -> bool:
        """Let a request arrive; return whether it reached a server."""
        quarantine = host.quarantine
        if quarantine.refuses(fingerprint, self.now_s):
            return False
        is_probe = quarantine.begin(fingerprint, self.now_s)
        self.run_times_s.append(self.now_s)
        if self.is_crashing:
            # A server is replaced by a new run of it.
            self._servers += 1
            quarantine.note_crash(fingerprint, self._servers, self.now_s)
        else:
            quarantine.note_response(fingerprint, self.now_s)
        if is_probe:
            quarantine.end_probe(fingerprint)
        return True

    def arrive_everywhere(self, length_s: float) -> int:
        """Let requests arrive at each host in turn; return how many reached servers."""
        before = len(self.run_times_s)
        for number in range(int(length_s / STEP_S)):
            self.arrive(self.hosts[number % len(self.hosts)])
            self.step()
        return len(self.run_times_s) - before


def quarantined_fleet(host_count: int = 4) -> Fleet:
    fleet = Fleet(host_count)
    fleet.step()
    assert fleet.arrive_everywhere(3 * STEP_S) == CRASHES_TO_REFUSE
    return fleet


class TestRetention:
    """Guard against a quarantine that its own success ends."""

    def test_request_that_keeps_arriving_stays_refused(self):
        """It was let through again 20 s after its last crash, and crashed servers."""
        fleet = quarantined_fleet()
        assert fleet.arrive_everywhere(300) <= MAX_LATE_RUNS

    def test_request_that_stops_arriving_is_forgotten(self):
        fleet = quarantined_fleet()
        for _ in range(40):
            fleet.step()
        assert fleet.arrive(fleet.hosts[0])
        assert fleet.hosts[1].quarantine.active_count == 0

    def test_hosts_do_not_renew_an_entry_for_each_other(self):
        """Reports that are adopted late would make the entry younger each time."""
        fleet = quarantined_fleet()
        for _ in range(80):
            reports = [host.quarantine.reports(fleet.now_s) for host in fleet.hosts]
            fleet.now_s += 1.0
            for number, host in enumerate(fleet.hosts):
                host.quarantine.merge(reports[number - 1], fleet.now_s)
                host.quarantine.expire(fleet.now_s)
        assert not any(host.quarantine.active_count for host in fleet.hosts)

    def test_refusal_at_one_host_renews_the_quarantine_at_all(self):
        fleet = quarantined_fleet()
        for _ in range(45):
            assert not fleet.arrive(fleet.hosts[0]) or fleet.now_s > 1060
            fleet.step()
        assert all(host.quarantine.active_count for host in fleet.hosts)


class TestProbes:
    """Guard against probes that crash more servers than the budget allows."""

    def test_interval_doubles_after_each_crash_up_to_an_hour(self):
        fleet = quarantined_fleet()
        fleet.arrive_everywhere(4 * 3600)
        gaps = [
            later - earlier
            for earlier, later in zip(
                fleet.run_times_s[2:], fleet.run_times_s[3:], strict=False
            )
        ]
        # A probe waits for the next request at the one host that may send it.
        slack_s = len(fleet.hosts) * STEP_S
        expected = [
            min(3600.0, FIRST_PROBE_S * 2**number) for number in range(len(gaps))
        ]
        assert len(gaps) >= 7
        for gap_s, expected_s in zip(gaps, expected, strict=True):
            assert expected_s <= gap_s <= expected_s + slack_s

    def test_answered_probe_ends_the_quarantine_everywhere(self):
        fleet = quarantined_fleet()
        fleet.is_crashing = False
        fleet.arrive_everywhere(FIRST_PROBE_S + 5 * STEP_S)
        assert not any(host.quarantine.active_count for host in fleet.hosts)
        assert all(fleet.arrive(host) for host in fleet.hosts)

    def test_one_probe_at_a_time(self):
        fleet = quarantined_fleet()
        for _ in range(31):
            fleet.arrive(fleet.hosts[0])
            fleet.step()
        probing = [
            host
            for host in fleet.hosts
            if not host.quarantine.refuses(REQUEST, fleet.now_s)
        ]
        assert len(probing) <= 1
        for host in probing:
            assert host.quarantine.begin(REQUEST, fleet.now_s)
            assert host.quarantine.refuses(REQUEST, fleet.now_s)

    def test_probe_without_an_outcome_is_not_repeated_before_the_interval(self):
        alone = RequestQuarantine(1)
        alone.update_hosts(frozenset(), 0, may_probe=True)
        for run in range(CRASHES_TO_REFUSE):
            alone.note_crash(REQUEST, run, 100.0)
        assert alone.refuses(REQUEST, 150.0)
        assert not alone.refuses(REQUEST, 160.0)
        assert alone.begin(REQUEST, 160.0)
        alone.end_probe(REQUEST)
        assert alone.refuses(REQUEST, 161.0)
        assert alone.refuses(REQUEST, 219.0)
        assert not alone.refuses(REQUEST, 220.0)

    def test_hosts_out_of_touch_do_not_probe(self):
        """Each side of a partition would otherwise send its own probe."""
        fleet = quarantined_fleet()
        fleet.is_cut = True
        assert fleet.arrive_everywhere(600) == 0

    def test_host_that_has_just_come_back_into_touch_does_not_probe(self):
        fleet = quarantined_fleet()
        fleet.is_cut = True
        fleet.arrive_everywhere(100)
        fleet.is_cut = False
        fleet.step()
        assert not any(fleet.arrive(host) for host in fleet.hosts)


class TestRestarts:
    """Guard against counts that a restart erases."""

    @pytest.mark.parametrize('restarted', (1, 2))
    def test_quarantine_survives_through_the_other_hosts(self, restarted):
        fleet = quarantined_fleet()
        for host in fleet.hosts[:restarted]:
            host.restart()
        fleet.step(0.25)
        assert fleet.arrive_everywhere(60) <= 1
        assert all(host.quarantine.active_count for host in fleet.hosts)

    def test_rolling_restarts_do_not_bring_the_next_probe_forward(self):
        fleet = quarantined_fleet()
        for number in range(25):
            fleet.hosts[number % len(fleet.hosts)].restart()
            fleet.step()
            for host in fleet.hosts:
                assert not fleet.arrive(host)

    def test_crashes_that_another_host_saw_are_passed_on(self):
        first, second, third = (RequestQuarantine(number) for number in range(3))
        first.note_crash(REQUEST, 1, 10.0)
        second.merge(first.reports(11.0), 11.0)
        third.merge(second.reports(12.0), 12.0)
        assert third.crash_count(REQUEST) == 1


# Crashes as pairs of a server run and whether an answer follows, and whether the
# request must be refused afterwards.
_CASES = (
    ('one server that resets', [(1, False) for _ in range(20)], False),
    (
        'two servers that reset',
        [(1 + number % 2, False) for number in range(20)],
        False,
    ),
    ('each server crashes', [(1, False), (2, False), (3, False)], True),
    (
        'one server crashes after each restart',
        [(1, False), (11, False), (21, False)],
        True,
    ),
    ('answers between the crashes', [(1, True), (2, True), (3, True)], False),
    ('an answer before the third', [(1, False), (2, True), (3, False)], False),
)


class TestWhatCountsAsACrash:
    """Guard against both faults: resets that hold requests back, and missed crashes.

    Seed 305 of the soak test had a single server that reset its connections.
    """

    @pytest.mark.parametrize('spread', (1, 3))
    @pytest.mark.parametrize(
        ('crashes', 'is_refused'),
        [case[1:] for case in _CASES],
        ids=[case[0] for case in _CASES],
    )
    def test_request_is_refused_only_if_several_servers_crashed(
        self, crashes, is_refused, spread
    ):
        fleet = Fleet()
        for number, (run, is_answered) in enumerate(crashes):
            fleet.step(0.25)
            quarantine = fleet.hosts[number % spread].quarantine
            quarantine.note_crash(REQUEST, run, fleet.now_s)
            if is_answered:
                quarantine.note_response(REQUEST, fleet.now_s)
        fleet.step(0.25)
        for host in fleet.hosts:
            assert host.quarantine.refuses(REQUEST, fleet.now_s) == is_refused

    def test_connections_that_break_together_count_as_one_crash(self):
        """A reset of all connections held back each request that was often sent."""
        quarantine = RequestQuarantine(1)
        for run in range(20):
            quarantine.note_crash(REQUEST, run, 10.0 + run / 1000, sent_s=9.5)
        assert quarantine.crash_count(REQUEST) == 1

    def test_repetitions_of_one_request_that_crash_servers_count_each(self):
        """A repetition is sent after the crash and may crash its server at once."""
        quarantine = RequestQuarantine(1)
        for run in range(CRASHES_TO_REFUSE):
            now_s = 10.0 + run / 1000
            quarantine.note_crash(REQUEST, run, now_s, sent_s=now_s)
        assert quarantine.refuses(REQUEST, 11.0)

    def test_many_copies_that_crash_servers_are_refused(self):
        quarantine = RequestQuarantine(1)
        for run in range(20):
            now_s = 10.0 + run / 50
            quarantine.note_crash(REQUEST, run, now_s, sent_s=9.5)
        assert quarantine.refuses(REQUEST, 11.0)


class TestBounds:
    """Guard against a flood of crashing requests that displaces a quarantine."""

    def test_flood_evicts_no_worse_request(self):
        fleet = quarantined_fleet()
        quarantine = fleet.hosts[0].quarantine
        for fingerprint in range(1000, 3000):
            quarantine.note_crash(fingerprint, fingerprint, fleet.now_s + 1)
        assert quarantine.refuses(REQUEST, fleet.now_s + 2)
        assert len(quarantine._entries) <= 256

    def test_flood_of_quarantines_evicts_none_with_failed_probes(self):
        quarantine = RequestQuarantine(1)
        quarantine.merge({REQUEST: CrashReport(0, 1, frozenset((1, 2, 3)), 0, 0)}, 0)
        for fingerprint in range(1000, 2000):
            for run in range(CRASHES_TO_REFUSE):
                quarantine.note_crash(fingerprint, run, 1.0)
        assert quarantine.refuses(REQUEST, 2.0)

    def test_report_is_bounded_and_holds_the_worst_each_time(self):
        quarantine = RequestQuarantine(1)
        for run in range(CRASHES_TO_REFUSE):
            quarantine.note_crash(REQUEST, run, 0)
        for fingerprint in range(1000, 1200):
            quarantine.note_crash(fingerprint, 1, 1.0)
        seen = set()
        for _ in range(20):
            reports = quarantine.reports(2.0)
            assert len(reports) <= MAX_REPORTS
            assert REQUEST in reports
            seen.update(reports)
        assert len(seen) == 201

    def test_runs_of_one_request_are_bounded_alike_on_all_hosts(self):
        first, second = RequestQuarantine(1), RequestQuarantine(2)
        for run in range(50):
            first.note_crash(REQUEST, run, 0)
            second.note_crash(REQUEST, 49 - run, 0)
        assert first.reports(0)[REQUEST].runs == second.reports(0)[REQUEST].runs

    def test_summary_of_a_domain_is_bounded(self):
        by_host = []
        for host in range(16):
            quarantine = RequestQuarantine(host)
            for number in range(40):
                quarantine.note_crash(100 * host + number, 1, 0)
            by_host.append(quarantine.reports(0))
        assert len(merge_reports(by_host)) <= MAX_REPORTS

    @pytest.mark.parametrize('age_s', (-1.0, 61.0, math.nan, math.inf, -math.inf))
    def test_report_with_an_impossible_age_is_ignored(self, age_s):
        quarantine = RequestQuarantine(1)
        quarantine.merge({REQUEST: CrashReport(0, 0, frozenset((1, 2, 3)), age_s)}, 0)
        assert not quarantine.refuses(REQUEST, 0)


class TestChanges:
    """Guard against quarantines that start or end without a log line."""

    def test_each_start_and_end_is_told_once(self):
        fleet = quarantined_fleet()
        fleet.is_crashing = False
        fleet.arrive_everywhere(FIRST_PROBE_S + 10 * STEP_S)
        for host in fleet.hosts:
            reasons = [each.reason for each in host.quarantine.take_changes()]
            assert reasons[0] == ''
            assert reasons[1].startswith('answered')
            assert len(reasons) == 2
