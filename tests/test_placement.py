"""Placement of requests on backend servers."""

import pytest

from cicadadoor.decisions.placement import (
    Room,
    Weighted,
    choose,
    rank,
    region_weights,
)

SERVERS = [Weighted(f'server-{number}', 8) for number in range(12)]
OBJECTS = [f'timetable:{number}' for number in range(600)]


class TestRank:
    """The order in which an object prefers backend servers."""

    def test_order_does_not_depend_on_the_order_of_the_servers(self):
        assert rank(SERVERS, 'timetable:7') == rank(SERVERS[::-1], 'timetable:7')

    def test_objects_spread_over_all_servers(self):
        firsts = [rank(SERVERS, key)[0] for key in OBJECTS]
        counts = [firsts.count(server.name) for server in SERVERS]
        assert min(counts) > len(OBJECTS) / len(SERVERS) / 2

    def test_server_that_goes_moves_only_its_own_objects(self):
        gone = SERVERS[3].name
        left = [server for server in SERVERS if server.name != gone]
        for key in OBJECTS:
            before = rank(SERVERS, key)
            expected = before[1] if before[0] == gone else before[0]
            assert rank(left, key)[0] == expected

    def test_weight_sets_the_share_of_the_objects(self):
        servers = [Weighted('small', 1), Weighted('large', 3)]
        large = [rank(servers, key)[0] for key in OBJECTS].count('large')
        assert large / len(OBJECTS) == pytest.approx(0.75, abs=0.07)


class TestChoose:
    """The choice among ranked servers by their room."""

    def choose(self, **loads: float) -> str | None:
        return choose(
            ('first', 'second', 'third', 'fourth'),
            {name: Room(load, 8) for name, load in loads.items()},
            near_count=3,
            spill_fullness=1.5,
            limit_fullness=2.0,
        )

    def test_first_server_is_kept_while_it_has_room(self):
        assert self.choose(first=11, second=0, third=0, fourth=0) == 'first'

    def test_second_server_takes_what_the_first_has_no_room_for(self):
        assert self.choose(first=12, second=3, third=0, fourth=0) == 'second'

    def test_server_without_a_room_entry_is_passed_over(self):
        assert self.choose(second=3, third=0) == 'second'

    def test_emptiest_server_is_taken_when_the_preferred_ones_are_full(self):
        assert self.choose(first=13, second=14, third=15, fourth=5) == 'fourth'

    def test_nothing_is_chosen_when_all_are_over_the_limit(self):
        assert self.choose(first=16, second=17, third=18, fourth=16) is None

    def test_nothing_is_chosen_without_servers(self):
        assert self.choose() is None


class TestRegionWeights:
    """The weights that keep requests near."""

    slots = {'muenchen': 48, 'nuernberg': 16, 'augsburg': 32}
    demand = {'muenchen': 2.0, 'nuernberg': 2.0, 'augsburg': 2.0}

    def shares(self, region: str) -> dict[str, float]:
        weights = region_weights(self.slots, self.demand, region, 0.75)
        parts = {name: weights[name] * self.slots[name] for name in weights}
        total = sum(parts.values())
        return {name: part / total for name, part in parts.items()}

    def test_region_with_enough_slots_keeps_all_requests(self):
        assert self.shares('muenchen')['muenchen'] == pytest.approx(1.0)

    def test_small_region_sends_away_what_it_can_not_carry(self):
        shares = self.shares('nuernberg')
        assert shares['nuernberg'] == pytest.approx(2 / 3, abs=0.01)
        assert shares['muenchen'] > shares['augsburg']

    def test_no_region_gets_more_than_the_target_use(self):
        per_region = dict.fromkeys(self.slots, 0.0)
        for region in self.slots:
            for name, share in self.shares(region).items():
                per_region[name] += share / 3
        for name, share in per_region.items():
            assert share <= self.slots[name] / 96 / 0.75 + 1e-9

    def test_region_without_slots_sends_everything_away(self):
        weights = region_weights({'muenchen': 8}, self.demand, 'augsburg', 0.75)
        assert weights['muenchen'] > 0

    def test_without_servers_there_are_no_weights(self):
        assert region_weights({}, self.demand, 'augsburg', 0.75) == {}
