"""Test that at most one gate admits requests on each seat under any fault."""

import anyio
import msgspec
import pytest

from cicadadoor.agent.seat_witness import SEAT_KIND
from cicadadoor.decisions import seats
from cicadadoor.decisions.seats import CONTACT_FRESH_S, Holder, HolderEvidence
from cicadadoor.object_store.base import StoredObject
from tests.utils.limit_fleet import Fleet

ISOLATION_S = 600
RECLAIM_S = 1200
WRITE_FAULTS = ('fail', 'late', 'slow', 'pause', 'lose_answer', 'lose_answer_once')


def new_fleet(**domain_seats: int) -> Fleet:
    """Create a fleet of hosts whose boot clocks differ."""
    return Fleet(
        domain_seats or {'a': 2, 'b': 2, 'c': 1},
        rate_per_s=100,
        burst=50,
        offsets_s=(0, 9000, -4000),
        least_period_s=1,
    )


async def table_of(fleet: Fleet, domain: str) -> seats.SeatTable:
    """Read a domain's seat table from the store."""
    stored = await fleet.store.get(SEAT_KIND, domain)
    return msgspec.json.decode(stored.body, type=seats.SeatTable)


def holders(fleet: Fleet, domain: str) -> dict[int, str]:
    """Return the host that admits on each seat; fail if two gates use one seat."""
    host_by_seat: dict[int, str] = {}
    for host in fleet.hosts.values():
        if host.domain != domain or host.gate is None:
            continue
        limits = host.gate.shares.limits()
        if not limits.has_seat(host.gate.clock.now_s()):
            continue
        for seat in limits.seats.claims:
            assert seat not in host_by_seat, (seat, host_by_seat[seat], host.name)
            host_by_seat[seat] = host.name
    return host_by_seat


async def pass_time(fleet: Fleet, delay_s: float, step_s: float = 30) -> None:
    """Let time pass and check at each step that no seat is in use twice."""
    for _ in range(int(delay_s / step_s)):
        await fleet.advance(step_s)
        for domain in fleet.domain_seats:
            holders(fleet, domain)


class TestClaim:
    """Guard against two owners of a seat, and against a start without one."""

    @pytest.mark.parametrize('fault', WRITE_FAULTS)
    @pytest.mark.parametrize('faulty_writes', [1, 2, 3])
    def test_faults_at_each_write_of_a_start(self, fault, faulty_writes):
        """Each host ends up with one seat although claims race and answers are lost."""

        async def run():
            fleet = new_fleet()
            fleet.write_faults = [fault for _ in range(faulty_writes)]
            await fleet.start()
            await pass_time(fleet, 20, 1)
            await fleet.deliver_late()
            await pass_time(fleet, 40, 1)
            for domain, count in fleet.domain_seats.items():
                assert len(set(holders(fleet, domain).values())) == count

        anyio.run(run)

    def test_gate_without_a_seat_admits_nothing(self):
        """A gate that starts during an outage must not admit without a seat."""

        async def run():
            fleet = new_fleet()
            fleet.is_platform_down = True
            await fleet.start()
            await fleet.advance(30)
            assert fleet.request('a-0', 5) == 0
            fleet.heal()
            await fleet.advance(10)
            assert fleet.request('a-0', 1) == 1

        anyio.run(run)


