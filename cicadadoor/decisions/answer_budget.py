"""Bound the memory of all unfinished answers of a host together.

Answers several servers that send without end at once: the answer that holds most is
given up first, so that the usual small ones are served.
"""

from collections.abc import Hashable


class AnswerBudget:
    """Count the bytes that each unfinished answer holds."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held: dict[Hashable, int] = {}
        self.held_bytes = 0

    def take(self, holder: Hashable, size_bytes: int) -> Hashable | None:
        """Count bytes that came; return the holder that has to give up its answer.

        That holder is counted no more.
        """
        self._held[holder] = self._held.get(holder, 0) + size_bytes
        self.held_bytes += size_bytes
        if self.held_bytes <= self._limit_bytes:
            return None
        largest = max(self._held, key=self._held.__getitem__)
        self.release(largest)
        return largest

    def release(self, holder: Hashable) -> None:
        """Count an answer no more, if it is counted."""
        self.held_bytes -= self._held.pop(holder, 0)
