"""Decide which records are used after the store has come back from an older copy.

The copy lacks what was written since, and has again what was removed since. Operators,
backend servers and hosts write theirs again, and entries of silent servers are removed
again. Until then, what this host has seen itself goes before the copy.
"""

import math
from collections.abc import Callable
from itertools import takewhile
from typing import Generic, TypeVar

Record = TypeVar('Record')
Records = dict[str, Record]

# Copies are seconds old; a removal longer ago is in all of them.
_REMOVAL_TTL_S = 60.0


class RestoreRules(Generic[Record]):
    """State for how long a host goes by what it has seen of one kind of record.

    Records that the copy lacks are used for `hold_s`, and records that the copy has
    again after their removal are not used for `withhold_s`. `is_older` tells of two
    records of one name whether the first is older; `has_left` whether the writer of a
    record was leaving, so that an older one is never used again.
    """

    __slots__ = ('_has_left', 'hold_s', 'is_older', 'withhold_s')

    def __init__(
        self,
        *,
        hold_s: float,
        withhold_s: float,
        is_older: Callable[[Record, Record], bool],
        has_left: Callable[[Record], bool] | None = None,
    ) -> None:
        self.hold_s = hold_s
        self.withhold_s = withhold_s
        self.is_older = is_older
        self._has_left = has_left

    def has_left(self, record: Record) -> bool:
        """Return whether the writer of a record was leaving."""
        return self._has_left is not None and self._has_left(record)


class RestoredRecords(Generic[Record]):
    """Hold what a host has seen that the copy contradicts; times on the boot clock."""

    __slots__ = ('_held', '_removed', '_rules', '_unconfirmed', '_withheld')

    def __init__(self, rules: RestoreRules[Record]) -> None:
        self._rules = rules
        # When each record was removed that this host knew, in this order.
        self._removed: dict[str, tuple[Record, float]] = {}
        # Until when records are used that the copy lacks.
        self._held: dict[str, float] = {}
        # Those that another host has as well, until this one has read the store again.
        self._unconfirmed: set[str] = set()
        # Records of the copy, and until when they are not used.
        self._withheld: dict[str, tuple[Record, float]] = {}

    @property
    def counts(self) -> tuple[int, int]:
        """Return the numbers of records that are held and withheld."""
        return len(self._held), len(self._withheld)

    @property
    def is_pending(self) -> bool:
        """Return whether a time will pass after which the records change."""
        held = self._held.values()
        withheld = (until_s for _, until_s in self._withheld.values())
        return any(until_s < math.inf for until_s in (*held, *withheld))

    def restore(
        self, known: Records[Record], read: Records[Record], now_s: float
    ) -> Records[Record]:
        """Return the records to use in place of `known` once the copy was `read`."""
        self._prune(now_s)
        self._held = {}
        self._unconfirmed = set()
        self._withheld = {}
        used = {name: self._later(known.get(name), read[name]) for name in read}
        for name in known.keys() - read.keys():
            self._lose(name, known[name], now_s)
        for name in self._held:
            used[name] = known[name]
        for name in read.keys() & self._removed.keys() - known.keys():
            removed, _ = self._removed[name]
            if self._is_withheld(removed, read[name]):
                self._withheld[name] = read[name], self._withhold_end_s(removed, now_s)
                used.pop(name)
        return used

    def learn(
        self, known: Records[Record], read: Records[Record], now_s: float
    ) -> Records[Record]:
        """Return the records to use of a copy that was `read` without any memory.

        `known` are the records of a host that had read the store before. What it does
        not use may have been removed before the store came back.
        """
        for name in read.keys() - known.keys():
            self._note_removed(name, read[name], now_s)
        return self.restore(known, read, now_s)

    def read_again(
        self,
        known: Records[Record],
        read: Records[Record],
        now_s: float,
        *,
        is_adopted: bool = False,
    ) -> Records[Record]:
        """Return the records to use after all were read again in the same era.

        Records that were adopted from another host may be held by that one, too.
        """
        if is_adopted:
            self._unconfirmed = self._held.keys() & read.keys()
        else:
            self._unconfirmed = set()
            self._held = {
                name: self._held[name] for name in self._held.keys() - read.keys()
            }
        self._withheld = {
            name: (read[name], until_s)
            for name, (record, until_s) in self._withheld.items()
            if name in read
            and (read[name] == record or self._is_late_write(name, read[name]))
        }
        used = {name: read[name] for name in read.keys() - self._withheld.keys()}
        for name in known.keys() - read.keys():
            if name in self._held:
                used[name] = known[name]
            else:
                self._note_removed(name, known[name], now_s)
        return used

    def note_change(self, name: str, record: Record) -> bool:
        """Return whether a record that was written in this era is used."""
        self._held.pop(name, None)
        if name not in self._withheld:
            return True
        _, until_s = self._withheld[name]
        if self._is_late_write(name, record):
            self._withheld[name] = record, until_s
            return False
        self._withheld.pop(name)
        return True

    def note_removal(self, name: str, known: Record | None, now_s: float) -> None:
        """Record that a record was removed in this era."""
        self._held.pop(name, None)
        self._withheld.pop(name, None)
        if known is not None:
            self._note_removed(name, known, now_s)

    def expire(self, known: Records[Record], now_s: float) -> Records[Record] | None:
        """Return the records to use when a time has passed, or None if none has."""
        lost = [
            name
            for name, until_s in self._held.items()
            if until_s <= now_s and name not in self._unconfirmed
        ]
        released = {
            name: record
            for name, (record, until_s) in self._withheld.items()
            if until_s <= now_s
        }
        if not lost and not released:
            return None
        for name in lost:
            self.note_removal(name, known.get(name), now_s)
        for name in released:
            self._withheld.pop(name)
        return {name: known[name] for name in known if name not in lost} | released

    def _later(self, known: Record | None, read: Record) -> Record:
        if known is None:
            return read
        return known if self._rules.is_older(read, known) else read

    def _lose(self, name: str, record: Record, now_s: float) -> None:
        """Hold a record that the copy lacks, unless its writer was leaving."""
        if self._rules.hold_s and not self._rules.has_left(record):
            self._held[name] = now_s + self._rules.hold_s
        elif self._rules.has_left(record):
            self._note_removed(name, record, now_s)

    def _is_withheld(self, removed: Record, read: Record) -> bool:
        # The writer of a later record was alive after the removal.
        return bool(self._rules.withhold_s) and not self._rules.is_older(removed, read)

    def _is_late_write(self, name: str, record: Record) -> bool:
        """Return whether the store has applied a record after a later one was seen."""
        removed = self._removed.get(name)
        return removed is not None and self._rules.is_older(record, removed[0])

    def _withhold_end_s(self, removed: Record, now_s: float) -> float:
        if self._rules.has_left(removed):
            return math.inf
        return now_s + self._rules.withhold_s

    def _note_removed(self, name: str, record: Record, now_s: float) -> None:
        self._removed.pop(name, None)
        self._removed[name] = record, now_s
        self._prune(now_s)

    def _prune(self, now_s: float) -> None:
        expired_s = now_s - _REMOVAL_TTL_S
        removals = self._removed.items()
        expired = list(takewhile(lambda each: each[1][1] < expired_s, removals))
        for name, _ in expired:
            if name not in self._withheld:
                self._removed.pop(name)
