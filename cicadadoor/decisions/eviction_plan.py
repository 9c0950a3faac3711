"""Select the holders of memory that give way to one that grows."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cicadadoor.decisions.memory_account import Reservation

Group = tuple[str, str]


class _Candidate:
    """Hold what a plan has to know of one holder."""

    __slots__ = ('holder', 'is_spared', 'is_stalled', 'wanted_bytes')

    def __init__(
        self, holder: 'Reservation', wanted_bytes: int, *, is_stalled: bool
    ) -> None:
        self.holder = holder
        self.wanted_bytes = wanted_bytes
        self.is_stalled = is_stalled
        self.is_spared = False

    @property
    def rank(self) -> tuple[bool, int, int]:
        """Return the order of eviction, the highest first.

        Stalled holders end first, then those that are furthest from their end, so that
        of many bodies that do not fit together some become complete.
        """
        return self.is_stalled, self.holder.left_bytes, self.holder.held_bytes


class _Share:
    """Hold what one group has, and its holders that can be evicted."""

    __slots__ = ('candidates', 'is_sorted', 'total_bytes', 'wanted_bytes')

    def __init__(self) -> None:
        self.candidates: list[_Candidate] = []
        self.total_bytes = 0
        self.wanted_bytes = 0
        self.is_sorted = False

    def add(self, candidate: _Candidate) -> None:
        self.candidates.append(candidate)
        self.wanted_bytes += candidate.wanted_bytes

    def take(self) -> 'Reservation | None':
        """Remove and return the next holder to evict, if there is one."""
        if not self.is_sorted:
            self.candidates.sort(key=lambda candidate: candidate.rank, reverse=True)
            self.is_sorted = True
        average_bytes = self.wanted_bytes / len(self.candidates)
        for position, candidate in enumerate(self.candidates):
            is_above = candidate.wanted_bytes >= average_bytes
            if not candidate.is_spared and (is_above or candidate.is_stalled):
                self.candidates.pop(position)
                self.wanted_bytes -= candidate.wanted_bytes
                self.total_bytes -= candidate.holder.held_bytes
                return candidate.holder
        return None


class EvictionPlan:
    """Tell which holders end, one after the other, if a holder grows.

    Nothing is evicted by the plan itself, so that it can be discarded if it is not
    enough.
    """

    __slots__ = ('_grower', '_shares')

    def __init__(
        self,
        holders: Iterable['Reservation'],
        grower: 'Reservation',
        size_bytes: int,
        *,
        is_stalled: Callable[['Reservation'], bool],
        is_spared: Callable[['Reservation'], bool],
    ) -> None:
        self._grower = grower
        self._shares: dict[Group, _Share] = {}
        # A grower that holds nothing yet is a candidate as well.
        members = {**dict.fromkeys(holders), grower: None}
        for holder in members:
            share = self._shares.setdefault(holder.owner.group, _Share())
            wanted_bytes = holder.held_bytes
            if holder is grower:
                wanted_bytes += size_bytes
            share.total_bytes += wanted_bytes
            if holder.on_evict is not None or holder is grower:
                candidate = _Candidate(
                    holder, wanted_bytes, is_stalled=is_stalled(holder)
                )
                candidate.is_spared = is_spared(holder)
                share.add(candidate)

    def take(self) -> 'Reservation':
        """Return the next holder to evict, the grower if no other gives way to it."""
        groups = [share for share in self._shares.values() if share.candidates]
        heaviest = max(groups, key=lambda share: share.total_bytes)
        return heaviest.take() or self._grower
