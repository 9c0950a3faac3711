"""Test the selection of the hosts that a caller is told to use."""

import random
from collections import Counter

import pytest

from cicadadoor.decisions.host_selection import select_hosts

_CALLERS = 40_000
# Capacities of hosts in cores, as limited by their links and processors.
FLEETS = (
    (2.0, 1.0, 1.0, 0.5, 0.5),
    (1.0, 1.0, 1.0, 1.0, 0.25),
    (0.3, 0.5, 0.9, 1.4, 2.15, 1.0, 0.6, 0.3),
    (2.15, 2.15, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3),
)


def requests_by_host(capacities: tuple[float, ...]) -> list[float]:
    """Return each host's share of the requests, relative to its capacity."""
    generator = random.Random(7)
    counts: Counter[int] = Counter()
    for _ in range(_CALLERS):
        counts[generator.choice(select_hosts(capacities, generator))] += 1
    total = sum(capacities)
    return [
        counts[index] / _CALLERS / (capacity / total)
        for index, capacity in enumerate(capacities)
    ]


class TestSelectHosts:
    """The hosts that callers of one failure domain are named."""

    @pytest.mark.parametrize('capacities', FLEETS)
    def test_requests_are_in_proportion_to_capacity(self, capacities):
        # Guards against a small host that meets the load of a large one.
        shares = requests_by_host(capacities)
        assert max(shares) <= 1.3
        assert min(shares) >= 0.7

    def test_equal_hosts_are_all_named(self):
        selected = select_hosts((0.5,) * 9, random.Random(1))
        assert sorted(selected) == list(range(9))

    def test_hosts_without_a_known_capacity_are_all_named(self):
        assert sorted(select_hosts((0.0, 0.0), random.Random(1))) == [0, 1]

    def test_there_is_always_another_host_to_go_on_to(self):
        generator = random.Random(1)
        for _ in range(200):
            selected = select_hosts((20.0, 0.3, 0.3, 0.3), generator)
            assert len(selected) == 3

    def test_no_host_is_named_twice(self):
        generator = random.Random(1)
        for capacities in FLEETS:
            selected = select_hosts(capacities, generator)
            assert len(set(selected)) == len(selected)

    def test_without_hosts_none_is_named(self):
        assert not select_hosts((), random.Random(1))
