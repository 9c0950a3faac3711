"""Decide how long servers are used whose entries vanished from the store.

Entries lapse while the store is down, since the servers cannot renew them. An entry
that vanishes while the store answers was removed, however many vanish with it.
"""

import math

# Servers whose entries lapsed register again within about 2 s of the store's return;
# the rest is for the propagation to this host. A removed server serves for 2.5 s.
RETURN_GRACE_S = 2.1


class StoreOutage:
    """Track the latest outage of the store; times are on the boot clock."""

    __slots__ = ('_failing', '_returned_s')

    def __init__(self) -> None:
        self._failing: frozenset[str] = frozenset()
        # When the store first answered again, or None if it has not.
        self._returned_s: float | None = -math.inf

    def note(
        self, now_s: float, *, failing: frozenset[str], served: frozenset[str]
    ) -> None:
        """Record which hosts the store does not answer, and which it answers.

        These are this host and the readers of its failure domain.
        """
        if failing - self._failing:
            self._returned_s = None
        has_returned = not failing or not self._failing.isdisjoint(served)
        if self._returned_s is None and has_returned:
            self._returned_s = now_s
        self._failing = failing

    def note_restored(self, now_s: float) -> None:
        """Record that the store came back from a copy, perhaps unnoticed till now."""
        if not self._failing:
            self._returned_s = now_s

    def grace_end_s(self, now_s: float, changed_s: float) -> float | None:
        """Return until when servers are used whose entries vanished at `changed_s`.

        Return None if the entries were removed, or should have returned by now.
        """
        base_s = changed_s
        if self._returned_s is not None:
            base_s = min(changed_s, self._returned_s)
        end_s = base_s + RETURN_GRACE_S
        return end_s if end_s > now_s else None
