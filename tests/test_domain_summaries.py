"""Test which hosts exchange heartbeats, and the summaries of failure domains."""

from functools import partial

import pytest

from cicadadoor.decisions.domain_summaries import (
    MAX_DIRECT_HOSTS,
    contacts,
    reporters,
    smallest_ages,
    sum_counts,
    sum_rates,
    uses_summaries,
)
from cicadadoor.entry.heartbeats import name_hash, summarise
from cicadadoor.entry.model import HostRecord
from cicadadoor.entry.peers import PeerTable
from tests.utils.entry_hosts import run_deployed
from tests.utils.heartbeats import heartbeat_of
from tests.utils.metadata_store import configuration
from tests.utils.waiting import until

DOMAINS = ('muc-a', 'muc-b', 'nue-a')
REGIONS = {'muc-a': 'muenchen', 'muc-b': 'muenchen', 'nue-a': 'nuernberg'}
HOSTS_PER_DOMAIN = 12


def host_name(domain: str, number: int) -> str:
    return f'{domain}-{number:02}'


def record_of(domain: str, number: int) -> HostRecord:
    host = host_name(domain, number)
    return HostRecord(
        host=host,
        instance=f'{host}-1',
        callers=f'{host}:80',
        peers=f'{host}:7200',
        failure_domain=domain,
        region=REGIONS[domain],
    )


def summary_of(domain: str, members: range, *, reporter: int = 0, **fields: object):
    """Return the summary of a reporter that hears some of its domain's hosts."""
    own = heartbeat_of(host_name(domain, reporter), **fields)
    return summarise(own, [heartbeat_of(host_name(domain, each)) for each in members])


@pytest.fixture
def table() -> PeerTable:
    """Return the table of a host of muc-a in a fleet that uses summaries."""
    peers = PeerTable('muenchen', 'muc-a')
    records = [
        record_of(domain, number)
        for domain in DOMAINS
        for number in range(HOSTS_PER_DOMAIN)
    ]
    peers.update_records({each.host: each for each in records[1:]}, 100.0)
    return peers


class TestRoles:
    """Check which hosts send to which others."""

    def test_small_fleets_do_not_use_summaries(self):
        assert not uses_summaries(MAX_DIRECT_HOSTS)
        assert uses_summaries(MAX_DIRECT_HOSTS + 1)

    def test_two_hosts_report_for_a_domain(self):
        assert reporters(['c', 'a', 'b']) == ['a', 'b']
        assert reporters(['c']) == ['c']

    def test_live_reporters_are_contacted(self):
        assert contacts(['d', 'c'], ['a', 'b', 'c', 'd'], 0) == ['c', 'd']

    def test_each_listed_host_is_tried_while_none_is_known_to_live(self):
        """The hosts with the lowest names may have been stopped for good."""
        listed = ['a', 'b', 'c', 'd', 'e']
        tried = {host for attempt in range(3) for host in contacts([], listed, attempt)}
        assert tried == set(listed)


class TestSums:
    """Check the sums over the hosts of a failure domain."""

    def test_counts_and_rates_are_added(self):
        assert sum_counts([{1: 2, 2: 1}, {1: 3}]) == {1: 5, 2: 1}
        assert sum_rates([{1: 0.25}, {1: 0.5, 3: 0.1}], 2) == {1: 0.75, 3: 0.1}

    def test_latest_failure_counts(self):
        assert smallest_ages([{1: 2.0}, {1: 0.5}]) == {1: 0.5}

    def test_summary_covers_the_sender_and_the_hosts_it_hears(self):
        own = heartbeat_of('a', demand={1: 2.0}, in_flight={5: 1}, learned=(1, 2))
        other = heartbeat_of(
            'b', demand={1: 1.0}, in_flight={5: 2}, learned=(3, 4), is_leaving=True
        )
        summary = summarise(own, [other])
        assert summary.demand == {1: 3.0}
        assert summary.in_flight == {5: 3}
        assert summary.learned == (1, 2, 3, 4)
        assert summary.members == {name_hash('a'), name_hash('b')}
        assert summary.leaving == {name_hash('b')}