class TestHandover:
    """Guard against a seat in use twice while it passes to another process."""

    @pytest.mark.parametrize('fault', ['', *WRITE_FAULTS])
    @pytest.mark.parametrize('is_agent_replaced', [False, True])
    def test_new_gate_on_the_host(self, fault, is_agent_replaced):
        """The bound address proves that the earlier process has ended."""

        async def run():
            fleet = new_fleet()
            await fleet.start()
            await fleet.advance(20)
            before = holders(fleet, 'a')
            host = fleet.hosts['a-0']
            host.gate = None
            fleet.write_faults = [fault]
            if is_agent_replaced:
                await host.start_agent()
            await host.start_gate()
            await pass_time(fleet, 30, 1)
            await fleet.deliver_late()
            await pass_time(fleet, 30, 1)
            assert holders(fleet, 'a') == before

        anyio.run(run)

    def test_new_gate_during_an_outage(self):
        """A restart during an outage must not stop the host until the outage ends."""

        async def run():
            fleet = new_fleet()
            await fleet.start()
            await fleet.advance(20)
            fleet.is_platform_down = True
            await fleet.hosts['a-0'].start_gate()
            await fleet.advance(10)
            assert fleet.request('a-0', 1) == 1

        anyio.run(run)

    def test_new_agent_keeps_the_seat(self):
        """A restarted agent must neither release nor duplicate its gate's seat."""

        async def run():
            fleet = new_fleet()
            await fleet.start()
            await fleet.advance(20)
            before = holders(fleet, 'a')
            for is_platform_down in (False, True):
                fleet.is_platform_down = is_platform_down
                fleet.hosts['a-0'].agent = None
                await pass_time(fleet, 300)
                assert holders(fleet, 'a') == before
                await fleet.hosts['a-0'].start_agent()
                await pass_time(fleet, 300)
                assert holders(fleet, 'a') == before

        anyio.run(run)

    @pytest.mark.parametrize('fault', ['', *WRITE_FAULTS])
    def test_released_seat_moves_to_a_live_host_and_back(self, fault):
        """A released seat goes to a live host, and back once its host restarts."""

        async def run():
            fleet = new_fleet()
            await fleet.start()
            await fleet.advance(20)
            host = fleet.hosts['a-0']
            fleet.write_faults = [fault]
            await host.gate.shares.release_seats()
            assert fleet.request('a-0', 5) == 0
            await fleet.advance(5)
            host.gate = None
            await pass_time(fleet, 200)
            await fleet.deliver_late()
            await pass_time(fleet, 200)
            assert set(holders(fleet, 'a').values()) == {'a-1'}
            host.offset_s += 50
            await host.start_agent()
            await host.start_gate()
            fleet.write_faults = [fault]
            await pass_time(fleet, 60, 1)
            await fleet.deliver_late()
            await pass_time(fleet, 120, 1)
            assert set(holders(fleet, 'a').values()) == {'a-0', 'a-1'}

        anyio.run(run)


class TestReclaim:
    """Guard against reclaim of a seat whose holder still admits requests."""

    def test_dead_host_is_reclaimed(self):
        """The floor of a dead host must not be lost permanently."""

        async def run():
            fleet = new_fleet()
            await fleet.start()
            await fleet.advance(20)
            host = fleet.hosts['a-0']
            host.gate = None
            host.agent = None
            await fleet.store.delete('host', 'a-0', 1)
            await pass_time(fleet, RECLAIM_S - 300)
            assert set(holders(fleet, 'a').values()) == {'a-1'}
            assert len(holders(fleet, 'a')) == 1
            await pass_time(fleet, 900)
            assert len(holders(fleet, 'a')) == 2

        anyio.run(run)

    @pytest.mark.parametrize(
        'case',
        ['listed', 'heard', 'paused_agent', 'paused_both', 'reclaimer_cut_off'],
    )
    def test_live_host_keeps_its_seat(self, case):
        """Each condition on its own must prevent a reclaim."""

        async def run():
            fleet = new_fleet()
            await fleet.start()
            await fleet.advance(20)
            host = fleet.hosts['a-0']
            if case != 'listed':
                await fleet.store.delete('host', 'a-0', 1)
            if case in {'listed', 'reclaimer_cut_off'}:
                fleet.cut_off('a-0')
            if case == 'reclaimer_cut_off':
                for other in ('b-0', 'b-1', 'c-0'):
                    fleet.cut.add(frozenset(('a-1', other)))
            if case == 'paused_agent':
                host.agent.is_paused = True
            if case == 'paused_both':
                host.gate.is_paused = True
                host.agent.is_paused = True
            for _ in range(4):
                await pass_time(fleet, RECLAIM_S / 2)
                fleet.request('a-0', 3)
            table = await table_of(fleet, 'a')
            holds = any(claim.host == 'a-0' for claim in table.claims.values())
            assert holds or case in {'paused_agent', 'paused_both'}

        anyio.run(run)

    @pytest.mark.parametrize('fault', ['', *WRITE_FAULTS])
    def test_cut_off_host_suspends_first(self, fault):
        """A live host that is not listed suspends before its seat can be reclaimed."""

        async def run():
            fleet = new_fleet()
            await fleet.start()
            await fleet.advance(20)
            fleet.cut_off('a-0')
            await fleet.store.delete('host', 'a-0', 1)
            fleet.write_faults = [fault]
            await pass_time(fleet, ISOLATION_S - 60)
            assert fleet.request('a-0', 1) == 1
            await pass_time(fleet, 120)
            assert fleet.request('a-0', 1) == 0
            await fleet.deliver_late()
            fleet.write_faults = [fault]
            await pass_time(fleet, RECLAIM_S)
            assert set(holders(fleet, 'a').values()) == {'a-1'}
            fleet.heal()
            await pass_time(fleet, 300)
            assert set(holders(fleet, 'a').values()) == {'a-0', 'a-1'}

        anyio.run(run)

    @pytest.mark.parametrize('domain', ['a', 'c'])
    def test_cut_off_domain_keeps_its_seats(self, domain):
        """A domain whose hosts reach each other keeps serving while it is isolated."""

        async def run():
            fleet = new_fleet()
            await fleet.start()
            await fleet.advance(20)
            before = holders(fleet, domain)
            own = [name for name in fleet.hosts if name.startswith(domain)]
            for name in own:
                fleet.cut_off(name)
                await fleet.store.delete(
                    'host', name, (await fleet.store.get('host', name)).version
                )
            fleet.cut -= {frozenset(own)}
            await pass_time(fleet, 2 * RECLAIM_S)
            assert holders(fleet, domain) == before

        anyio.run(run)

    def test_outage_does_not_stop_hosts(self):
        """Seats stay valid during an outage, even if a host of the domain is dead."""

        async def run():
            fleet = new_fleet()
            await fleet.start()
            await fleet.advance(20)
            fleet.hosts['a-0'].gate = None
            fleet.hosts['a-0'].agent = None
            fleet.is_platform_down = True
            await pass_time(fleet, 3 * RECLAIM_S)
            for name in ('a-1', 'b-0', 'b-1', 'c-0'):
                assert fleet.request(name, 1) == 1

        anyio.run(run)


