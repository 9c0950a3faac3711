"""Test heartbeats whose limits of servers, or their ages, are no usable numbers."""

import math

import msgspec
import pytest

from cicadadoor.decisions.backpressure import Backpressure, limit_sender_count
from cicadadoor.entry.decoding import decode_heartbeat
from tests.test_unreadable_messages import HEARTBEAT

_NOW_S = 100.0
_LATER_S = 200.0


def receive(limit: tuple[float | None, float]) -> Backpressure:
    """Return what a host makes of a limit in a heartbeat."""
    sent = msgspec.structs.replace(HEARTBEAT, limits={1: limit, 5: (6.0, 0.5)})
    heartbeat = decode_heartbeat(msgspec.msgpack.encode(sent))
    assert heartbeat.limits[5] == (6.0, 0.5)
    backpressure = Backpressure()
    if 1 in heartbeat.limits:
        rate_per_s, age_s = heartbeat.limits[1]
        backpressure.note_reported_limit(_NOW_S, age_s, rate_per_s)
    return backpressure


class TestOddLimits:
    """Guard against a server that no request can be sent to any more."""

    @pytest.mark.parametrize('rate_per_s', (math.nan, math.inf, -math.inf))
    def test_limit_that_is_no_rate_is_not_applied(self, rate_per_s):
        """Fails with an exception in the choice of a server, for every request."""
        limit_per_s = receive((rate_per_s, 0.5)).rate_limit_per_s
        assert limit_sender_count(limit_per_s or 0, 3)

    @pytest.mark.parametrize('age_s', (-1e12, -math.inf))
    def test_limit_of_the_future_does_not_outlast_the_answers(self, age_s):
        backpressure = receive((0.0, age_s))
        backpressure.note_limit(_LATER_S, _LATER_S - 1, None)
        assert backpressure.may_send(_LATER_S, is_sender=False)

    def test_longest_limit_of_a_server_is_passed_on(self):
        assert receive((1e32, 0.5)).rate_limit_per_s == 1e32
