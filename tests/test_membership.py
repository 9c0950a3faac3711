"""Test the tracking of live hosts, heartbeats and the confirmation of generations."""

import random

import msgspec
import pytest

from cicadadoor.agent.membership import HEARTBEAT_PERIOD_S
from cicadadoor.decisions.confirmation import REPORT_VALID_S, confirm
from cicadadoor.decisions.membership import (
    DEAD_AFTER_S,
    FORGET_AFTER_S,
    SUSPECT_AFTER_S,
    DomainTable,
    MemberTable,
)
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.links.membership_messages import (
    DomainSummary,
    Heartbeat,
    Load,
    MemberRecord,
    Sighting,
)
from cicadadoor.links.messages import encode
from tests.utils.sync_fleet import Fleet, Node, run_fleet

NOW_S = 1000.0


def record(host: str = 'b', incarnation: int = 1, instance: str = 'i1') -> MemberRecord:
    """Return the record of a member."""
    return MemberRecord(
        host=host,
        instance=instance,
        incarnation=incarnation,
        peer_address=f'{host}:1',
        failure_domain='m-1',
        region='m',
    )


def sighting(host: str = 'b', incarnation: int = 1, age_s: float = 0) -> Sighting:
    """Return a sighting of a member."""
    return Sighting(host, incarnation, age_s, 5, 'd')


def table_with(*hosts: str) -> MemberTable:
    """Return a table with a recent sighting of each host."""
    table = MemberTable('a', 'm-1')
    for host in hosts:
        table.note_record(record(host), NOW_S)
        table.note_sighting(sighting(host), NOW_S)
    return table


class TestMemberTable:
    """Guard against dead hosts counted as alive, and the reverse."""

    def test_record_alone_is_no_evidence_of_life(self):
        """A record may be old when it arrives through other hosts."""
        table = MemberTable('a', 'm-1')
        table.note_record(record(), NOW_S)
        assert table.alive(NOW_S) == []

    @pytest.mark.parametrize(
        ('age_s', 'probe_failed', 'is_alive'),
        [
            (SUSPECT_AFTER_S, True, True),
            (SUSPECT_AFTER_S + 0.1, False, True),
            (SUSPECT_AFTER_S + 0.1, True, False),
            (DEAD_AFTER_S + 0.1, False, False),
        ],
    )
    def test_suspicion_needs_a_failed_probe(self, age_s, probe_failed, is_alive):
        """Slow gossip alone must not mark a host as dead."""
        table = table_with('b')
        if probe_failed:
            table.note_failed_probe('b', NOW_S + 1)
        assert bool(table.alive(NOW_S + age_s)) is is_alive

    def test_later_sighting_by_another_host_counts(self):
        """A host is alive if any observer can reach it."""
        table = table_with('b')
        table.note_failed_probe('b', NOW_S + 4)
        assert table.note_sighting(sighting(age_s=1), NOW_S + 5)
        assert table.alive(NOW_S + 6)

    @pytest.mark.parametrize('age_s', (float('nan'), -50, float('inf')))
    def test_invalid_age_does_not_keep_a_host_alive(self, age_s):
        """A negative age would date a sighting in the future."""
        table = table_with('b')
        table.note_sighting(sighting(age_s=age_s), NOW_S)
        assert not table.alive(NOW_S + DEAD_AFTER_S + 1)

    def test_restarted_host_is_a_new_instance(self):
        """Sightings of the old process say nothing about the new one."""
        table = table_with('b')
        assert not table.note_sighting(sighting(incarnation=2), NOW_S)
        assert table.note_record(record(incarnation=2, instance='i2'), NOW_S)
        assert table.alive(NOW_S) == []
        assert table.note_sighting(sighting(incarnation=1), NOW_S + 1)
        assert table.alive(NOW_S + 1) == []
        assert not table.note_record(record(incarnation=1), NOW_S)
        assert table.find('b').record.instance == 'i2'

    def test_host_of_another_domain_is_no_member(self):
        """Relays are ranked within one domain, so others must not enter its table."""
        table = MemberTable('a', 'm-2')
        assert not table.note_record(record(), NOW_S)

    def test_relays_are_live_hosts(self):
        """A dead relay must be replaced by the next host."""
        table = table_with('b', 'c')
        assert table.relays(NOW_S, 2) == ['a', 'b']
        table.note_failed_probe('b', NOW_S + 1)
        table.note_sighting(sighting('c'), NOW_S + 5)
        assert table.relays(NOW_S + 5, 2) == ['a', 'c']
        assert table.unreachable(NOW_S + 5) == ['b']

    def test_gossip_partners_rotate(self):
        """A host that does not answer must not be the target of all heartbeats."""
        table = table_with('b', 'c', 'd', 'e')
        rng = random.Random(1)
        asked = {
            table.gossip_partners(NOW_S + beat, 1, rng)[0].host for beat in range(1, 5)
        }
        assert asked == {'b', 'c', 'd', 'e'}

    def test_long_dead_host_is_forgotten(self):
        """A host that was replaced must not stay in the list of unreachable ones."""
        table = table_with('b')
        assert table.forget_old(NOW_S + FORGET_AFTER_S) == []
        forgotten = table.forget_old(NOW_S + FORGET_AFTER_S + 1)
        assert [found.host for found in forgotten] == ['b']


