"""Account for the memory that a process holds on behalf of other parties.

When the account is short, space is reclaimed from the group of callers that holds the
most. Within it, holders above the group's average are ended first, so that small
requests of the same group are still served.
"""

from collections.abc import Callable
from functools import partial

from cicadadoor.decisions.eviction_plan import EvictionPlan

# Holders of more bytes than this count as large. The last part of the account is kept
# for the others, since the bytes of a running request cannot be reclaimed.
LARGE_BYTES = 131_072
_LARGE_FRACTION = 0.9
# A holder counts as stalled if it made no progress while the account granted this
# fraction of its limit and several pieces for each holder.
_STALLED_FRACTION = 0.03
_STALLED_BYTES_PER_HOLDER = 131_072
# Part of the account that stays usable whatever else the process uses.
_MIN_LIMIT_FRACTION = 0.25

_BYTES_PER_MB = 1_000_000
# An idle host uses 47 MB. Its own tables and averages grow by some more under load.
_PROCESS_MB = 55
_MIN_ACCOUNT_MB = 5
# Part of the rest for fragmentation, the parsers' copies and the sockets' buffers.
_RESERVE_FRACTION = 0.2


def account_bytes(memory_mb: float) -> int:
    """Return the size of the account of a process on a machine with this memory."""
    free_mb = max(_MIN_ACCOUNT_MB, memory_mb - _PROCESS_MB)
    return int(free_mb * (1 - _RESERVE_FRACTION) * _BYTES_PER_MB)


def _never() -> bool:
    return False


class Owner:
    """Name the party that bytes are held for.

    Owners of the same organisation form a group; before the organisation is known, the
    owners with the same address do.
    """

    __slots__ = ('address', 'organisation')

    def __init__(self, address: str, organisation: str = '') -> None:
        self.address = address
        self.organisation = organisation

    def with_organisation(self, organisation: str) -> 'Owner':
        """Return the same owner with its organisation."""
        return Owner(self.address, organisation)

    @property
    def group(self) -> tuple[str, str]:
        """Return the key of the callers that share one part of the account."""
        if self.organisation:
            return 'organisation', self.organisation
        return 'address', self.address


class Reservation:
    """Hold the bytes that one request, response or buffer has reserved.

    `on_evict` is called when the reservation has to end; its bytes are already
    released then. Without it, the reservation is not reclaimed. `left_bytes` is the
    number of bytes until the holder is done.
    """

    __slots__ = (
        '_account',
        'granted_bytes',
        'held_bytes',
        'is_closed',
        'is_moving',
        'kind',
        'left_bytes',
        'on_close',
        'on_evict',
        'owner',
    )

    def __init__(self, account: 'MemoryAccount', kind: str, owner: Owner) -> None:
        self._account = account
        self.kind = kind
        self.owner = owner
        self.held_bytes = 0
        self.left_bytes = 0
        self.granted_bytes = 0
        self.is_closed = False
        self.on_evict: Callable[[], None] | None = None
        # Tells whether a client takes the bytes within the stated rate.
        self.is_moving: Callable[[], bool] = _never
        # Called by `close`, to free the memory that the bytes stand for.
        self.on_close: Callable[[], None] | None = None

    def grow(self, size_bytes: int, rest_bytes: int = 0) -> bool:
        """Reserve more bytes; return False if the holder has to be refused or closed.

        The reservation is unchanged then. No other holder is ended unless room can be
        made for `rest_bytes` as well, which the holder is known to need later.
        """
        if self.is_closed:
            return False
        return self._account.grow(self, size_bytes, rest_bytes)

    def shrink(self, size_bytes: int) -> None:
        """Release a part of the bytes."""
        self._account.shrink(self, size_bytes)

    def move(self, size_bytes: int, target: 'Reservation') -> None:
        """Let another reservation hold a part of the bytes, unless it is closed."""
        self._account.move(self, size_bytes, target)

    def open_other(self) -> 'Reservation':
        """Return a reservation of the same kind and owner that holds no bytes yet."""
        return self._account.open(self.kind, self.owner)

    def note_progress(self, left_bytes: int) -> None:
        """Record that the holder came closer to its end."""
        self.left_bytes = left_bytes
        self.granted_bytes = self._account.granted_bytes

    def release(self) -> None:
        """Release all bytes; a released reservation may be released again."""
        self._account.release(self)

    def close(self) -> None:
        """Release all bytes, and grant no more."""
        self.is_closed = True
        self.on_evict = None
        self.is_moving = _never
        on_close, self.on_close = self.on_close, None
        if on_close is not None:
            on_close()
        self._account.release(self)


