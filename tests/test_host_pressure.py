"""Test that hosts which are short of memory get fewer callers."""

import random

import pytest

from cicadadoor.decisions.host_pressure import PressureGauge, thin_out
from cicadadoor.decisions.memory_account import Owner
from cicadadoor.entry.heartbeats import name_hash, pressed_hosts, summarise
from cicadadoor.entry.model import Topic
from cicadadoor.telemetry import metrics
from tests.utils.entry_hosts import run_deployed
from tests.utils.heartbeats import heartbeat_of
from tests.utils.waiting import until

HOSTS = ('a', 'b', 'c', 'd')


class TestGauge:
    """Guard against pressure that ends before a caller has seen it, or never."""

    def test_pressure_begins_and_ends_at_different_levels(self):
        gauge = PressureGauge()
        assert not gauge.update(0.7, 0.0)
        assert gauge.update(0.8, 1.0)
        assert gauge.update(0.6, 9.0)
        assert not gauge.update(0.4, 12.0)
        assert not gauge.update(0.7, 13.0)

    def test_pressure_outlasts_its_cause(self):
        gauge = PressureGauge()
        assert gauge.update(0.9, 1.0)
        assert gauge.update(0.1, 2.9)
        assert not gauge.update(0.1, 3.1)


class TestThinning:
    """Guard against a host under pressure that keeps its callers, or gets none."""

    def _count(self, pressed: str) -> dict[str, int]:
        draw = random.Random(1).random
        answers = [thin_out(HOSTS, pressed.__contains__, draw) for _ in range(1000)]
        return {host: sum(host in each for each in answers) for host in HOSTS}

    def test_host_under_pressure_is_named_in_a_quarter_of_the_answers(self):
        counts = self._count('b')
        assert 200 < counts.pop('b') < 300
        assert set(counts.values()) == {1000}

    @pytest.mark.parametrize('pressed', ('', 'abc', 'abcd'))
    def test_all_hosts_are_named_if_most_are_under_pressure(self, pressed):
        assert set(self._count(pressed).values()) == {1000}


class TestReports:
    """Check how the other hosts learn of it."""

    def test_heartbeats_report_their_senders(self):
        heartbeats = [heartbeat_of('b', is_pressed=True), heartbeat_of('c')]
        assert pressed_hosts(heartbeats) == {name_hash('b')}

    def test_summary_reports_the_hosts_of_its_domain(self):
        summary = summarise(heartbeat_of('c'), [heartbeat_of('d', is_pressed=True)])
        assert summary.pressed == {name_hash('d')}
        assert pressed_hosts([heartbeat_of('b'), summary]) == {name_hash('d')}

    def test_reporter_under_pressure_is_in_its_own_summary(self):
        summary = summarise(heartbeat_of('c', is_pressed=True), [heartbeat_of('d')])
        assert summary.pressed == {name_hash('c')}


class TestHosts:
    """Check two running hosts, one of which is short of memory."""

    def test_pressure_reaches_the_directory_of_the_other_host(self):
        async def work(deployment) -> None:
            account = deployment.find('state', 1).account
            reservation = account.open('body', Owner('127.0.0.2'))
            assert reservation.grow(int(account.limit_bytes * 0.8))
            own, other = (deployment.find('pressure', host) for host in (1, 0))
            await until(lambda: own.is_pressed('host-1'))
            await until(lambda: other.is_pressed('host-1'))
            assert not own.is_pressed('host-0')
            assert not other.is_pressed('host-0')
            directory = deployment.find('directory', 0)
            sizes = [
                len(directory.look_up('muenchen', '').addresses) for _ in range(200)
            ]
            assert set(sizes) == {1, 2}
            assert sizes.count(1) > sizes.count(2)
            reservation.release()
            await until(lambda: not other.is_pressed('host-1'))

        run_deployed(work, hosts=2)

    def test_snapshot_is_not_requested_without_memory_for_it(self):
        refused = metrics.REFUSED_HOLDINGS.labels('peers')._value

        async def work(deployment) -> None:
            account = deployment.find('state').account
            reservation = account.open('body', Owner('127.0.0.2'))
            assert reservation.grow(int(account.limit_bytes * 0.899))
            exchange = deployment.find('neighbours')
            before = refused.get()
            await exchange._fetch_snapshot(Topic.POLICY, 'host-1')
            assert refused.get() == before + 1
            reservation.release()
            await exchange._fetch_snapshot(Topic.POLICY, 'host-1')
            assert refused.get() == before + 1
            assert account.held_by_kind()['peers'] == 0

        run_deployed(work, hosts=2)
