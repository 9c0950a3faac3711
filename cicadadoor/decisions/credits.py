"""Issue and hold credits, each for one request to another gate."""

import math
from collections import deque

# A holder stops using credits this long before they expire at the issuer.
HOLDER_MARGIN_S = 0.3
RESERVE_SHARE = 0.2
MAX_PER_GRANT = 32
_PEAK_WINDOW_S = 2.0
# Pause before the next request to a gate that granted nothing.
REFUSAL_PAUSE_S = 0.25


class RecentPeakLoad:
    """Track the peak of the slots that a service's own requests used recently."""

    __slots__ = ('_samples',)

    def __init__(self) -> None:
        self._samples: deque[tuple[float, int]] = deque()

    def note(self, in_use: int, now_s: float) -> None:
        """Record the slots in use now; samples that can't be the peak are dropped."""
        while self._samples and self._samples[-1][1] <= in_use:
            self._samples.pop()
        self._samples.append((now_s, in_use))

    def peak(self, now_s: float) -> int:
        """Return the peak within the window; the last sample always counts."""
        while len(self._samples) > 1 and self._is_old(now_s):
            self._samples.popleft()
        return self._samples[0][1] if self._samples else 0

    def _is_old(self, now_s: float) -> bool:
        # A sample is valid until the next one.
        return self._samples[1][0] < now_s - _PEAK_WINDOW_S


class _Grant:
    __slots__ = ('deadline_s', 'holder', 'region', 'service', 'unused')

    def __init__(
        self,
        service: str,
        holder: tuple[str, str],
        count: int,
        deadline_s: float,
    ) -> None:
        self.service = service
        self.holder, self.region = holder
        self.unused = set(range(count))
        self.deadline_s = deadline_s


class CreditIssuer:
    """Issue credits for free slots and redeem each at most once."""

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self._grants: dict[str, _Grant] = {}

    def issue(
        self,
        grant_id: str,
        service: str,
        holder: tuple[str, str],
        wanted: int,
        headroom: int,
        now_s: float,
    ) -> int:
        """Issue up to `wanted` credits and return their number.

        `holder` is the process instance and the region of the requesting gate.
        `headroom` is the number of free slots beyond the reserve, before credits that
        are issued and not yet redeemed are subtracted.
        """
        left = headroom - self.outstanding(service, now_s)
        count = max(0, min(wanted, left, MAX_PER_GRANT))
        if count:
            deadline_s = now_s + self.lifetime_s
            self._grants[grant_id] = _Grant(service, holder, count, deadline_s)
        return count

    def outstanding(self, service: str, now_s: float) -> int:
        """Return the credits of a service that may still be redeemed."""
        self._expire(now_s)
        return sum(
            len(grant.unused)
            for grant in self._grants.values()
            if grant.service == service
        )

    def redeem(self, credit_id: str, service: str, holder: str, now_s: float) -> bool:
        """Redeem a credit; return False if it is unknown, used or expired.

        A credit of another service or another holder is refused, too.
        """
        grant, number = self._find(credit_id, holder)
        if grant is None or grant.service != service or now_s >= grant.deadline_s:
            return False
        if number not in grant.unused:
            return False
        grant.unused.remove(number)
        return True

    def region_of(self, credit_id: str) -> str:
        """Return the region of a credit's holder."""
        return self._grants[credit_id.rpartition('/')[0]].region

    def release(self, credit_id: str, holder: str) -> None:
        """Free a credit that its holder returns; repeated calls have no effect."""
        grant, number = self._find(credit_id, holder)
        if grant is not None:
            grant.unused.discard(number)

    def _find(self, credit_id: str, holder: str) -> tuple[_Grant | None, int]:
        grant_id, _, number = credit_id.rpartition('/')
        grant = self._grants.get(grant_id)
        if grant is None or grant.holder != holder or not number.isdecimal():
            return None, 0
        return grant, int(number)

    def _expire(self, now_s: float) -> None:
        expired = [
            grant_id
            for grant_id, grant in self._grants.items()
            if now_s >= grant.deadline_s or not grant.unused
        ]
        for grant_id in expired:
            self._grants.pop(grant_id)


class HeldCredit:
    """Hold one credit that another gate issued."""

    __slots__ = ('credit_id', 'deadline_s', 'gate')

    def __init__(self, credit_id: str, gate: str, deadline_s: float) -> None:
        self.credit_id = credit_id
        self.gate = gate
        self.deadline_s = deadline_s


class CreditPool:
    """Hold the credits that other gates issued to this gate."""

    def __init__(self) -> None:
        self._held: dict[str, list[HeldCredit]] = {}

    def add(
        self,
        service: str,
        gate: str,
        grant_id: str,
        count: int,
        sent_s: float,
        lifetime_s: float,
    ) -> None:
        """Add a grant; its lifetime starts when the request for it was sent."""
        deadline_s = sent_s + lifetime_s - HOLDER_MARGIN_S
        held = self._held.setdefault(service, [])
        for number in range(count):
            held.append(HeldCredit(f'{grant_id}/{number}', gate, deadline_s))

    def count(self, service: str, now_s: float) -> int:
        """Return the number of usable credits."""
        return len(self._unexpired(service, now_s))

    def take(self, service: str, gates: list[str], now_s: float) -> HeldCredit | None:
        """Take a credit of the first of the gates that issued one, or return None."""
        live = self._unexpired(service, now_s)
        for gate in gates:
            own = [credit for credit in live if credit.gate == gate]
            if own:
                first = min(own, key=lambda credit: credit.deadline_s)
                live.remove(first)
                return first
        return None

    def take_surplus(self, service: str, keep: int, now_s: float) -> list[HeldCredit]:
        """Remove and return all credits beyond the first `keep`, to give them back."""
        live = self._unexpired(service, now_s)
        extra = live[keep:]
        self._held[service] = live[:keep]
        return extra

    def services(self) -> list[str]:
        """Return the services for which credits are or were held."""
        return list(self._held)

    def _unexpired(self, service: str, now_s: float) -> list[HeldCredit]:
        held = self._held.get(service, [])
        live = [credit for credit in held if now_s < credit.deadline_s]
        self._held[service] = live
        return live


class RefusalPauses:
    """Track the gates that granted nothing and are not asked again for a while."""

    __slots__ = ('_until_s',)

    def __init__(self) -> None:
        self._until_s: dict[tuple[str, str], float] = {}

    def note(self, gate: str, service: str, now_s: float) -> None:
        """Start the pause of a gate for a service."""
        self._until_s[gate, service] = now_s + REFUSAL_PAUSE_S

    def is_paused(self, gate: str, service: str, now_s: float) -> bool:
        """Return whether the gate must not be asked for credits of the service."""
        return now_s < self._until_s.get((gate, service), -math.inf)


def headroom(slots: int, in_use: int, own_peak: int) -> int:
    """Return the slots of a service that other gates may use.

    A share of the slots stays reserved, and own requests count with their recent
    peak.
    """
    reserve = math.ceil(RESERVE_SHARE * slots)
    return max(0, slots - max(in_use, own_peak) - reserve)
