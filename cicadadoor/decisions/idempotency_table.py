"""Remember used idempotency keys and their responses within a memory limit."""

import heapq
from typing import Any

# Covers the key, the fingerprint and the Python objects of an entry.
ENTRY_BYTES = 512


class Entry:
    """Hold the state of one key; `outcome` is None while the request is in flight."""

    __slots__ = (
        'expires_s',
        'fingerprint',
        'organisation',
        'outcome',
        'size_bytes',
    )

    def __init__(self, fingerprint: str, organisation: str, expires_s: float) -> None:
        self.fingerprint = fingerprint
        self.organisation = organisation
        self.expires_s = expires_s
        self.outcome: Any = None
        self.size_bytes = 0


class IdempotencyTable:
    """Hold an entry from before a request is dispatched until its key expires.

    A response may be dropped earlier; `dropped_outcome` then replaces it, so that the
    key never counts as unused. One organisation gets at most `max_share` of the bytes
    for entries, so that it can't fill the table for the others.
    """

    def __init__(
        self, max_bytes: int, max_share: float, dropped_outcome: object
    ) -> None:
        self._max_bytes = max_bytes
        self._max_entries_per_organisation = int(max_bytes * max_share / ENTRY_BYTES)
        self._dropped_outcome = dropped_outcome
        self._entries: dict[str, Entry] = {}
        self._entry_counts: dict[str, int] = {}
        # Keys whose responses are stored, oldest first.
        self._stored_responses: dict[str, None] = {}
        self._expiries: list[tuple[float, str]] = []
        self.used_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, key: str, now_s: float) -> Entry | None:
        """Return the entry of a used key that has not expired, or None."""
        self._purge(now_s)
        return self._entries.get(key)

    def begin(self, key: str, entry: Entry) -> bool:
        """Add an entry for a request in flight; return False if the table is full."""
        count = self._entry_counts.get(entry.organisation, 0)
        if count >= self._max_entries_per_organisation:
            return False
        self._drop_responses(ENTRY_BYTES)
        if self.used_bytes + ENTRY_BYTES > self._max_bytes:
            return False
        self._entries[key] = entry
        self._entry_counts[entry.organisation] = count + 1
        self.used_bytes += ENTRY_BYTES
        return True

    def settle(self, key: str, outcome: object, size_bytes: int) -> None:
        """Record the outcome of the request and store it while there is room."""
        entry = self._entries[key]
        entry.outcome = outcome
        heapq.heappush(self._expiries, (entry.expires_s, key))
        if size_bytes:
            entry.size_bytes = size_bytes
            self.used_bytes += size_bytes
            self._stored_responses[key] = None
            self._drop_responses(0)

    def forget(self, key: str) -> None:
        """Make the key usable again, because its request did not run."""
        self._remove(key)

    def _drop_responses(self, wanted_bytes: int) -> None:
        while (
            self._stored_responses and self.used_bytes + wanted_bytes > self._max_bytes
        ):
            key = next(iter(self._stored_responses))
            self._entries[key].outcome = self._dropped_outcome
            self._release_response(key)

    def _purge(self, now_s: float) -> None:
        while self._expiries and self._expiries[0][0] <= now_s:
            self._remove(heapq.heappop(self._expiries)[1])

    def _remove(self, key: str) -> None:
        self._release_response(key)
        entry = self._entries.pop(key)
        self.used_bytes -= ENTRY_BYTES
        left = self._entry_counts[entry.organisation] - 1
        self._entry_counts[entry.organisation] = left
        if not left:
            self._entry_counts.pop(entry.organisation)

    def _release_response(self, key: str) -> None:
        entry = self._entries[key]
        self.used_bytes -= entry.size_bytes
        entry.size_bytes = 0
        self._stored_responses.pop(key, None)
