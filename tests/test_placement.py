"""Test the placement of requests on backend servers."""

import pytest

from cicadadoor.decisions.placement import (
    CacheState,
    Candidate,
    Choice,
    WeightedServer,
    choose,
    rank,
    region_weights,
)

SERVERS = [WeightedServer(f'server-{number}', 8) for number in range(12)]
OBJECTS = [f'timetable:{number}' for number in range(600)]


class TestRank:
    """The ranking of backend servers for an object."""

    def test_order_does_not_depend_on_the_order_of_the_servers(self):
        assert rank(list(reversed(SERVERS)), 'timetable:7') == rank(
            SERVERS, 'timetable:7'
        )

    def test_objects_spread_over_all_servers(self):
        first_servers = [rank(SERVERS, key)[0] for key in OBJECTS]
        counts = [first_servers.count(server.name) for server in SERVERS]
        assert min(counts) > len(OBJECTS) / len(SERVERS) / 2

    def test_removed_server_moves_only_its_own_objects(self):
        removed = SERVERS[3].name
        remaining = [server for server in SERVERS if server.name != removed]
        for key in OBJECTS:
            before = rank(SERVERS, key)
            expected = before[1] if before[0] == removed else before[0]
            assert rank(remaining, key)[0] == expected

    def test_weight_sets_the_share_of_the_objects(self):
        servers = [WeightedServer('small', 1), WeightedServer('large', 3)]
        large = [rank(servers, key)[0] for key in OBJECTS].count('large')
        assert large / len(OBJECTS) == pytest.approx(0.75, abs=0.07)


def cached(name: str, utilisation: float) -> Candidate:
    return Candidate(name, utilisation, CacheState.CACHED)


def loading(name: str, utilisation: float) -> Candidate:
    return Candidate(name, utilisation, CacheState.LOADING)


def not_cached(name: str, utilisation: float) -> Candidate:
    return Candidate(name, utilisation, CacheState.NOT_CACHED)


def chosen(*ranked: Candidate, may_wait: bool = True) -> Choice:
    return choose(
        ranked,
        preferred_count=2,
        spill_utilisation=1.5,
        max_utilisation=2.0,
        may_wait=may_wait,
    )


class TestChoose:
    """The choice among ranked servers by their load and cache state."""

    def test_known_server_is_kept_while_it_has_room(self):
        assert chosen(cached('a', 1.4), not_cached('b', 0)).send_to == 'a'

    def test_known_server_is_taken_before_an_emptier_one_of_higher_rank(self):
        assert chosen(not_cached('a', 0), cached('b', 1.0)).send_to == 'b'

    def test_known_server_of_low_rank_is_preferred_over_learning(self):
        ranked = (not_cached('a', 0), not_cached('b', 0), cached('c', 0.5))
        assert chosen(*ranked).send_to == 'c'

    def test_second_server_learns_what_the_first_has_no_room_for(self):
        assert chosen(cached('a', 1.6), not_cached('b', 0.5)).send_to == 'b'

    def test_request_waits_for_a_server_that_learns_its_object(self):
        assert chosen(loading('a', 0.5), not_cached('b', 0)).wait_for == 'a'

    def test_request_that_cannot_wait_is_sent_to_a_lightly_loaded_server(self):
        ranked = (loading('a', 0.9), not_cached('b', 0.3))
        assert chosen(*ranked, may_wait=False).send_to == 'b'

    def test_request_that_cannot_wait_is_refused_without_such_a_server(self):
        choice = chosen(loading('a', 0.9), not_cached('b', 0.7), may_wait=False)
        assert choice.send_to is None
        assert choice.wait_for is None

    def test_full_server_learns_nothing(self):
        assert chosen(not_cached('a', 1.0), not_cached('b', 1.2)).send_to is None

    def test_servers_of_low_rank_learn_nothing(self):
        ranked = (not_cached('a', 1.0), not_cached('b', 1.0), not_cached('c', 0))
        assert chosen(*ranked).send_to is None

    def test_known_server_queues_up_to_the_limit(self):
        assert chosen(cached('a', 1.9), cached('b', 1.7)).send_to == 'b'
        assert chosen(cached('a', 2.0), cached('b', 2.1)).send_to is None

    def test_nothing_is_chosen_without_servers(self):
        assert chosen().send_to is None


class TestRegionWeights:
    """The weights that keep requests in their region."""

    slots = {'muenchen': 48, 'nuernberg': 16, 'augsburg': 32}
    demand = {'muenchen': 2.0, 'nuernberg': 2.0, 'augsburg': 2.0}

    def shares(self, region: str) -> dict[str, float]:
        weights = region_weights(self.slots, self.demand, region, 0.75)
        parts = {name: weights[name] * self.slots[name] for name in weights}
        total = sum(parts.values())
        return {name: part / total for name, part in parts.items()}

    def test_region_with_enough_slots_keeps_all_requests(self):
        assert self.shares('muenchen')['muenchen'] == pytest.approx(1.0)

    def test_small_region_sends_its_excess_to_other_regions(self):
        shares = self.shares('nuernberg')
        assert shares['nuernberg'] == pytest.approx(2 / 3, abs=0.01)
        assert shares['muenchen'] > shares['augsburg']

    def test_no_region_exceeds_the_target_utilisation(self):
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
        assert not region_weights({}, self.demand, 'augsburg', 0.75)
