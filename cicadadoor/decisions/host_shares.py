"""Share limits that bind over all hosts among them, without asking.

Answers uneven demand: each host hears the demand of the others and takes the part
that follows from it. A part shrinks at once and grows only after every other host has
had time to hear of it, so that the parts do not add up to more than the whole.
"""

import math
from collections import deque
from collections.abc import Mapping

# Part of the limit that is split evenly; it serves the first requests of a host.
EVEN_FRACTION = 0.3
# A request that waits on the way may arrive in the next one's second.
_COLD_USABLE_SHARE = 0.6
# No host sends twice to a cold server within a second.
_MIN_GAP_S = 1.01


def wanted_share(own: float, others: Mapping[str, float], host_count: int) -> float:
    """Return this host's part of a limit by its part of the demand."""
    even = 1 / max(1, host_count)
    total = own + sum(others.values())
    if total <= 0:
        return even
    return EVEN_FRACTION * even + (1 - EVEN_FRACTION) * own / total


class SlidingMinimum:
    """Hand out the smallest of the values of the last while."""

    __slots__ = ('_recent', 'delay_s')

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self._recent: deque[tuple[float, float]] = deque()

    def update(self, value: float, now_s: float) -> float:
        """Add a value, and return the smallest within the delay."""
        while self._recent and self._recent[-1][1] >= value:
            self._recent.pop()
        self._recent.append((now_s, value))
        while self._recent[0][0] < now_s - self.delay_s and len(self._recent) > 1:
            self._recent.popleft()
        return self._recent[0][1]


class Demand:
    """Measure requests per second as an exponential average."""

    __slots__ = ('_count', '_since_s', 'rate_per_s')

    def __init__(self, now_s: float) -> None:
        self.rate_per_s = 0.0
        self._count = 0
        self._since_s = now_s

    def add(self) -> None:
        """Count a request."""
        self._count += 1

    def update(self, now_s: float, time_constant_s: float) -> None:
        """Fold what was counted into the average."""
        elapsed_s = now_s - self._since_s
        if elapsed_s <= 0:
            return
        gain = 1 - math.exp(-elapsed_s / time_constant_s)
        self.rate_per_s += gain * (self._count / elapsed_s - self.rate_per_s)
        self._count = 0
        self._since_s = now_s


# What was admitted beyond the rate is made up for within this time; what is left of
# the burst is handed out over the longer one.
_OVERDRAFT_RECOVERY_S = 0.4
_BURST_SPREAD_S = 10.0
# Hosts of other regions tell a surge later than those of the region, which is then
# taken to be everywhere.
_USUAL_TIME_CONSTANT_S = 4.0
# Demand below this part of the limit is no surge.
_MIN_USUAL_FRACTION = 0.5
_MAX_SURGE = 8.0


class SharedRate:
    """Admit a random part of requests, the same on all hosts.

    Answers many hosts with a rate of less than a request a second each, where a part
    of the limit for each host would refuse many requests of a caller within it. Each
    host reckons what all of them admitted from the demand that they tell.
    """

    __slots__ = ('_tokens', '_updated_s', '_usual_per_s', 'part')

    def __init__(self, burst: float, now_s: float) -> None:
        self.part = 1.0
        self._tokens = burst
        self._updated_s = now_s
        self._usual_per_s = 0.0

    def update(
        self,
        now_s: float,
        *,
        rate_per_s: float,
        burst: float,
        near_per_s: float,
        far_per_s: float,
        near_part: float,
    ) -> None:
        """Take the limit, and what the hosts of this region and others are offered.

        `near_part` is the part of all hosts that this region has.
        """
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        usual_per_s = _MIN_USUAL_FRACTION * rate_per_s * near_part
        surge = self._surge(near_per_s, usual_per_s, elapsed_s)
        offered_per_s = near_per_s + far_per_s * surge
        self._tokens += (rate_per_s - self.part * offered_per_s) * elapsed_s
        self._tokens = min(burst, self._tokens)
        use_s = _BURST_SPREAD_S if self._tokens > 0 else _OVERDRAFT_RECOVERY_S
        allowed_per_s = max(0.0, rate_per_s + self._tokens / use_s)
        self.part = 1.0
        if offered_per_s > allowed_per_s:
            self.part = allowed_per_s / offered_per_s

    def admits(self, drawn: float) -> bool:
        """Tell whether a request is admitted; `drawn` is random, from 0 to 1."""
        return drawn < self.part

    def _surge(
        self,
        near_per_s: float,
        min_usual_per_s: float,
        elapsed_s: float,
    ) -> float:
        gain = 1 - math.exp(-elapsed_s / _USUAL_TIME_CONSTANT_S)
        self._usual_per_s += gain * (near_per_s - self._usual_per_s)
        usual_per_s = max(self._usual_per_s, min_usual_per_s)
        if usual_per_s <= 0:
            return 1.0
        return min(_MAX_SURGE, max(1.0, near_per_s / usual_per_s))


class SendPacer:
    """Space sends of all hosts to one cold backend server.

    Within any second all hosts together may send its rate times the overrun plus a
    slack. Each of the few hosts that may send at all keeps a gap of its own.
    """

    __slots__ = ('_next_s',)

    def __init__(self) -> None:
        self._next_s = -math.inf

    def may_send(self, now_s: float) -> bool:
        """Tell whether this host's gap has passed."""
        return now_s >= self._next_s

    def send(self, now_s: float, gap_s: float) -> None:
        """Note a send."""
        self._next_s = now_s + gap_s


def senders_to_cold(
    rate_per_s: float,
    overrun: float,
    slack: float,
    host_count: int,
) -> int:
    """Return how many hosts may send to a cold server, one request a gap each."""
    allowed = rate_per_s * overrun + slack
    return max(1, min(host_count, int(allowed * _COLD_USABLE_SHARE)))


def cold_gap_s(rate_per_s: float, senders: int) -> float:
    """Return the time between two sends of one host."""
    if rate_per_s <= 0:
        return math.inf
    return max(_MIN_GAP_S, senders / rate_per_s)
