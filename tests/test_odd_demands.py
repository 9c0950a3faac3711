"""Test heartbeats whose demand is no rate of requests."""

import math

import msgspec
import pytest

from cicadadoor.entry.decoding import decode_heartbeat
from cicadadoor.entry.heartbeats import name_hash
from tests.test_host_shares import _organisation, _quotas
from tests.test_unreadable_messages import HEARTBEAT
from tests.utils.manual_timer import ManualTimer


def heartbeat_with(demand_per_s: float) -> bytes:
    """Encode a heartbeat with this demand of the organisation."""
    demand = {name_hash('school'): demand_per_s, 2: 3.5}
    return msgspec.msgpack.encode(msgspec.structs.replace(HEARTBEAT, demand=demand))


class TestOddDemands:
    """Guard against a host that grants more than the whole limit by itself."""

    @pytest.mark.parametrize('demand_per_s', (math.nan, -99.0, -math.inf, math.inf))
    def test_host_stays_within_the_limit(self, demand_per_s):
        organisation = _organisation(10, 10)
        timer = ManualTimer()
        quotas = _quotas(2, organisation, timer)
        admitted = 0
        for step in range(200):
            if step % 5 == 0:
                heartbeat = decode_heartbeat(heartbeat_with(demand_per_s))
                quotas.on_heartbeats([heartbeat])
            answers = [quotas.take(organisation) for _ in range(5)]
            admitted += answers.count(None)
            timer.jump(0.05)
        # Ten seconds, that is two windows of the limit.
        assert 0 < admitted <= 2 * ((10 * 5 + 10) * 1.1 + 20)

    @pytest.mark.parametrize('demand_per_s', (math.nan, -1.0, math.inf))
    def test_other_demand_of_the_heartbeat_counts(self, demand_per_s):
        assert decode_heartbeat(heartbeat_with(demand_per_s)).demand == {2: 3.5}
