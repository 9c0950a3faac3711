"""Test that summaries are held only while they count."""

import gc

import msgspec

from cicadadoor.entry.heartbeats import HostHeartbeat
from cicadadoor.entry.reported_hosts import SummaryTable
from tests.test_unreadable_messages import HEARTBEAT


def summary_of(host: str) -> HostHeartbeat:
    """Return the summary of a domain by one of its reporters."""
    return msgspec.structs.replace(HEARTBEAT, host=host, members=frozenset((1,)))


class TestSummaryTable:
    """Guard against a table that keeps a summary of each host that ever reported."""

    def test_expired_summaries_are_dropped(self):
        table = SummaryTable()
        for number in range(100):
            domain = f'domain-{number // 10}'
            table.record(domain, summary_of(f'reporter-{number}'), 10.0 * number)
        held = [
            each
            for each in gc.get_objects()
            if isinstance(each, HostHeartbeat) and each.host.startswith('reporter-')
        ]
        assert [each.host for each in held] == ['reporter-99']

    def test_summaries_that_count_are_kept(self):
        table = SummaryTable()
        for number in range(4):
            table.record(f'domain-{number // 2}', summary_of(f'{number}'), number)
        assert [each.host for each in table.fresh('domain-0', 3.0)] == ['0', '1']
        assert table.fresh_domains(3.0) == {'domain-0', 'domain-1'}