def summary(domain: str, **changes: object) -> DomainSummary:
    """Return the summary of a domain whose two hosts use generation 5."""
    fields = {
        'failure_domain': domain,
        'region': 'm',
        'age_s': 0.0,
        'relays': [],
        'gates': [],
        'host_count': 2,
        'generation': 5,
        'digest': 'd',
        'behind': [],
        'unreachable': [],
        'load': Load(),
        'load_age_s': 0.0,
    }
    return DomainSummary(**(fields | changes))


class TestDomainTable:
    """Guard against old summaries that replace newer ones."""

    @pytest.mark.parametrize('age_s', (5, float('nan'), float('inf')))
    def test_older_summary_is_ignored(self, age_s):
        """Summaries arrive over several paths, late and more than once."""
        table = DomainTable('m-2')
        assert table.note(summary('m-1'), NOW_S)
        assert not table.note(summary('m-1', age_s=age_s, generation=1), NOW_S + 1)
        assert table.valid(NOW_S + 1)[0].generation == 5
        assert table.valid(NOW_S + 1)[0].age_s == 1

    def test_load_of_a_relay_is_kept_with_its_age(self):
        """A summary from a host that is no relay has generations but no load."""
        table = DomainTable('m-2')
        load = Load(by_region={'m': 3.0})
        table.note(summary('m-1', load=load, load_age_s=2.0), NOW_S)
        table.note(summary('m-1', load_age_s=float('inf')), NOW_S + 4)
        found = table.valid(NOW_S + 5)[0]
        assert found.load == load
        assert found.load_age_s == pytest.approx(7)


class TestConfirmation:
    """Guard against a confirmation that not every domain has reported."""

    @pytest.mark.parametrize(
        ('summaries', 'behind', 'unreachable'),
        [
            ([summary('m-1'), summary('m-2')], [], []),
            ([summary('m-1')], [], ['failure domain m-2']),
            (
                [summary('m-1'), summary('m-2', age_s=REPORT_VALID_S + 1)],
                [],
                ['failure domain m-2'],
            ),
            (
                [summary('m-1'), summary('m-2', generation=4, behind=['x'])],
                ['x'],
                [],
            ),
            (
                [summary('m-1'), summary('m-2', generation=4)],
                ['failure domain m-2 (generation 4)'],
                [],
            ),
            ([summary('m-1'), summary('m-2', unreachable=['y'])], [], ['y']),
            (
                [summary('m-1'), summary('m-2', digest='other')],
                ['failure domain m-2 (digest other)'],
                [],
            ),
        ],
    )
    def test_missing_hosts_are_named(self, summaries, behind, unreachable):
        """Operators need the names of hosts that are behind or unreachable."""
        found = confirm(5, ['m-1', 'm-2'], summaries, 'd')
        assert found.behind == behind
        assert found.unreachable == unreachable
        assert found.in_force is not bool(behind or unreachable)

    def test_without_a_configuration_nothing_is_in_force(self):
        """An agent that has just started knows no domain and must confirm nothing."""
        assert not confirm(0, [], [summary('m-1', generation=0)], 'd').in_force