class TestEvidence:
    """Guard against evidence that does not exclude a reclaimer."""

    @pytest.mark.parametrize(
        ('ages_s', 'is_evidence'),
        [
            ({'b': 1e9, 'c': 1e9}, True),
            ({'b': 1e9, 'c': CONTACT_FRESH_S - 1}, False),
            ({'b': 1e9}, False),
            ({}, False),
        ],
    )
    def test_majority_without_contact(self, ages_s, is_evidence):
        """Half of the domains, or one with contact, does not exclude a reclaimer."""
        evidence = HolderEvidence(ISOLATION_S)
        evidence.note_domains(2, ages_s, 100)
        assert (evidence.keeps_until_s() == 100 + ISOLATION_S) is is_evidence

    @pytest.mark.parametrize(
        ('answered', 'is_evidence'),
        [({1: 90.0, 2: 100.0}, True), ({1: 90.0}, False), ({}, False)],
    )
    def test_all_other_holders(self, answered, is_evidence):
        """A holder that does not answer may be a reclaimer."""
        evidence = HolderEvidence(ISOLATION_S)
        evidence.note_domain({0}, 3, answered)
        evidence.note_sole_holder({0}, 3, 100)
        assert (evidence.keeps_until_s() == 90 + ISOLATION_S) is is_evidence

    def test_gate_with_another_address_does_not_take_over_the_seat(self):
        """A process with another address may run at the same time as the first."""
        first = Holder(host='h', callers='x', gate_instance='1')
        second = Holder(host='h', callers='y', gate_instance='2')
        table = seats.claim_first(seats.EMPTY_TABLE, 1, first, 'n')
        table = seats.claim_first(table, 1, second, 'm')
        assert seats.claims_of(table, first)
        assert table.waiting == ('h',)


def test_malformed_table_is_not_overwritten():
    """A table that can't be decoded must not count as empty."""

    async def run():
        fleet = new_fleet()
        broken = StoredObject(kind=SEAT_KIND, name='a', body=b'{')
        await fleet.store.create(broken)
        await fleet.start()
        await fleet.advance(30)
        assert (await fleet.store.get(SEAT_KIND, 'a')).body == b'{'
        assert fleet.request('a-0', 1) == 0

    anyio.run(run)
