"""Choose a backend server by requests in flight, latency and reported load."""

import math
import random
import zlib
from collections.abc import Collection, Sequence
from statistics import median

# A reported load may be stale or wrong, so it counts less than this gate's own
# request count and expires unless it is renewed.
REPORT_WEIGHT = 0.25
REPORT_MAX_AGE_S = 5.0
# Without a limit, a server with one slow response gets no request that could correct
# its average while another server has a free slot.
LATENCY_MAX_AGE_S = 5.0
RAMP_S = 10.0
_RAMP_START_SHARE = 0.2
_LATENCY_GAIN = 0.2
# Smaller ratios are noise. Without the tolerance, the server with the lower average
# gets all requests at a low rate until the other average is outdated.
_LATENCY_TOLERANCE = 1.5
_MIN_LATENCY_FACTOR = 0.5
_MAX_LATENCY_FACTOR = 4.0
_SHED_PAUSE_S = 0.2


class ServerLoad:
    """Track one server's load as this gate sees it; times are on the boot clock."""

    __slots__ = (
        'in_flight',
        'latency_s',
        'latency_sampled_s',
        'paused_until_s',
        'ramp_from_s',
        'reported',
        'reported_s',
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.latency_s = 0.0
        self.latency_sampled_s = -math.inf
        self.paused_until_s = -math.inf
        self.ramp_from_s = -math.inf
        self.reported = 0.0
        self.reported_s = -math.inf

    def note_latency(self, took_s: float, now_s: float) -> None:
        """Add a sample to the average latency; it replaces an outdated average."""
        gain = max(_LATENCY_GAIN, 1 - self.latency_weight(now_s))
        self.latency_s += gain * (took_s - self.latency_s)
        self.latency_sampled_s = now_s

    def latency_weight(self, now_s: float) -> float:
        """Return the weight of the average latency, from 1 (new) to 0 (outdated)."""
        return max(0.0, 1 - (now_s - self.latency_sampled_s) / LATENCY_MAX_AGE_S)

    def note_report(self, load: float, now_s: float) -> None:
        """Record the load that the server reports, from 0 (idle) to 1 (full)."""
        if math.isfinite(load):
            self.reported = min(1.0, max(0.0, load))
            self.reported_s = now_s

    def note_shed(self, now_s: float) -> None:
        """Prefer other servers for a short time after the server has shed a request."""
        self.paused_until_s = now_s + _SHED_PAUSE_S

    def soft_limit(self, slots: int, now_s: float) -> int:
        """Return the slots to use, fewer while the server warms up or has shed load."""
        if now_s < self.paused_until_s:
            return min(slots, self.in_flight)
        warm_share = max(0.0, (now_s - self.ramp_from_s) / RAMP_S)
        if warm_share >= 1:
            return slots
        return max(1, int(slots * max(_RAMP_START_SHARE, warm_share)))

    def score(self, slots: int, typical_latency_s: float, now_s: float) -> float:
        """Return the expected load after one more request; lower is better."""
        own_load = (self.in_flight + 1) / slots
        freshness = 1 - (now_s - self.reported_s) / REPORT_MAX_AGE_S
        reported_part = REPORT_WEIGHT * self.reported * max(0.0, freshness)
        return own_load * self._latency_factor(typical_latency_s, now_s) + reported_part

    def _latency_factor(self, typical_latency_s: float, now_s: float) -> float:
        weight = self.latency_weight(now_s)
        if weight <= 0 or typical_latency_s <= 0:
            return 1.0
        factor = self.latency_s / typical_latency_s
        if 1 / _LATENCY_TOLERANCE < factor < _LATENCY_TOLERANCE:
            return 1.0
        limited = min(_MAX_LATENCY_FACTOR, max(_MIN_LATENCY_FACTOR, factor))
        return 1 + weight * (limited - 1)


class Candidate:
    """Hold a backend server and the number of its slots that this gate may use."""

    __slots__ = ('load', 'name', 'slots')

    def __init__(self, name: str, slots: int, load: ServerLoad) -> None:
        self.name = name
        self.slots = slots
        self.load = load


def choose(
    candidates: Sequence[Candidate],
    now_s: float,
    rng: random.Random,
) -> Candidate | None:
    """Return the better of two random candidates with a free slot, or None.

    Servers that warm up or have just shed load are used only if no other server has a
    free slot.
    """
    free = [each for each in candidates if each.load.in_flight < each.slots]
    preferred = [
        each
        for each in free
        if each.load.in_flight < each.load.soft_limit(each.slots, now_s)
    ]
    pool = preferred or free
    if not pool:
        return None
    known = [
        each.load.latency_s
        for each in candidates
        if each.load.latency_weight(now_s) > 0
    ]
    typical_s = median(known) if known else 0.0
    pair = rng.sample(pool, min(2, len(pool)))
    return min(pair, key=lambda each: each.load.score(each.slots, typical_s, now_s))


def seat_share(
    total: int,
    seats: Collection[int],
    seat_count: int,
    name: str,
) -> int:
    """Return how many of a server's slots or connections belong to some seats.

    The shares of all seats add up to the total. The seats that get the remainder
    depend on the server's name, so that with more seats than slots the servers are
    spread over all seats.
    """
    offset = zlib.crc32(name.encode())
    share = 0
    for seat in set(seats):
        if 0 <= seat < seat_count:
            position = (seat + offset) % seat_count
            share += max(0, math.ceil((total - position) / seat_count))
    return share
