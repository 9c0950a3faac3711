"""Limits that bind over all hosts, shared among them."""

import random

import pytest

from cicadadoor.decisions.host_shares import (
    Demand,
    Pace,
    SlowGrowth,
    cold_gap_s,
    senders_to_cold,
    wanted_share,
)


class TestWantedShare:
    """A host's part of a limit."""

    def test_parts_add_up_to_the_whole(self):
        demand = {'a': 5.0, 'b': 0.0, 'c': 1.0}
        total = sum(
            wanted_share(
                own,
                {other: rate for other, rate in demand.items() if other != name},
                3,
            )
            for name, own in demand.items()
        )
        assert total == pytest.approx(1.0)

    def test_host_without_demand_keeps_a_part_for_its_first_requests(self):
        assert wanted_share(0.0, {'b': 10.0}, 2) > 0

    def test_parts_are_even_without_demand(self):
        assert wanted_share(0.0, {}, 8) == pytest.approx(1 / 8)


class TestSlowGrowth:
    """Parts that shrink at once and grow late."""

    def test_part_shrinks_at_once(self):
        growth = SlowGrowth(1.0)
        growth.update(0.5, 10.0)
        assert growth.update(0.2, 10.1) == 0.2

    def test_part_grows_after_the_delay(self):
        growth = SlowGrowth(1.0)
        growth.update(0.2, 10.0)
        assert growth.update(0.5, 10.9) == 0.2
        assert growth.update(0.5, 11.1) == 0.5

    def test_demand_that_moves_between_hosts_never_exceeds_the_whole(self):
        # Each host hears of the others a beat late.
        source = random.Random(7)
        growths = [SlowGrowth(1.0) for _ in range(4)]
        demand = [1.0, 1.0, 1.0, 1.0]
        for step in range(400):
            heard = list(demand)
            demand = [max(0.0, rate + source.uniform(-1, 1)) for rate in demand]
            total = 0.0
            for number, growth in enumerate(growths):
                others = {
                    str(other): heard[other] for other in range(4) if other != number
                }
                wanted = wanted_share(demand[number], others, 4)
                total += growth.update(wanted, step * 0.25)
            assert total <= 1.05


class TestDemand:
    """Requests per second as an average."""

    def test_average_follows_a_steady_rate(self):
        demand = Demand(0.0)
        for step in range(1, 100):
            for _ in range(5):
                demand.add()
            demand.update(step * 0.25, memory_s=1.5)
        assert demand.rate_per_s == pytest.approx(20.0, rel=0.05)


class TestColdServers:
    """Requests of all hosts to one cold backend server."""

    @pytest.mark.parametrize('host_count', (3, 8, 11, 60, 91))
    @pytest.mark.parametrize('rate_per_s', (2.0, 6.0, 6.8))
    def test_no_second_brings_more_than_is_allowed(self, host_count, rate_per_s):
        senders = senders_to_cold(rate_per_s, 1.5, 5, host_count)
        gap_s = cold_gap_s(rate_per_s, senders)
        source = random.Random(host_count)
        sends: list[float] = []
        for _ in range(senders):
            pace = Pace()
            now_s = source.random()
            while now_s < 20:
                if pace.may_send(now_s):
                    pace.send(now_s, gap_s)
                    sends.append(now_s)
                now_s += 0.01
        sends.sort()
        for start_s in sends:
            within = sum(start_s <= sent_s < start_s + 1 for sent_s in sends)
            assert within <= rate_per_s * 1.5 + 5

    def test_cold_server_gets_requests_at_all(self):
        assert cold_gap_s(6.8, senders_to_cold(6.8, 1.5, 5, 8)) < 2
