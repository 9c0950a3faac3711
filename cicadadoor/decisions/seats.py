"""Decide which host may hold which seat, and whether a holder has to suspend."""

import math

import msgspec

# Contact with the platform that is younger than this is contact now. It has to be
# longer than it takes to pass on an age over three hosts.
CONTACT_FRESH_S = 300.0


class SeatClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Hold who has a seat; `mark` names an announced reclaim, or is empty."""

    host: str
    callers: str
    gate_instance: str
    claim_id: str
    mark: str = ''


class SeatTable(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the claims of a failure domain by seat number, and hosts without one."""

    claims: dict[int, SeatClaim]
    waiting: tuple[str, ...] = ()


EMPTY_TABLE = SeatTable(claims={})


class Holder(msgspec.Struct, frozen=True, kw_only=True):
    """Name a gate process that has bound its callers' address."""

    host: str
    callers: str
    gate_instance: str

    def claim(self, claim_id: str) -> SeatClaim:
        """Return the claim of a seat by this process."""
        return SeatClaim(
            host=self.host,
            callers=self.callers,
            gate_instance=self.gate_instance,
            claim_id=claim_id,
        )


def claims_of(table: SeatTable, holder: Holder) -> dict[int, SeatClaim]:
    """Return the seats that this gate process holds."""
    return {
        seat: claim
        for seat, claim in table.claims.items()
        if claim.host == holder.host and claim.gate_instance == holder.gate_instance
    }


def free_seats(table: SeatTable, seat_count: int) -> list[int]:
    """Return the seats that nobody holds."""
    return [seat for seat in range(seat_count) if seat not in table.claims]


def claim_first(
    table: SeatTable,
    seat_count: int,
    holder: Holder,
    claim_id: str,
) -> SeatTable:
    """Claim what a gate process without a seat may take.

    Seats of an earlier process of the same host pass over, because the callers'
    address could not be bound while that process existed, even paused. Else a free
    seat is taken; if there is none, the host is put on the waiting list.
    """
    claims = dict(table.claims)
    previous = [
        seat
        for seat, claim in claims.items()
        if claim.host == holder.host and claim.callers == holder.callers
    ]
    seats = previous or free_seats(table, seat_count)[:1]
    waiting = [host for host in table.waiting if host != holder.host]
    if not seats:
        waiting.append(holder.host)
    for seat in seats:
        claims[seat] = holder.claim(f'{claim_id}-{seat}')
    return SeatTable(claims=claims, waiting=tuple(waiting))


def claim_spare(
    table: SeatTable,
    seat_count: int,
    holder: Holder,
    claim_id: str,
) -> SeatTable | None:
    """Claim a free seat that no waiting host has taken, for a holder with fewest."""
    free = free_seats(table, seat_count)
    own = claims_of(table, holder)
    if not free or not own:
        return None
    if len(own) > min(seat_counts(table).values()):
        return None
    claims = {**table.claims, free[0]: holder.claim(f'{claim_id}-{free[0]}')}
    return SeatTable(claims=claims)


def seat_to_return(
    table: SeatTable,
    seat_count: int,
    holder: Holder,
) -> int | None:
    """Return the spare seat that this holder gives up for a waiting host."""
    if not table.waiting or free_seats(table, seat_count):
        return None
    counts = seat_counts(table)
    most = max(counts.values())
    if most < 2 or counts.get(holder.host) != most:
        return None
    # One holder gives way at a time, so that one host does not empty several.
    if holder.host != min(host for host, count in counts.items() if count == most):
        return None
    return max(claims_of(table, holder), default=None)


def seat_counts(table: SeatTable) -> dict[str, int]:
    """Return how many seats each host holds."""
    counts: dict[str, int] = {}
    for claim in table.claims.values():
        counts[claim.host] = counts.get(claim.host, 0) + 1
    return counts


def release(table: SeatTable, claim_ids: set[str]) -> SeatTable:
    """Free the seats with these claims."""
    claims = {
        seat: claim
        for seat, claim in table.claims.items()
        if claim.claim_id not in claim_ids
    }
    return SeatTable(claims=claims, waiting=table.waiting)


def set_mark(table: SeatTable, host: str, mark: str) -> SeatTable:
    """Announce the reclaim of all seats of a host, or withdraw it with no mark."""
    claims = {
        seat: msgspec.structs.replace(claim, mark=mark) if claim.host == host else claim
        for seat, claim in table.claims.items()
    }
    return SeatTable(claims=claims, waiting=table.waiting)


