"""Provide token buckets for the rate limits of organisations."""

import math

# Shares are sums of fractions, whose rounding errors must not cost a token.
_ROUNDING_TOLERANCE = 1e-9


class TokenBucket:
    """Hold tokens that are refilled at a fixed rate."""

    __slots__ = ('_refilled_s', 'burst', 'rate_per_s', 'tokens')

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        now_s: float,
        tokens: float = 0,
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = tokens
        self._refilled_s = now_s

    def take(self, now_s: float, wanted: float = 1) -> bool:
        """Take tokens if there are enough; return whether they were taken."""
        elapsed_s = max(0, now_s - self._refilled_s)
        self._refilled_s = max(self._refilled_s, now_s)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
        if self.tokens < wanted - _ROUNDING_TOLERANCE:
            return False
        self.tokens -= wanted
        return True


class TimedShare:
    """Hold a fraction of an organisation's limits that is valid until a deadline."""

    __slots__ = ('deadline_s', 'fraction')

    def __init__(self, fraction: float, deadline_s: float) -> None:
        self.fraction = fraction
        self.deadline_s = deadline_s


class ShareBucket:
    """Hold the tokens of one organisation at one gate.

    The gate owns a fraction of the organisation's rate and burst: its floor, plus a
    lease and borrowed shares until they expire, minus lent shares until they expire.
    Three rules limit all gates together to rate x T + burst in any T seconds:

    - the fractions of all gates never add up to more than 1;
    - a bucket and the tokens in transit to it never exceed its fraction of the burst;
    - a new or growing share brings no tokens, because its previous owner may just
      have spent them.
    """

    __slots__ = (
        '_borrowed',
        '_lease',
        '_lent',
        '_refilled_s',
        '_reserved',
        'burst',
        'floor',
        'rate_per_s',
        'tokens',
    )

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.floor = 0.0
        self.tokens = 0.0
        self._lease = TimedShare(0, now_s)
        self._borrowed: list[TimedShare] = []
        self._lent: list[TimedShare] = []
        self._refilled_s = now_s
        self._reserved = 0.0

    def set_limits(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the organisation's rate and burst from now on."""
        self.refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._clip()

    def set_floor(self, fraction: float, now_s: float) -> None:
        """Change the fraction that this gate owns without a lease from now on."""
        self.refill(now_s)
        self.floor = fraction
        self._clip()

    def set_lease(self, fraction: float, deadline_s: float, now_s: float) -> None:
        """Replace the leased fraction from now on."""
        self.refill(now_s)
        self._lease = TimedShare(fraction, deadline_s)
        self._drop_expired()

    def room(self, now_s: float) -> float:
        """Return how many more tokens the bucket can take from other gates."""
        self.refill(now_s)
        return max(0, self._capacity() - self.tokens)

    def reserve(self, tokens: float, now_s: float) -> None:
        """Reserve capacity before another gate is asked for tokens.

        Otherwise this bucket and that of the giver could both be full again while the
        tokens are in transit, which would exceed the burst.
        """
        self.refill(now_s)
        self._reserved += tokens
        self._clip()

    def settle(
        self,
        reserved: float,
        tokens: float,
        loan: TimedShare,
        now_s: float,
    ) -> None:
        """End a reservation and add the tokens and the share received, if any."""
        self.refill(now_s)
        self._reserved = max(0, self._reserved - reserved)
        if loan.fraction > 0 and loan.deadline_s > now_s:
            self._borrowed.append(loan)
        self.tokens += tokens
        self._clip()

    def lend(self, tokens: float, loan: TimedShare, now_s: float) -> None:
        """Subtract tokens and a share before they are sent to another gate."""
        self.refill(now_s)
        self.tokens -= tokens
        if loan.fraction > 0:
            self._lent.append(loan)
        self._clip()

    def take(self, now_s: float, wanted: float = 1) -> bool:
        """Take tokens if there are enough; return whether they were taken."""
        self.refill(now_s)
        if self.tokens < wanted - _ROUNDING_TOLERANCE:
            return False
        self.tokens = max(0, self.tokens - wanted)
        return True

    def share(self) -> float:
        """Return the fraction owned at the time of the last refill."""
        lent = sum(part.fraction for part in self._lent)
        borrowed = sum(part.fraction for part in self._borrowed)
        return max(0, self.floor + self._lease.fraction + borrowed - lent)

    def unlent_floor(self) -> float:
        """Return the fraction of the floor that is not lent to other gates."""
        return max(0, self.floor - sum(part.fraction for part in self._lent))

    def wait_s(self, now_s: float, wanted: float = 1) -> float:
        """Return the seconds until enough tokens are available, or infinity."""
        self.refill(now_s)
        missing = wanted - self.tokens
        if missing <= 0:
            return 0
        share = self.share()
        if share * self.burst < wanted - _ROUNDING_TOLERANCE:
            return math.inf
        return missing / (share * self.rate_per_s)

    def refill(self, now_s: float) -> None:
        """Add the tokens gained since the last call, each share until it expires."""
        while self._refilled_s < now_s:
            until_s = min(now_s, self._next_deadline_s())
            gained = (until_s - self._refilled_s) * self.share() * self.rate_per_s
            self.tokens += gained
            self._clip()
            self._refilled_s = until_s
            self._drop_expired()

    def _next_deadline_s(self) -> float:
        parts = [self._lease, *self._borrowed, *self._lent]
        later = [part.deadline_s for part in parts if part.fraction > 0]
        return max(self._refilled_s, min(later, default=math.inf))

    def _drop_expired(self) -> None:
        now_s = self._refilled_s
        if self._lease.deadline_s <= now_s:
            self._lease = TimedShare(0, now_s)
        self._borrowed = [part for part in self._borrowed if part.deadline_s > now_s]
        self._lent = [part for part in self._lent if part.deadline_s > now_s]
        self._clip()

    def _capacity(self) -> float:
        return max(0, self.share() * self.burst - self._reserved)

    def _clip(self) -> None:
        self.tokens = min(self.tokens, self._capacity())
