"""Count tokens that come at a rate and are kept up to a burst."""

import math


class TokenBucket:
    """Hold tokens; an empty start, because a predecessor may have spent the burst."""

    __slots__ = ('_refilled_s', 'burst', 'rate_per_s', 'tokens')

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = 0.0
        self._refilled_s = now_s

    def take(self, now_s: float, wanted: float = 1) -> bool:
        """Take tokens if there are enough; tell whether they were taken."""
        self._refill(now_s)
        if self.tokens < wanted:
            return False
        self.tokens -= wanted
        return True

    def put(self, now_s: float, tokens: float) -> None:
        """Add tokens received from elsewhere; what exceeds the burst is lost."""
        self._refill(now_s)
        self.tokens = min(self.burst, self.tokens + tokens)

    def resize(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change rate and burst from now on."""
        if rate_per_s == self.rate_per_s and burst == self.burst:
            return
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def wait_s(self, now_s: float, wanted: float = 1) -> float:
        """Return the time until enough tokens are there, or infinity."""
        self._refill(now_s)
        missing = wanted - self.tokens
        if missing <= 0:
            return 0
        if self.rate_per_s <= 0 or wanted > self.burst:
            return math.inf
        return missing / self.rate_per_s

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0, now_s - self._refilled_s)
        self._refilled_s = max(self._refilled_s, now_s)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
