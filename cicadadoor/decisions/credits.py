"""Count the credits that a domain's gate gives to and holds from other gates."""

import math
from collections import deque

# A holder stops using credits this long before the giver forgets them.
HOLDER_MARGIN_S = 0.3
RESERVE_SHARE = 0.2
MAX_PER_GRANT = 32
_PEAK_WINDOW_S = 2.0


class RecentPeakLoad:
    """Remember the most slots that a service's own requests used of late."""

    __slots__ = ('_samples',)

    def __init__(self) -> None:
        self._samples: deque[tuple[float, int]] = deque()

    def note(self, in_use: int, now_s: float) -> None:
        """Take the slots in use now; only a sample that may be the peak is kept."""
        while self._samples and self._samples[-1][1] <= in_use:
            self._samples.pop()
        self._samples.append((now_s, in_use))

    def peak(self, now_s: float) -> int:
        """Return the most slots in use within the window; the last sample stays."""
        while len(self._samples) > 1 and self._is_old(now_s):
            self._samples.popleft()
        return self._samples[0][1] if self._samples else 0

    def _is_old(self, now_s: float) -> bool:
        # A sample holds until the next one.
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
    """Give credits from free slots and redeem each at most once."""

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self._grants: dict[str, _Grant] = {}

    def give(
        self,
        grant_id: str,
        service: str,
        holder: tuple[str, str],
        wanted: int,
        headroom: int,
        now_s: float,
    ) -> int:
        """Give up to `wanted` credits and return their number.

        `holder` is the process instance and region of the asking gate. `headroom` are
        the free slots after the reserve; credits that are given and not yet redeemed
        are subtracted here.
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
        """Use up a credit; False if it is unknown, used, expired or not theirs."""
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

    def take_back(self, credit_id: str, holder: str) -> None:
        """Free a credit that its holder returns; a repeat changes nothing."""
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
        gone = [
            grant_id
            for grant_id, grant in self._grants.items()
            if now_s >= grant.deadline_s or not grant.unused
        ]
        for grant_id in gone:
            self._grants.pop(grant_id)


class HeldCredit:
    """Hold one credit of another gate until it is used, returned or expired."""

    __slots__ = ('credit_id', 'deadline_s', 'gate')

    def __init__(self, credit_id: str, gate: str, deadline_s: float) -> None:
        self.credit_id = credit_id
        self.gate = gate
        self.deadline_s = deadline_s


class CreditPool:
    """Hold the credits that other gates gave to this one."""

    def __init__(self) -> None:
        self._held: dict[str, list[HeldCredit]] = {}

    def add(
        self,
        service: str,
        gate: str,
        grant_id: str,
        count: int,
        asked_s: float,
        lifetime_s: float,
    ) -> None:
        """Keep a grant; its life counts from before the request was sent."""
        deadline_s = asked_s + lifetime_s - HOLDER_MARGIN_S
        held = self._held.setdefault(service, [])
        for number in range(count):
            held.append(HeldCredit(f'{grant_id}/{number}', gate, deadline_s))

    def count(self, service: str, now_s: float) -> int:
        """Return the credits that can be used now."""
        return len(self._unexpired(service, now_s))

    def take(self, service: str, gates: list[str], now_s: float) -> HeldCredit | None:
        """Use the credit of the first gate in order that gave one, or None."""
        live = self._unexpired(service, now_s)
        for gate in gates:
            own = [credit for credit in live if credit.gate == gate]
            if own:
                first = min(own, key=lambda credit: credit.deadline_s)
                live.remove(first)
                return first
        return None

    def take_surplus(self, service: str, keep: int, now_s: float) -> list[HeldCredit]:
        """Remove and return credits beyond what is needed, to hand them back."""
        live = self._unexpired(service, now_s)
        extra = live[keep:]
        self._held[service] = live[:keep]
        return extra

    def services(self) -> list[str]:
        """Return the services for which credits were held."""
        return list(self._held)

    def _unexpired(self, service: str, now_s: float) -> list[HeldCredit]:
        held = self._held.get(service, [])
        live = [credit for credit in held if now_s < credit.deadline_s]
        self._held[service] = live
        return live


def headroom(slots: int, in_use: int, own_peak: int) -> int:
    """Return the slots that other domains may have of a service.

    A share stays reserved, and own load counts with its recent peak.
    """
    reserve = math.ceil(RESERVE_SHARE * slots)
    return max(0, slots - max(in_use, own_peak) - reserve)