class MemoryAccount:
    """Grant bytes up to a limit, and decide who has to end when it is reached."""

    def __init__(self, limit_bytes: int) -> None:
        self._full_limit_bytes = limit_bytes
        self._limit_bytes = limit_bytes
        self._holders: dict[Reservation, None] = {}
        self._by_kind: dict[str, int] = {}
        self.held_bytes = 0
        # Total of all bytes granted so far.
        self.granted_bytes = 0
        self.evictions = 0

    @property
    def limit_bytes(self) -> int:
        """Return the number of bytes that all holders together may reserve."""
        return self._limit_bytes

    def note_excess(self, excess_bytes: int) -> None:
        """Lower the limit by memory that the process uses beyond its allowance."""
        floor_bytes = int(self._full_limit_bytes * _MIN_LIMIT_FRACTION)
        self._limit_bytes = max(floor_bytes, self._full_limit_bytes - excess_bytes)

    def has_room(self, size_bytes: int) -> bool:
        """Tell whether a large holder fits without reclaiming others."""
        return self.held_bytes + size_bytes <= self._large_limit_bytes

    @property
    def _large_limit_bytes(self) -> int:
        return int(self._limit_bytes * _LARGE_FRACTION)

    def open(self, kind: str, owner: Owner) -> Reservation:
        """Return a reservation that holds no bytes yet."""
        return Reservation(self, kind, owner)

    def held_by_kind(self) -> dict[str, int]:
        """Return the reserved bytes of each kind of holder."""
        return dict(self._by_kind)

    def grow(
        self, reservation: Reservation, size_bytes: int, rest_bytes: int = 0
    ) -> bool:
        """Reserve bytes, and reclaim those of other holders where that is fair."""
        wanted_bytes = reservation.held_bytes + size_bytes + rest_bytes
        is_large = wanted_bytes > LARGE_BYTES
        limit_bytes = self._large_limit_bytes if is_large else self._limit_bytes
        while self.held_bytes + size_bytes > limit_bytes:
            # Decided before anything is ended: a body whose rest does not fit would be
            # refused later, and what had been ended for it would be lost for nothing.
            missing_bytes = self.held_bytes + size_bytes + rest_bytes - limit_bytes
            victim = self._find_victim(
                reservation, size_bytes, missing_bytes, is_large=is_large
            )
            if victim is None:
                return False
            self._evict(victim)
            if reservation.is_closed:
                # It belonged to the connection that was closed.
                return False
        self._add(reservation, size_bytes)
        self._holders[reservation] = None
        self.granted_bytes += size_bytes
        reservation.granted_bytes = self.granted_bytes
        return True

    def shrink(self, reservation: Reservation, size_bytes: int) -> None:
        """Release a part of the bytes of a reservation."""
        self._add(reservation, -min(size_bytes, reservation.held_bytes))

    def move(self, source: Reservation, size_bytes: int, target: Reservation) -> None:
        """Move reserved bytes; none are granted, so that nobody has to end for them."""
        moved_bytes = min(size_bytes, source.held_bytes)
        self._add(source, -moved_bytes)
        if not target.is_closed:
            self._add(target, moved_bytes)
            self._holders[target] = None
            target.granted_bytes = max(source.granted_bytes, target.granted_bytes)

    def release(self, reservation: Reservation) -> None:
        """Release all bytes of a reservation."""
        self._add(reservation, -reservation.held_bytes)
        self._holders.pop(reservation, None)

    def _add(self, reservation: Reservation, size_bytes: int) -> None:
        reservation.held_bytes += size_bytes
        self.held_bytes += size_bytes
        kind = reservation.kind
        self._by_kind[kind] = self._by_kind.get(kind, 0) + size_bytes

    def _evict(self, victim: Reservation) -> None:
        self.evictions += 1
        self.release(victim)
        on_evict, victim.on_evict = victim.on_evict, None
        if on_evict is not None:
            on_evict()

    def _find_victim(
        self,
        grower: Reservation,
        size_bytes: int,
        missing_bytes: int,
        *,
        is_large: bool,
    ) -> Reservation | None:
        """Return the holder to end first; None if the grower itself has to end.

        The holders that give way to the grower must hold all bytes that are missing.
        """
        plan = EvictionPlan(
            self._holders,
            grower,
            size_bytes,
            is_stalled=self._is_stalled,
            is_spared=partial(_is_spared, grower) if is_large else _is_never_spared,
        )
        first = None
        while missing_bytes > 0:
            victim = plan.take()
            if victim is grower:
                return None
            first = first or victim
            missing_bytes -= victim.held_bytes
        return first

    def _is_stalled(self, holder: Reservation) -> bool:
        usual_bytes = _STALLED_BYTES_PER_HOLDER * len(self._holders)
        idle_bytes = self.granted_bytes - holder.granted_bytes
        is_large = holder.held_bytes > LARGE_BYTES
        stalled_bytes = self._limit_bytes * _STALLED_FRACTION
        has_competed = is_large and idle_bytes > stalled_bytes + usual_bytes
        return has_competed and not holder.is_moving()


def _is_spared(grower: Reservation, holder: Reservation) -> bool:
    """Tell whether the holder need not give way to a large one of its group."""
    return holder.owner.group == grower.owner.group and holder.is_moving()


def _is_never_spared(holder: Reservation) -> bool:
    return False
