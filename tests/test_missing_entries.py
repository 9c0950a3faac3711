"""Test which servers are used after their entries have vanished from the store."""

import anyio
import pytest

from cicadadoor.decisions.store_outages import RETURN_GRACE_S, StoreOutage
from cicadadoor.entry.backend_table import BackendTable
from cicadadoor.entry.model import Topic
from tests.test_entry_backends import REGIONS, record_of
from tests.utils.entry_hosts import run_deployed
from tests.utils.metadata_store import worker_entry
from tests.utils.waiting import until

ALL = frozenset(f'i-{number}' for number in range(20))
ONE = frozenset(('i-0',))
THREE = frozenset(('i-0', 'i-1', 'i-2'))
FIFTH = THREE | {'i-3'}
# A removed server serves for this long after the store has acknowledged the removal.
DRAIN_S = 2.5
TICK_S = 0.05
# When hosts learn of a change: from the store, and from heartbeats of other hosts.
READ_S = 0.15
HEARD_S = 0.25
STALE_S = 1.3
# The outage or cut of each case, and the time of removals in calm.
DOWN = (10.0, 16.0)
REMOVED_S = 30.0


Change = tuple[float, frozenset[str]]


class Case:
    """Describe what happens to the store, and to which hosts it answers."""

    def __init__(self, name: str, **fields: object) -> None:
        self.name = name
        # The entries from a time on.
        self.changes: list[Change] = fields['changes']
        # The hosts that the store does not answer during DOWN.
        self.cut: frozenset[str] = fields.get('cut', frozenset())
        # Until when each host uses servers that left, at most.
        self.left: dict[str, float] = fields.get('left', {})
        # Servers that every host uses all the time.
        self.living: frozenset[str] = fields['living']

    def fails(self, host: str, now_s: float) -> bool:
        return host in self.cut and DOWN[0] <= now_s < DOWN[1]

    def entries(self, now_s: float) -> frozenset[str]:
        known = ALL
        for at_s, entries in self.changes:
            known = entries if now_s >= at_s else known
        return known


class SimulatedHost:
    """Learn of entries with the delays of a reader or of another host."""

    def __init__(self, name: str, case: Case) -> None:
        self.name = name
        self.case = case
        self.outage = StoreOutage()
        self.table = BackendTable()
        self.seen = ALL
        self.last_used_s: dict[str, float] = {}
        self._read_to_s = 0.0
        self._apply(0.0, None)

    def tick(self, now_s: float, others: list['SimulatedHost']) -> None:
        hosts = [self, *others]
        failing = frozenset(
            host.name
            for host in hosts
            if host.case.fails(host.name, now_s - (host is not self) * HEARD_S)
        )
        served = frozenset(host.name for host in hosts) - failing
        self.outage.note(now_s, failing=failing, served=served)
        self._learn(now_s)
        self.table.expire(now_s)
        for name, backend in self.table.known.items():
            until_s = backend.missing_until_s
            if until_s is None or now_s <= until_s:
                self.last_used_s[name] = now_s

    def _learn(self, now_s: float) -> None:
        is_cut_off = self.case.fails(self.name, now_s)
        if is_cut_off and len(self.case.cut) > 1:
            return
        delay_s = READ_S if self.name == 'reader' and not is_cut_off else STALE_S
        if self.table.has_missing:
            delay_s = min(delay_s, 2 * HEARD_S)
        # A stale answer of the store replaces no later copy.
        self._read_to_s = max(self._read_to_s, now_s - delay_s)
        entries = self.case.entries(self._read_to_s)
        if entries == self.seen:
            return
        self.seen = entries
        changed_s = max(at_s for at_s, _ in self.case.changes if at_s <= now_s)
        self._apply(now_s, min(now_s, changed_s + HEARD_S))

    def _apply(self, now_s: float, changed_s: float | None) -> None:
        until_s = None
        if changed_s is not None:
            until_s = self.outage.grace_end_s(now_s, changed_s)
        records = {name: record_of(name) for name in self.seen}
        self.table.apply_entries(records, REGIONS, now_s, missing_until_s=until_s)