class TestLiveness:
    """Check what hosts of other failure domains are known to be live."""

    def test_members_of_a_summary_are_live(self, table):
        table.record_heartbeat(summary_of('muc-b', range(1, 5)), 101.0)
        assert [peer.record.host for peer in table.heard(101.5)] == [
            host_name('muc-b', number) for number in range(5)
        ]

    def test_host_missing_in_a_later_summary_is_not_live(self, table):
        table.record_heartbeat(summary_of('muc-b', range(1, 5), number=1), 101.0)
        table.record_heartbeat(summary_of('muc-b', range(1, 4), number=2), 101.7)
        assert not table.is_heard(table.find(host_name('muc-b', 4)), 101.8)

    def test_host_that_one_of_two_reporters_hears_is_live(self, table):
        table.record_heartbeat(summary_of('muc-b', range(1, 5)), 101.0)
        table.record_heartbeat(summary_of('muc-b', range(3), reporter=1), 101.1)
        assert table.is_heard(table.find(host_name('muc-b', 4)), 101.2)

    def test_dead_reporter_does_not_make_its_domain_silent(self, table):
        members = range(HOSTS_PER_DOMAIN)
        table.record_heartbeat(summary_of('muc-b', members), 101.0)
        for step in range(20):
            now_s = 101.0 + step * 0.75
            table.record_heartbeat(
                summary_of('muc-b', members[1:], reporter=1, number=step), now_s
            )
        assert not table.is_heard(table.find(host_name('muc-b', 0)), now_s)
        assert len(table.heard(now_s)) == HOSTS_PER_DOMAIN - 1

    def test_domain_without_summaries_is_silent(self, table):
        table.record_heartbeat(summary_of('muc-b', range(1, 5)), 101.0)
        assert table.heard(105.9)
        assert not table.heard(106.1)

    def test_leaving_member_does_not_serve_callers(self, table):
        leaving = heartbeat_of(host_name('muc-b', 1), is_leaving=True)
        own = heartbeat_of(host_name('muc-b', 0))
        table.record_heartbeat(summarise(own, [leaving]), 101.0)
        assert [each.host for each in table.serving_records(101.1)] == [
            host_name('muc-b', 0)
        ]

    def test_domain_is_counted_once(self, table):
        """Both reporters, and hosts that send to all, describe the same requests."""
        table.record_heartbeat(summary_of('muc-b', range(1, 5), demand={1: 4.0}), 101.0)
        table.record_heartbeat(
            summary_of('muc-b', range(5), reporter=1, demand={1: 5.0}), 101.1
        )
        table.record_heartbeat(
            heartbeat_of(host_name('muc-b', 3), demand={1: 9.0}), 101.2
        )
        assert [each.demand for each in table.latest_heartbeats(101.3)] == [{1: 5.0}]


class TestFleet:
    """Check hosts of two failure domains that exchange summaries."""

    @pytest.fixture(autouse=True)
    def always_uses_summaries(self, monkeypatch):
        monkeypatch.setattr('cicadadoor.entry.peers.uses_summaries', lambda count: True)

    def test_all_hosts_learn_who_lives_and_what_they_demand(self):
        async def work(deployment):
            hosts = [deployment.find('membership', number) for number in range(8)]
            await until(lambda: all(len(host.serving_hosts()) == 8 for host in hosts))
            await deployment.call('/look/1', host=0)
            # A host of the other failure domain that does not report for its own.
            await until(lambda: any(each.demand for each in hosts[7].live_heartbeats()))

        run_deployed(work, hosts=8, domains=('muc-a', 'nue-a'))

    def test_hosts_follow_the_configuration_of_their_domains_reader(self):
        """Stale watches may bring it too late."""

        async def work(deployment):
            mirrors = [deployment.find('mirror', number) for number in range(8)]
            await until(lambda: sum(each.may_be_stale for each in mirrors) == 6)
            deployment.store.faults.stale_s = 60
            deployment.store.cut_watches()
            deployment.store.put('config', 'main', configuration(7))
            for number in range(8):
                policy = deployment.find('policy', number)
                await until(partial(_has_version, policy, 7))

        run_deployed(work, hosts=8, domains=('muc-a', 'nue-a'))

    def test_leaving_host_is_no_longer_serving_in_other_domains(self):
        async def work(deployment):
            last = deployment.find('membership', 7)
            await until(lambda: len(last.serving_hosts()) == 8)
            deployment.find('state', 4).is_leaving = True
            await until(lambda: len(last.serving_hosts()) == 7)
            assert 'host-4' not in [each.host for each in last.serving_hosts()]

        run_deployed(work, hosts=8, domains=('muc-a', 'nue-a'))


def _has_version(policy, version: int) -> bool:
    return policy.current.version == version