def marks_of(table: SeatTable, host: str) -> set[str]:
    """Return the marks on the seats of a host, with '' for a seat without one."""
    return {claim.mark for claim in table.claims.values() if claim.host == host}


def remove_marked(table: SeatTable, host: str, mark: str) -> SeatTable:
    """Free the seats of a host that bear the mark."""
    ids = {
        claim.claim_id
        for claim in table.claims.values()
        if claim.host == host and claim.mark == mark
    }
    return release(table, ids)


class HolderEvidence:
    """Know until when a holder may be sure that nobody can have its seats.

    Each kind of evidence holds for `isolation_s` from when it was last true, on the
    holder's boot clock. A reclaimer announces itself by a mark in the table and
    waits for the longer reclaim time with evidence of its own, so that:

    - a table read with no mark on the claims comes before any reclaim;
    - holders of all seats of the domain that answered have heard this host, and only
      a holder reclaims;
    - a reclaimer hears more than half of the other domains and has contact with the
      platform, which a majority without contact rules out.
    """

    __slots__ = ('_domain_s', '_isolation_s', '_outage_s', '_read_s')

    def __init__(self, isolation_s: float) -> None:
        self._isolation_s = isolation_s
        self._read_s = -math.inf
        self._domain_s = -math.inf
        self._outage_s = -math.inf

    def note_read(self, asked_s: float) -> None:
        """Note a table read begun at a time, with the own claims unmarked."""
        self._read_s = max(self._read_s, asked_s)

    def note_domain(
        self,
        own_seats: set[int],
        seat_count: int,
        answered: dict[int, float],
    ) -> None:
        """Note when the holders of other seats were asked that have answered."""
        missing = set(range(seat_count)) - own_seats - set(answered)
        if missing or not own_seats:
            return
        others = [asked_s for seat, asked_s in answered.items() if seat < seat_count]
        if others:
            self._domain_s = max(self._domain_s, min(others))

    def note_sole_holder(
        self, own_seats: set[int], seat_count: int, now_s: float
    ) -> None:
        """Note that this host holds all seats, so that there is no reclaimer."""
        if seat_count > 0 and own_seats >= set(range(seat_count)):
            self._domain_s = max(self._domain_s, now_s)

    def note_domains(
        self,
        other_domains: int,
        platform_ages_s: dict[str, float],
        asked_s: float,
    ) -> None:
        """Note the age of the last platform contact of each other domain heard."""
        is_majority = len(platform_ages_s) * 2 > other_domains
        if is_majority and min(platform_ages_s.values()) > CONTACT_FRESH_S:
            self._outage_s = max(self._outage_s, asked_s)

    def keeps_until_s(self) -> float:
        """Return when the holder has to suspend without newer evidence."""
        last_s = max(self._read_s, self._domain_s, self._outage_s)
        return last_s + self._isolation_s


class ReclaimConditions(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a would-be reclaimer sees of another holder at one time."""

    reclaimer_holds_seat: bool
    is_list_trusted: bool
    is_listed: bool
    is_heard: bool
    all_others_heard: bool
    other_domains: int
    domains_heard: int

    def are_met(self) -> bool:
        """Tell whether all signs speak for a reclaim."""
        hears_majority = self.domains_heard * 2 > self.other_domains
        return all(
            (
                self.reclaimer_holds_seat,
                self.is_list_trusted,
                not self.is_listed,
                not self.is_heard,
                self.all_others_heard,
                hears_majority or self.other_domains == 0,
            )
        )


class ReclaimTimer:
    """Know since when all signs have been met without a gap."""

    __slots__ = ('_last_s', '_longest_gap_s', '_reclaim_s', '_since_s')

    def __init__(self, reclaim_s: float, longest_gap_s: float) -> None:
        self._reclaim_s = reclaim_s
        self._longest_gap_s = longest_gap_s
        self._since_s: float | None = None
        self._last_s = -math.inf

    def is_due(
        self, *, are_conditions_met: bool, is_marked: bool, now_s: float
    ) -> bool:
        """Note one observation; tell whether the seat may be taken now.

        Time counts from the first observation after the own mark was seen in the
        table; a pause of this process is a gap and starts it anew.
        """
        has_gap = now_s - self._last_s > self._longest_gap_s
        self._last_s = now_s
        if not are_conditions_met or not is_marked:
            self._since_s = None
            return False
        if self._since_s is None or has_gap:
            self._since_s = now_s
        return now_s - self._since_s >= self._reclaim_s