BOTH = frozenset(('reader', 'other'))
AT_ONCE = {'reader': REMOVED_S + READ_S, 'other': REMOVED_S + STALE_S}
RETURNED_S = DOWN[1]
CASES = (
    Case('one', changes=[(REMOVED_S, ALL - ONE)], left=AT_ONCE, living=ALL - ONE),
    Case('three', changes=[(REMOVED_S, ALL - THREE)], left=AT_ONCE, living=ALL - THREE),
    Case('fifth', changes=[(REMOVED_S, ALL - FIFTH)], left=AT_ONCE, living=ALL - FIFTH),
    Case('all', changes=[(REMOVED_S, frozenset())], left=AT_ONCE, living=frozenset()),
    Case(
        'outage_with_lapse',
        cut=BOTH,
        changes=[(RETURNED_S, frozenset()), (RETURNED_S + 1.5, ALL)],
        living=ALL,
    ),
    Case(
        'outage_in_which_three_ended',
        cut=BOTH,
        changes=[(RETURNED_S, frozenset()), (RETURNED_S + 1.5, ALL - THREE)],
        left={'reader': RETURNED_S + DRAIN_S, 'other': RETURNED_S + DRAIN_S},
        living=ALL - THREE,
    ),
    Case(
        'lapse_and_removal_after_the_return',
        cut=BOTH,
        changes=[
            (RETURNED_S, ONE | FIFTH),
            (RETURNED_S + 0.5, frozenset()),
            (RETURNED_S + 1.5, ALL - FIFTH),
        ],
        left={'reader': RETURNED_S + DRAIN_S, 'other': RETURNED_S + DRAIN_S},
        living=ALL - FIFTH,
    ),
    Case(
        'removal_long_after_the_return',
        cut=BOTH,
        changes=[(REMOVED_S, ALL - FIFTH)],
        left=AT_ONCE,
        living=ALL - FIFTH,
    ),
    Case(
        'reader_cut_off',
        cut=frozenset(('reader',)),
        changes=[(12.0, ALL - THREE)],
        left={'reader': 12.0 + DRAIN_S, 'other': 12.0 + DRAIN_S},
        living=ALL - THREE,
    ),
    Case(
        'other_host_cut_off',
        cut=frozenset(('other',)),
        changes=[(12.0, ALL - THREE)],
        left={'reader': 12.0 + READ_S, 'other': 12.0 + DRAIN_S},
        living=ALL - THREE,
    ),
)


def simulate(case: Case) -> list[SimulatedHost]:
    reader, other = SimulatedHost('reader', case), SimulatedHost('other', case)
    for step in range(int(40 / TICK_S)):
        now_s = step * TICK_S
        reader.tick(now_s, [])
        other.tick(now_s, [reader])
        for host in (reader, other):
            missed = case.living.difference(host.table.known)
            assert not missed, f'{host.name} lost {sorted(missed)} at {now_s:.2f} s'
    return [reader, other]


class TestVanishedEntries:
    """Guard against requests to servers that left, and against losing living ones."""

    @pytest.mark.parametrize('case', CASES, ids=lambda case: case.name)
    def test_servers_that_left_are_not_used_and_living_ones_are(self, case):
        for host in simulate(case):
            for name in ALL - case.living:
                limit_s = case.left[host.name] + TICK_S
                assert host.last_used_s[name] <= limit_s, (host.name, name)

    def test_grace_counts_from_the_return_and_from_the_change(self):
        outage = StoreOutage()
        host = frozenset(('host-1',))
        none: frozenset[str] = frozenset()
        assert outage.grace_end_s(1.0, 1.0) is None
        outage.note(2.0, failing=host, served=none)
        assert outage.grace_end_s(3.0, 2.5) == pytest.approx(2.5 + RETURN_GRACE_S)
        outage.note(4.0, failing=none, served=host)
        assert outage.grace_end_s(5.0, 4.9) == pytest.approx(4.0 + RETURN_GRACE_S)
        assert outage.grace_end_s(6.2, 6.1) is None

    def test_second_outage_discards_the_earlier_return(self):
        """The store may answer one call and fail again."""
        outage = StoreOutage()
        first, second = frozenset(('host-1',)), frozenset(('host-2',))
        outage.note(1.0, failing=first | second, served=frozenset())
        outage.note(2.0, failing=second, served=first)
        outage.note(3.0, failing=first | second, served=frozenset())
        assert outage.grace_end_s(9.0, 9.0) == pytest.approx(9.0 + RETURN_GRACE_S)


class TestVanishedEntriesOfHosts:
    """Check the same on running hosts."""

    def test_three_of_five_servers_that_leave_at_once_are_not_kept(self):
        """They were kept for 2.1 s as if the store had been down (review/5)."""

        async def work(deployment):
            tables = [deployment.find('backends', host) for host in (0, 1)]
            leaving = [tables[0].find(name) for name in sorted(THREE)]
            leaving += [tables[1].find(name) for name in sorted(THREE)]
            for name in THREE:
                deployment.store.remove('servers', name)
            await until(
                lambda: not any(table.find(name) for table in tables for name in THREE),
                20,
            )
            assert all(backend.missing_until_s is None for backend in leaving)

        run_deployed(work, workers=5, hosts=2)

    @pytest.mark.parametrize('outage', ('busy', 'reset', 'silent'))
    def test_entries_that_lapse_in_an_outage_are_kept_until_they_return(self, outage):
        async def work(deployment):
            store, backends = deployment.store, deployment.find('backends')
            known = {name: backends.find(name) for name in THREE}
            addresses = {name: known[name].record.address for name in THREE}
            store.faults.outage = outage
            store.cut_watches()
            mirror = deployment.find('mirror')
            await until(lambda: mirror.is_failing(Topic.BACKENDS), 20)
            for name in THREE:
                store.remove('servers', name)
            store.faults.outage = ''
            await until(lambda: not mirror.records(Topic.BACKENDS), 20)
            assert all(backends.find(name) is known[name] for name in THREE)
            for name, address in addresses.items():
                store.put('servers', name, worker_entry(address))
            await until(lambda: len(mirror.records(Topic.BACKENDS)) == 3)
            await anyio.sleep(RETURN_GRACE_S)
            assert all(backends.find(name) is known[name] for name in THREE)
            assert (await deployment.call('/look/1')).status_code == 200

        run_deployed(work, workers=3)
