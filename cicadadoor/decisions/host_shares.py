"""Split limits that apply to all hosts together, without a request per decision.

Adapts to uneven demand: each host receives the demand of the others and computes its
own share from it. A share shrinks at once and grows only after every other host has
had time to receive the change, so that the shares never add up to more than 1.
"""

import math
from collections import deque
from collections.abc import Mapping

# Fraction of the limit that is split evenly, for the first requests of a host.
EVEN_FRACTION = 0.3
# Part of the spare tolerance that hosts which start may use for their first requests.
_START_FRACTION = 0.5
# A delayed request may arrive within the same second as the next one, so only this
# share of the allowed rate is planned.
_COLD_USABLE_SHARE = 0.6
# Above one second, so that no host sends twice to a cold server within a second.
_MIN_GAP_S = 1.01


def wanted_share(
    own: float,
    others: Mapping[str, float],
    host_count: int,
    unknown_count: int = 0,
) -> float:
    """Return this host's share of a limit, based on its share of the demand.

    Of `host_count` hosts, `unknown_count` have not reported any demand yet. They count
    with the average of those that have, since they may already use their shares.
    """
    even = 1 / max(1, host_count)
    total = own + sum(others.values())
    if total <= 0:
        return even
    known_fraction = 1 - unknown_count * even
    return EVEN_FRACTION * even + (1 - EVEN_FRACTION) * known_fraction * own / total


def start_allowance(spare: float, host_count: int) -> float:
    """Return the tokens that a host has as soon as it starts.

    All hosts may start at once, after they have just used their shares, so their
    allowances together stay within `spare`: what the tolerance leaves beyond the
    shares. Where it suffices, a first request is admitted; more than that uses only a
    part of it, since a host may start twice within the window of the limit.
    """
    each = spare / max(1, host_count)
    return max(min(1.0, each), _START_FRACTION * each)


def initial_tokens(
    burst: float, rate_per_s: float, uptime_s: float, allowance: float
) -> float:
    """Return the tokens with which a host starts to use its share of a limit.

    Its previous run may have used the burst just before, so only what has accrued since
    the host started is available, and its allowance.
    """
    return min(burst, allowance + rate_per_s * uptime_s)


class SlidingMinimum:
    """Return the smallest value within a sliding time window."""

    __slots__ = ('_recent', 'delay_s')

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self._recent: deque[tuple[float, float]] = deque()

    def update(self, value: float, now_s: float) -> float:
        """Add a value and return the smallest one within the delay."""
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

    def expect(self, rate_per_s: float) -> None:
        """Raise the average to the demand that is expected before it is measured."""
        self.rate_per_s = max(self.rate_per_s, rate_per_s)

    def update(self, now_s: float, time_constant_s: float) -> None:
        """Add the requests counted since the last call to the average."""
        elapsed_s = now_s - self._since_s
        if elapsed_s <= 0:
            return
        gain = 1 - math.exp(-elapsed_s / time_constant_s)
        self.rate_per_s += gain * (self._count / elapsed_s - self.rate_per_s)
        self._count = 0
        self._since_s = now_s


# Requests admitted beyond the rate are compensated within _OVERDRAFT_RECOVERY_S; what
# is left of the burst is spread over _BURST_SPREAD_S.
_OVERDRAFT_RECOVERY_S = 0.4
_BURST_SPREAD_S = 10.0
# Hosts of other regions report a surge later than those of the own region, so a surge
# in the own region is assumed to affect all regions.
_BASELINE_TIME_CONSTANT_S = 4.0
# Demand below this fraction of the limit does not count as a surge.
_MIN_BASELINE_FRACTION = 0.5
_MAX_SURGE_FACTOR = 8.0


class ProbabilisticLimiter:
    """Admit a random fraction of requests, the same on all hosts.

    For limits of less than one request per second and host: a share of the limit for
    each host would then refuse many requests of a caller that keeps to the limit. Each
    host estimates the requests admitted by all hosts from the demand they report.
    """

    __slots__ = ('_tokens', '_updated_s', '_baseline_per_s', 'admitted_fraction')

    def __init__(self, tokens: float, now_s: float) -> None:
        self.admitted_fraction = 1.0
        self._tokens = tokens
        self._updated_s = now_s
        self._baseline_per_s = 0.0

    def update(
        self,
        now_s: float,
        *,
        rate_per_s: float,
        burst: float,
        near_per_s: float,
        far_per_s: float,
        near_fraction: float,
    ) -> None:
        """Update the fraction from the limit and the demand in this and other regions.

        `near_fraction` is this region's share of all hosts.
        """
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        baseline_per_s = _MIN_BASELINE_FRACTION * rate_per_s * near_fraction
        surge_factor = self._surge_factor(near_per_s, baseline_per_s, elapsed_s)
        offered_per_s = near_per_s + far_per_s * surge_factor
        self._tokens += (
            rate_per_s - self.admitted_fraction * offered_per_s
        ) * elapsed_s
        self._tokens = min(burst, self._tokens)
        use_s = _BURST_SPREAD_S if self._tokens > 0 else _OVERDRAFT_RECOVERY_S
        allowed_per_s = max(0.0, rate_per_s + self._tokens / use_s)
        self.admitted_fraction = 1.0
        if offered_per_s > allowed_per_s:
            self.admitted_fraction = allowed_per_s / offered_per_s

    def admits(self, sample: float) -> bool:
        """Return whether to admit a request; `sample` is random, from 0 to 1."""
        return sample < self.admitted_fraction

    def _surge_factor(
        self,
        near_per_s: float,
        min_baseline_per_s: float,
        elapsed_s: float,
    ) -> float:
        gain = 1 - math.exp(-elapsed_s / _BASELINE_TIME_CONSTANT_S)
        self._baseline_per_s += gain * (near_per_s - self._baseline_per_s)
        baseline_per_s = max(self._baseline_per_s, min_baseline_per_s)
        if baseline_per_s <= 0:
            return 1.0
        return min(_MAX_SURGE_FACTOR, max(1.0, near_per_s / baseline_per_s))


class SendPacer:
    """Space out one host's requests to a cold backend server.

    Within any second all hosts together may send the server's rate times the overrun
    plus a slack. Only a few hosts may send, and each keeps a gap between requests.
    """

    __slots__ = ('_next_s',)

    def __init__(self) -> None:
        self._next_s = -math.inf

    def may_send(self, now_s: float) -> bool:
        """Return whether this host's gap has passed."""
        return now_s >= self._next_s

    def send(self, now_s: float, gap_s: float) -> None:
        """Record a request that is sent."""
        self._next_s = now_s + gap_s


def cold_sender_count(
    rate_per_s: float,
    overrun: float,
    slack: float,
    host_count: int,
) -> int:
    """Return how many hosts may send to a cold server, one request per gap each."""
    allowed = rate_per_s * overrun + slack
    return max(1, min(host_count, int(allowed * _COLD_USABLE_SHARE)))


def cold_gap_s(rate_per_s: float, senders: int) -> float:
    """Return the seconds between two requests of one host to a cold server."""
    if rate_per_s <= 0:
        return math.inf
    return max(_MIN_GAP_S, senders / rate_per_s)
