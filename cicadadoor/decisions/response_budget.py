"""Limit the memory that all incomplete responses of a host use together.

Protects a host from several backend servers that send endless responses at once: the
largest response is aborted first, so that small ones are still served.
"""

from collections.abc import Hashable


class ResponseBudget:
    """Track the bytes that each incomplete response holds."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held: dict[Hashable, int] = {}
        self.held_bytes = 0

    def take(self, holder: Hashable, size_bytes: int) -> Hashable | None:
        """Add received bytes; return the holder whose response must be aborted, if any.

        The bytes of that holder are already released.
        """
        self._held[holder] = self._held.get(holder, 0) + size_bytes
        self.held_bytes += size_bytes
        if self.held_bytes <= self._limit_bytes:
            return None
        largest = max(self._held, key=self._held.__getitem__)
        self.release(largest)
        return largest

    def release(self, holder: Hashable) -> None:
        """Release the bytes of a response; unknown holders are ignored."""
        self.held_bytes -= self._held.pop(holder, 0)
