"""Test the table of other hosts."""

import msgspec
import pytest
from msgspec import structs

from cicadadoor.entry.heartbeats import HostHeartbeat
from cicadadoor.entry.model import HostRecord
from cicadadoor.entry.peers import PeerTable
from tests.utils.heartbeats import heartbeat_of


def record_of(host: str, region: str = 'muenchen') -> HostRecord:
    return HostRecord(
        host=host,
        instance=f'{host}-1',
        callers=f'{host}:80',
        peers=f'{host}:7200',
        failure_domain='muc-a',
        region=region,
    )


@pytest.fixture
def table() -> PeerTable:
    peers = PeerTable('muenchen', 'muc-a')
    peers.update_records({name: record_of(name) for name in ('b', 'c')}, 100.0)
    return peers


def serving_names(table: PeerTable, now_s: float) -> list[str]:
    return [record.host for record in table.serving_records(now_s)]


class TestServing:
    """Check which hosts callers may use."""

    def test_listed_host_is_not_serving_before_its_first_heartbeat(self, table):
        table.record_heartbeat(heartbeat_of('b'), 100.5)
        assert serving_names(table, 100.6) == ['b']

    def test_silent_host_is_no_longer_serving(self, table):
        table.record_heartbeat(heartbeat_of('b'), 100.0)
        for step in range(20):
            table.record_heartbeat(heartbeat_of('c', step), 100.0 + step / 4)
        assert serving_names(table, 104.8) == ['c']

    def test_hosts_stay_serving_for_a_limited_time_if_all_are_silent(self, table):
        table.record_heartbeat(heartbeat_of('b'), 100.0)
        table.record_heartbeat(heartbeat_of('c'), 100.0)
        assert serving_names(table, 103.0) == ['b', 'c']
        assert serving_names(table, 105.0) == []

    def test_leaving_host_is_not_serving(self, table):
        table.record_heartbeat(heartbeat_of('b', is_leaving=True), 100.0)
        table.record_heartbeat(heartbeat_of('c'), 100.0)
        assert serving_names(table, 100.1) == ['c']

    def test_host_of_another_region_may_be_silent_for_longer(self):
        peers = PeerTable('muenchen', 'muc-a')
        peers.update_records(
            {'b': record_of('b', 'nuernberg'), 'c': record_of('c')}, 100.0
        )
        peers.record_heartbeat(heartbeat_of('b'), 100.0)
        peers.record_heartbeat(heartbeat_of('c'), 102.0)
        assert serving_names(peers, 102.5) == ['b', 'c']


class TestHeartbeats:
    """Check heartbeats that arrive late, from a new run or from an unlisted host."""

    def test_older_heartbeat_is_ignored(self, table):
        table.record_heartbeat(heartbeat_of('b', 5, revisions=(9, 9, 9, 9)), 100.0)
        table.record_heartbeat(heartbeat_of('b', 4, revisions=(1, 1, 1, 1)), 100.1)
        assert table.latest_heartbeats(100.2)[0].revisions == (9, 9, 9, 9)

    def test_new_instance_restarts_its_heartbeat_numbers(self, table):
        table.record_heartbeat(heartbeat_of('b', 50), 100.0)
        table.record_heartbeat(heartbeat_of('b', 1, instance='b-2'), 100.1)
        assert table.latest_heartbeats(100.2)[0].instance == 'b-2'

    def test_heartbeat_of_an_unlisted_host_is_ignored(self, table):
        table.record_heartbeat(heartbeat_of('x'), 100.0)
        assert table.find('x') is None

    def test_unlisted_host_is_counted_until_it_is_listed_or_silent(self, table):
        table.record_heartbeat(heartbeat_of('x'), 100.0)
        table.record_heartbeat(heartbeat_of('y'), 100.0)
        assert len(table.unlisted) == 2
        table.update_records({'x': record_of('x')}, 100.1)
        assert len(table.unlisted) == 1
        table.prune(111.0)
        assert len(table.unlisted) == 0


class TestBounds:
    """Guard against a faulty sender that fills the memory of the other hosts."""

    def test_number_of_unlisted_hosts_is_bounded(self, table):
        for number in range(5000):
            table.record_heartbeat(heartbeat_of(f'host-{number}'), 100.0)
        assert len(table.unlisted) == 1024
        table.prune(120.0)
        assert not len(table.unlisted)

    @pytest.mark.parametrize('field', ('host', 'instance'))
    def test_heartbeat_with_a_long_name_is_malformed(self, field):
        heartbeat = structs.replace(heartbeat_of('b'), **{field: 'a' * 64})
        decoder = msgspec.msgpack.Decoder(HostHeartbeat)
        with pytest.raises(msgspec.ValidationError):
            decoder.decode(msgspec.msgpack.encode(heartbeat))


class TestPruning:
    """Check hosts whose records were removed, and hosts that are silent."""

    def test_unlisted_host_is_kept_while_it_sends_heartbeats(self, table):
        table.record_heartbeat(heartbeat_of('b'), 100.0)
        table.update_records({'c': record_of('c')}, 100.1)
        table.prune(100.2)
        assert table.find('b') is not None
        table.prune(110.0)
        assert table.find('b') is None

    def test_silent_hosts_are_those_without_a_heartbeat_since_they_were_listed(
        self, table
    ):
        table.record_heartbeat(heartbeat_of('b'), 115.0)
        assert table.silent_hosts(20.0, 125.0) == ['c']
