"""Keep to what a backend server asks of its callers in its responses.

A server may name a rate that it takes from all hosts together. Each host hears of it in
the responses to its own requests, and from other hosts. Only a few hosts of the
server's region send to it then, each at an even part of the rate.
"""

import math

# Hosts whose first requests may come at once in addition to the rate.
_EXTRA_SENDERS = 2
# A server that takes almost nothing is still asked now and then: only its responses
# tell that the limit has ended.
_MIN_RATE_PER_S = 0.2
# Other hosts are told of a response for this long.
_REPORT_TTL_S = 3.0
# If no host has had a response for this long, any host may send a request, since those
# that should may have none to send.
_SILENCE_S = 10.0
_MAX_RETRY_AFTER_S = 3600.0


def limit_sender_count(rate_per_s: float, host_count: int) -> int:
    """Return how many hosts may send to a server that takes a limited rate."""
    return max(1, min(host_count, int(rate_per_s) + _EXTRA_SENDERS))


class Backpressure:
    """Hold what one run of a server has asked for; times are on the boot clock."""

    __slots__ = (
        '_held_until_s',
        '_is_own_statement',
        '_next_s',
        'is_leaving',
        'limit_stated_s',
        'rate_limit_per_s',
    )

    def __init__(self) -> None:
        self.is_leaving = False
        # Requests per second from all hosts together, or None.
        self.rate_limit_per_s: float | None = None
        # When the server last named a limit, or showed that it has ended.
        self.limit_stated_s = -math.inf
        self._is_own_statement = False
        self._held_until_s = -math.inf
        self._next_s = -math.inf

    def note_retry_after(self, now_s: float, delay_s: float) -> None:
        """Record that the server wants no request from this host for a time."""
        until_s = now_s + min(delay_s, _MAX_RETRY_AFTER_S)
        self._held_until_s = max(self._held_until_s, until_s)

    def note_limit(
        self, now_s: float, sent_s: float, rate_limit_per_s: float | None
    ) -> None:
        """Record the limit in a response, or its absence."""
        if rate_limit_per_s is None and sent_s <= self.limit_stated_s:
            # The response may have been written before the limit was named.
            return
        if rate_limit_per_s is None and self.rate_limit_per_s is None:
            return
        self.rate_limit_per_s = rate_limit_per_s
        self.limit_stated_s = now_s
        self._is_own_statement = True

    def note_reported_limit(
        self, now_s: float, age_s: float, rate_limit_per_s: float | None
    ) -> None:
        """Record a limit that the server named to another host, or its end."""
        stated_s = now_s - age_s
        if stated_s > self.limit_stated_s:
            self.rate_limit_per_s = rate_limit_per_s
            self.limit_stated_s = stated_s
            self._is_own_statement = False

    def limit_age_s(self, now_s: float) -> float | None:
        """Return the age of the limit, or of its end, to report, or None."""
        age_s = now_s - self.limit_stated_s
        return age_s if self._is_own_statement and age_s < _REPORT_TTL_S else None

    def may_send(self, now_s: float, *, is_sender: bool) -> bool:
        """Return whether a request may be sent now."""
        if self.is_leaving or now_s < self._held_until_s:
            return False
        if self.rate_limit_per_s is None:
            return True
        is_silent = now_s - self.limit_stated_s > _SILENCE_S
        return now_s >= self._next_s and (is_sender or is_silent)

    def begin(self, now_s: float, sender_count: int) -> None:
        """Record that a request is sent; `sender_count` hosts share the limit."""
        if self.rate_limit_per_s is not None:
            rate_per_s = max(self.rate_limit_per_s, _MIN_RATE_PER_S)
            self._next_s = now_s + sender_count / rate_per_s
