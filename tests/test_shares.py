"""Test that the leased floating shares never add up to more than 1."""

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadadoor.agent.shares import LEASE_MARGIN_S, LEASE_S
from cicadadoor.decisions import shares
from tests.utils.limit_fleet import ORGANISATION, Fleet

WRITE_FAULTS = ('fail', 'late', 'slow', 'pause', 'lose_answer', 'lose_answer_once')


async def traffic(fleet: Fleet, seconds: float, *names: str) -> None:
    """Send requests far above the rate, and check the shares at each step."""
    for _ in range(int(seconds * 5)):
        await fleet.advance(0.2)
        fleet.assert_shares()
        for name in names:
            fleet.request(name, 20)


def leased(fleet: Fleet, name: str) -> float:
    """Return the leased fraction that a gate uses now."""
    gate = fleet.hosts[name].gate
    bucket = gate.shares.limits().account(ORGANISATION, gate.clock.now_s()).bucket
    bucket.refill(gate.clock.now_s())
    return bucket.share() - bucket.floor


async def new_fleet(**options) -> Fleet:
    """Start two domains; the first host leases the whole floating share."""
    fleet = Fleet(
        {'a': 1, 'b': 1},
        rate_per_s=100,
        burst=50,
        offsets_s=(0, 9000),
        **options,
    )
    await fleet.start()
    await traffic(fleet, 15, 'a-0')
    assert leased(fleet, 'a-0') == pytest.approx(0.5)
    return fleet


class TestLeaseHandover:
    """Guard against a share that the old and the new holder use at once."""

    @pytest.mark.parametrize('fault', ['', *WRITE_FAULTS])
    @pytest.mark.parametrize('skipped_writes', range(4))
    def test_faults_at_each_write(self, fault, skipped_writes):
        """Whichever write fails, the second host eventually gets its share."""

        async def run():
            fleet = await new_fleet()
            fleet.write_faults = ['' for _ in range(skipped_writes)] + [fault]
            await traffic(fleet, 40, 'a-0', 'b-0')
            await fleet.deliver_late()
            await traffic(fleet, 15, 'a-0', 'b-0')
            assert leased(fleet, 'b-0') == pytest.approx(0.25, abs=0.02)
            fleet.assert_within_limits()

        anyio.run(run)

    @pytest.mark.parametrize(
        'action', ['kill_agent', 'kill_gate', 'pause_agent', 'pause_gate', 'pause_both']
    )
    def test_dead_or_paused_holder(self, action):
        """The share expires, on the holder's clock too, before another host gets it."""

        async def run():
            fleet = await new_fleet()
            host = fleet.hosts['a-0']
            if action.startswith('kill'):
                setattr(host, action.removeprefix('kill_'), None)
            for name in ('agent', 'gate'):
                if action in {f'pause_{name}', 'pause_both'}:
                    getattr(host, name).is_paused = True
            await traffic(fleet, LEASE_S + LEASE_MARGIN_S + 8, 'b-0')
            if not action.endswith('gate'):
                assert leased(fleet, 'b-0') == pytest.approx(0.5, abs=0.3)
            for daemon in (host.agent, host.gate):
                if daemon is not None:
                    daemon.is_paused = False
            fleet.request('a-0', 50)
            fleet.assert_shares()
            await traffic(fleet, 20, 'a-0', 'b-0')
            fleet.assert_within_limits()

        anyio.run(run)

    def test_resumed_gate_admits_nothing_from_an_expired_lease(self):
        """The lease is checked when it is used, before any message is processed."""

        async def run():
            fleet = await new_fleet()
            gate = fleet.hosts['a-0'].gate
            gate.is_paused = True
            await fleet.advance(LEASE_S + 1)
            gate.is_paused = False
            assert fleet.request('a-0', 100) <= 13

        anyio.run(run)

    @pytest.mark.parametrize('rates', [(1.04, 0.96), (0.96, 1.04)])
    def test_margin_covers_different_clock_rates(self, rates):
        """A lease must end on a slow clock before a fast clock lets others use it."""

        async def run():
            fleet = await new_fleet(rates=rates)
            fleet.hosts['a-0'].is_off_platform = True
            fleet.cut.add(frozenset(fleet.hosts))
            await traffic(fleet, 30, 'b-0')
            assert leased(fleet, 'b-0') == pytest.approx(0.5, abs=0.3)

        anyio.run(run)

    def test_new_agent_reduces_the_lease_of_the_old_one(self):
        """A restarted agent must not record a smaller share than its gate uses."""

        async def run():
            fleet = await new_fleet()
            await fleet.hosts['a-0'].start_agent()
            await traffic(fleet, 30, 'a-0', 'b-0')
            assert leased(fleet, 'b-0') == pytest.approx(0.25, abs=0.02)

        anyio.run(run)

    def test_demand_returns_before_a_shrink_is_confirmed(self):
        """A confirmation of the full lease must not count for the smaller one."""

        async def run():
            fleet = await new_fleet()
            agent = fleet.hosts['a-0'].agent
            for _ in range(12):
                await traffic(fleet, 1.2, 'b-0')
                agent.link.inbox.clear()
                agent.link.inbox_types.clear()
                await traffic(fleet, 1.2, 'a-0')
            fleet.assert_within_limits()

        anyio.run(run)


class TestSmallOrganisation:
    """Guard against token buckets that never hold a whole token."""

    @pytest.mark.parametrize('burst', [1, 4, 5, 20])
    @pytest.mark.parametrize('is_platform_down', [False, True])
    def test_one_request_per_second_over_eleven_seats(self, burst, is_platform_down):
        """Requests are served; during an outage too, if the floors hold two tokens."""

        async def run():
            fleet = Fleet({'a': 6, 'b': 5}, rate_per_s=1, burst=burst)
            await fleet.start()
            await fleet.advance(10)
            fleet.is_platform_down = is_platform_down
            admitted = 0
            for _ in range(60):
                await fleet.advance(1)
                admitted += fleet.request('a-0')
            least = 10 if burst >= 4 or not is_platform_down else 0
            assert admitted >= least
            fleet.assert_within_limits()

        anyio.run(run)


class TestAllocate:
    """Guard against an allocation above 1, or one that starves a host."""

    @given(
        st.dictionaries(st.text('abcdef', min_size=1), st.floats(0, 500), max_size=9),
        st.floats(1, 500),
        st.floats(0, 1),
    )
    @settings(derandomize=True, max_examples=300, deadline=None)
    def test_max_min_fair(self, wanted, rate_per_s, least):
        """No holder gets less than it wants or an equal part, whichever is smaller."""
        parts = shares.allocate(wanted, rate_per_s, least)
        assert sum(parts.values()) <= 1 + 1e-9
        assert all(part >= least - 1e-9 for part in parts.values())
        if least == 0:
            for name, part in parts.items():
                equal = 1 / len(parts)
                assert part >= min(equal, wanted[name] / rate_per_s) - 1e-9
