"""Decide which host may hold which seat, and when a holder has to suspend."""

import math

import msgspec

# A platform contact more recent than this counts as current contact. This has to exceed
# the time that it takes to pass on an age over three hosts.
CONTACT_FRESH_S = 300.0


class SeatClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the owner of a seat; `mark` names an announced reclaim, or is empty."""

    host: str
    callers: str
    gate_instance: str
    claim_id: str
    mark: str = ''


class SeatTable(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the claims of a failure domain by seat, and the hosts that wait for one."""

    claims: dict[int, SeatClaim]
    waiting: tuple[str, ...] = ()


EMPTY_TABLE = SeatTable(claims={})


class Holder(msgspec.Struct, frozen=True, kw_only=True):
    """Identify a gate process that has bound its callers' address."""

    host: str
    callers: str
    gate_instance: str

    def claim(self, claim_id: str) -> SeatClaim:
        """Return a claim of a seat for this process."""
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
    """Claim the seats that a gate process without a seat may take.

    It takes over the seats of an earlier process on the same host: it could not have
    bound the callers' address while that process existed, even suspended. Otherwise it
    takes a free seat, and if there is none, the host is put on the waiting list.
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
    """Claim a free seat that no waiting host took, if this holder has fewest seats."""
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
    """Return the seat that this holder returns for a waiting host, or None."""
    if not table.waiting or free_seats(table, seat_count):
        return None
    counts = seat_counts(table)
    most = max(counts.values())
    if most < 2 or counts.get(holder.host) != most:
        return None
    # One holder at a time returns a seat, so that one waiting host does not make
    # several holders return theirs.
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
    """Announce the reclaim of a host's seats; an empty mark cancels it."""
    claims = {
        seat: msgspec.structs.replace(claim, mark=mark) if claim.host == host else claim
        for seat, claim in table.claims.items()
    }
    return SeatTable(claims=claims, waiting=table.waiting)


def marks_of(table: SeatTable, host: str) -> set[str]:
    """Return the marks on the seats of a host, with '' for a seat without one."""
    return {claim.mark for claim in table.claims.values() if claim.host == host}


def remove_marked(table: SeatTable, host: str, mark: str) -> SeatTable:
    """Free the seats of a host that have the mark."""
    ids = {
        claim.claim_id
        for claim in table.claims.values()
        if claim.host == host and claim.mark == mark
    }
    return release(table, ids)


class HolderEvidence:
    """Track until when a holder can be sure that nobody has reclaimed its seats.

    Each kind of evidence is valid for `isolation_s` from when it was last true, on the
    holder's boot clock. A reclaimer announces the reclaim by a mark in the table and
    then waits for the longer reclaim time, with evidence of its own. So each of these
    excludes a reclaim:

    - the table was read and the holder's claims had no mark;
    - the holders of all other seats of the domain answered, so they have heard this
      host, and only a holder reclaims;
    - more than half of the other domains have no contact with the platform, while a
      reclaimer needs that contact and hears more than half of the other domains.
    """

    __slots__ = ('_domain_s', '_isolation_s', '_outage_s', '_read_s')

    def __init__(self, isolation_s: float) -> None:
        self._isolation_s = isolation_s
        self._read_s = -math.inf
        self._domain_s = -math.inf
        self._outage_s = -math.inf

    def note_read(self, sent_s: float) -> None:
        """Record that a table read begun at `sent_s` showed no mark on own claims."""
        self._read_s = max(self._read_s, sent_s)

    def note_domain(
        self,
        own_seats: set[int],
        seat_count: int,
        answered: dict[int, float],
    ) -> None:
        """Record when the holders of other seats that answered were asked."""
        missing = set(range(seat_count)) - own_seats - set(answered)
        if missing or not own_seats:
            return
        others = [sent_s for seat, sent_s in answered.items() if seat < seat_count]
        if others:
            self._domain_s = max(self._domain_s, min(others))

    def note_sole_holder(
        self, own_seats: set[int], seat_count: int, now_s: float
    ) -> None:
        """Record whether this host holds all seats, so that nobody can reclaim one."""
        if seat_count > 0 and own_seats >= set(range(seat_count)):
            self._domain_s = max(self._domain_s, now_s)

    def note_domains(
        self,
        other_domains: int,
        platform_ages_s: dict[str, float],
        sent_s: float,
    ) -> None:
        """Record the age of the last platform contact of each domain that is heard."""
        is_majority = len(platform_ages_s) * 2 > other_domains
        if is_majority and min(platform_ages_s.values()) > CONTACT_FRESH_S:
            self._outage_s = max(self._outage_s, sent_s)

    def keeps_until_s(self) -> float:
        """Return when the holder has to suspend unless it gets newer evidence."""
        last_s = max(self._read_s, self._domain_s, self._outage_s)
        return last_s + self._isolation_s


class ReclaimConditions(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a possible reclaimer observes of another holder at one time."""

    reclaimer_holds_seat: bool
    is_list_trusted: bool
    is_listed: bool
    is_heard: bool
    all_others_heard: bool
    other_domains: int
    domains_heard: int

    def are_met(self) -> bool:
        """Return whether all conditions for a reclaim are met."""
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
    """Track since when all conditions have been met without a gap."""

    __slots__ = ('_last_s', '_longest_gap_s', '_reclaim_s', '_since_s')

    def __init__(self, reclaim_s: float, longest_gap_s: float) -> None:
        self._reclaim_s = reclaim_s
        self._longest_gap_s = longest_gap_s
        self._since_s: float | None = None
        self._last_s = -math.inf

    def is_due(
        self, *, are_conditions_met: bool, is_marked: bool, now_s: float
    ) -> bool:
        """Record an observation; return whether the seat may be taken now.

        The time starts at the first observation after the reclaimer's own mark was
        seen in the table; a suspension of this process is a gap and restarts it.
        """
        has_gap = now_s - self._last_s > self._longest_gap_s
        self._last_s = now_s
        if not are_conditions_met or not is_marked:
            self._since_s = None
            return False
        if self._since_s is None or has_gap:
            self._since_s = now_s
        return now_s - self._since_s >= self._reclaim_s