class TestHeartbeats:
    """Guard against a cost per host that grows with the fleet."""

    @pytest.mark.parametrize('domains', (4, 12))
    def test_messages_do_not_grow_with_the_number_of_domains(self, domains):
        """The traffic of each host is bounded at the target size of the fleet."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.run_for(15)
            fleet.network.messages = 0
            await fleet.run_for(20)
            messages_per_s = fleet.network.messages / len(fleet.nodes) / 20
            # Two partners, one other domain, a seed in every tenth heartbeat, loads.
            assert messages_per_s < 6
            for node in fleet.running():
                ages_s = node.membership.report_ages_s()
                assert len(ages_s) == domains - 1
                assert max(ages_s.values()) < 30

        run_fleet({f'm-{number}': 3 for number in range(domains)}, scenario)

    def test_buffered_heartbeats_are_no_evidence_of_life(self):
        """A host that resumes must not count buffered requests as signs of life."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.run_for(10)
            paused = fleet.nodes['m-1-0']
            paused.is_paused = True
            await fleet.run_for(60)
            fleet.network.cut = lambda source, target: paused in {source, target}
            paused.is_paused = False
            await fleet.network.deliver_late()
            await fleet.run_for(4)
            assert all(not host.is_alive for host in paused.membership.known_hosts())
            assert paused.membership.platform_contact_age_s() < 5
            assert min(paused.membership.report_ages_s().values()) > 50

        run_fleet({'m-1': 3, 'm-2': 2}, scenario)


class TestLateStart:
    """Guard against a running host that peers ignore because it started late."""

    @pytest.mark.parametrize('late_s', (1, 3, 5))
    def test_gates_are_told_of_a_domain_that_starts_late(self, late_s):
        """A gate lists the hosts that its agent reported when it refuses a request."""

        async def scenario(fleet: Fleet) -> None:
            late = fleet.nodes['augsburg-1-0']
            late.kill()
            await fleet.run_for(late_s)
            await late.start()
            others = [node for node in fleet.running() if node is not late]
            # One heartbeat to discover the domain, one until its agent knows its gate,
            # one for the next request to it, and one until the gates are updated.
            await fleet.run_until(
                lambda: all(late.host in _reported_hosts(node) for node in others),
                4 * HEARTBEAT_PERIOD_S,
            )

        run_fleet({'muenchen-1': 2, 'augsburg-1': 1}, scenario)

    def test_heartbeats_of_an_unknown_domain_cause_one_request_at_a_time(self):
        """A starting domain must not get one request back for each heartbeat."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.run_for(3)
            node = fleet.nodes['m-1-0']
            asked = []

            async def time_out(address, message, timeout_s) -> Failure:
                asked.append(address)
                await fleet.timer.sleep(timeout_s)
                return Failure(ErrorKind.OUTCOME_UNKNOWN, address)

            node.peers.ask = time_out
            template = fleet.nodes['m-1-1'].membership.own.record
            for number in range(20):
                heartbeat = Heartbeat(
                    record=msgspec.structs.replace(
                        template,
                        host=f'm-9-{number}',
                        failure_domain='m-9',
                        peer_address=f'm-9-{number}:1',
                    ),
                    sighting=Sighting(f'm-9-{number}', 1, 0, 0, ''),
                    generation=0,
                    contact_age_s=0,
                    evidence_age_s=0,
                    withdrawals_digest='',
                    sightings=[],
                    summaries=[],
                    domain_ages=[],
                )
                await node.receive(encode(heartbeat))
            await fleet.settle()
            assert asked == ['m-9-0:1']

        run_fleet({'m-1': 3}, scenario)


def _reported_hosts(node: Node) -> set[str]:
    """Return the hosts whose gates the agent has sent to its own gate."""
    return {gate.host for gate in node.announced_gates}
