"""Test the order of backend servers by failure domain."""

import pytest

from cicadadoor.decisions.domain_order import (
    RankedServer,
    domain_shares,
    group_by_domain,
)

# Three regions with two failure domains each.
REGIONS = {f'{region}-{part}': region for region in 'xyz' for part in 'ab'}
EVEN = 1 / len(REGIONS)
# Part by which shares may exceed the plan, so that surges find further domains.
SURGE_PART = 0.01

# Slots by failure domain; uneven ones as where a region has a third of the demand and a
# tenth of the servers.
FLEETS = (
    dict.fromkeys(REGIONS, 10),
    {'x-a': 5, 'x-b': 5, 'y-a': 20, 'y-b': 25, 'z-a': 20, 'z-b': 25},
    {'x-a': 2, 'x-b': 18, 'y-a': 5, 'y-b': 15, 'z-a': 15, 'z-b': 10},
    {'x-a': 40, 'y-a': 10, 'z-a': 3},
    {'x-a': 0, 'x-b': 0, 'y-a': 1, 'y-b': 0, 'z-a': 0, 'z-b': 0},
    # A failure domain that is evacuated.
    {'x-b': 10, 'y-a': 10, 'y-b': 10, 'z-a': 10, 'z-b': 10},
)


def shares_of(slots: dict[str, int]) -> dict[str, dict[str, float]]:
    return {name: domain_shares(slots, REGIONS, name) for name in REGIONS}


class TestDomainShares:
    """The shares of the demand of one failure domain."""

    def test_domain_with_enough_slots_serves_its_own_callers(self):
        shares = domain_shares(FLEETS[0], REGIONS, 'x-a')
        assert shares.pop('x-a') == pytest.approx(EVEN)
        assert sum(shares.values()) <= EVEN * SURGE_PART

    @pytest.mark.parametrize('slots', FLEETS)
    def test_all_demand_has_a_place(self, slots):
        for shares in shares_of(slots).values():
            assert EVEN - 1e-9 <= sum(shares.values()) <= EVEN * (1 + SURGE_PART)

    @pytest.mark.parametrize('slots', FLEETS)
    def test_no_domain_takes_more_than_its_slots(self, slots):
        # Guards against a domain that is given its neighbour's excess and that of
        # other regions for the same spare slots.
        total_slots = sum(slots.values())
        for name, own_slots in slots.items():
            taken = sum(shares[name] for shares in shares_of(slots).values())
            assert taken <= own_slots / total_slots * (1 + SURGE_PART)

    @pytest.mark.parametrize('slots', FLEETS)
    def test_no_share_is_negative(self, slots):
        assert all(min(shares.values()) >= 0 for shares in shares_of(slots).values())

    def test_excess_goes_to_the_region_first(self):
        shares = domain_shares(FLEETS[2], REGIONS, 'x-a')
        # All spare slots of the region are used before those of others.
        assert shares['x-b'] == pytest.approx(18 / 65 - EVEN)
        left = EVEN - 2 / 65 - shares['x-b']
        assert shares['y-b'] + shares['z-a'] == pytest.approx(left, rel=SURGE_PART)

    def test_domain_that_is_evacuated_is_served_by_the_others(self):
        shares = domain_shares(FLEETS[5], REGIONS, 'x-a')
        assert shares['x-a'] == 0
        assert shares['x-b'] == pytest.approx(EVEN / 5)

    def test_every_domain_with_spare_slots_is_in_the_order(self):
        shares = domain_shares(FLEETS[1], REGIONS, 'y-a')
        assert min(shares[name] for name in ('y-b', 'z-a', 'z-b')) > 0

    def test_without_slots_there_are_no_shares(self):
        assert not domain_shares({}, REGIONS, 'x-a')

    def test_unknown_domains_take_requests(self):
        shares = domain_shares({'x-a': 5, 'new-a': 25}, REGIONS, 'x-b')
        assert shares['new-a'] > shares['x-a']


def servers(*names: str) -> list[RankedServer]:
    """Return servers by names such as `x-a-1`, in this order."""
    return [RankedServer(name, name[:3], name[0]) for name in names]


class TestGroupByDomain:
    """The order of ranked servers by their distance from the first."""

    def test_domain_comes_first_then_its_region(self):
        ranked = servers('x-a-1', 'z-a-1', 'x-b-1', 'x-a-2', 'y-a-1')
        assert group_by_domain(ranked, (9, 9, 9)) == (
            'x-a-1',
            'x-a-2',
            'x-b-1',
            'z-a-1',
            'y-a-1',
        )

    def test_servers_of_other_regions_come_before_the_rest_of_the_domain(self):
        # A surge of one region has to find servers of others among the first, which
        # are the only ones that are rated.
        names = [f'{domain}-{number}' for number in range(8) for domain in REGIONS]
        order = group_by_domain(servers(*names), (2, 2, 4))
        assert order[:4] == ('x-a-0', 'x-a-1', 'x-b-0', 'x-b-1')
        assert {name[0] for name in order[4:8]} == {'y', 'z'}

    def test_every_server_is_in_the_order_once(self):
        names = [f'{domain}-{number}' for number in range(4) for domain in REGIONS]
        order = group_by_domain(servers(*names), (2, 2, 4))
        assert sorted(order) == sorted(names)

    def test_missing_servers_of_the_domain_are_not_replaced_by_others(self):
        order = group_by_domain(servers('x-a-1', 'y-a-1', 'z-a-1'), (2, 2, 1))
        assert order == ('x-a-1', 'y-a-1', 'z-a-1')

    def test_without_servers_the_order_is_empty(self):
        assert not group_by_domain([], (2, 2, 4))
