"""Limit the connections of clients, and select those that give way to new ones."""

import enum
import heapq
from collections.abc import Iterable

# Descriptors for files, pipes, listening sockets and the event loop.
_FILES = 200
# Shares of the other descriptors. Each running request of a caller needs a second one
# for its backend server; there are at most as many as connections of callers.
_CALLERS_SHARE = 0.45
_PLATFORM_SHARE = 0.05
_MIN_PLATFORM = 16
# Selecting looks at all connections, so several are closed at a time.
_FRACTION_CLOSED = 0.015
# Near the bound, one address may hold this share of the connections.
_NEAR_SHARE = 0.9
_ADDRESS_SHARE = 0.5


class ConnectionBounds:
    """Hold the numbers of connections that a process accepts."""

    __slots__ = ('callers', 'platform')

    def __init__(self, max_descriptors: int) -> None:
        sockets = max(0, max_descriptors - _FILES)
        self.callers = max(_MIN_PLATFORM, int(sockets * _CALLERS_SHARE))
        # Directory, readiness and metrics.
        self.platform = max(_MIN_PLATFORM, int(sockets * _PLATFORM_SHARE))


@enum.unique
class Phase(enum.IntEnum):
    """State what a connection does; the lowest ones give way first."""

    CLOSING = 0
    IDLE = 1
    # Slow in sending a request or in taking a response.
    TRANSFERRING = 2
    # Never closed for another connection: its request may be running.
    RUNNING = 3


class ConnectionUse:
    """Describe what one connection does at the moment."""

    __slots__ = ('address', 'moved_bytes', 'phase', 'since_s')

    def __init__(self, address: str, now_s: float) -> None:
        self.address = address
        self.phase = Phase.IDLE
        self.since_s = now_s
        self.moved_bytes = 0

    def enter(self, phase: Phase, now_s: float) -> None:
        """Begin a phase."""
        self.phase = phase
        self.since_s = now_s
        self.moved_bytes = 0


class ConnectionTable:
    """Count the connections, and select those to close when a new one arrives."""

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._uses: dict[ConnectionUse, None] = {}
        self._by_address: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._uses)

    def add(self, use: ConnectionUse) -> None:
        """Count a connection."""
        self._uses[use] = None
        self._by_address[use.address] = self._by_address.get(use.address, 0) + 1

    def remove(self, use: ConnectionUse) -> None:
        """Stop counting a connection; unknown ones are ignored."""
        if use not in self._uses:
            return
        self._uses.pop(use)
        left = self._by_address.pop(use.address) - 1
        if left:
            self._by_address[use.address] = left

    def make_room(self, address: str, now_s: float) -> list[ConnectionUse] | None:
        """Return connections to close for a new one; None if it must be refused."""
        is_near = len(self._uses) >= self._bound * _NEAR_SHARE
        held = self._by_address.get(address, 0)
        candidates: Iterable[ConnectionUse] = self._uses
        if is_near and held >= self._bound * _ADDRESS_SHARE:
            candidates = [use for use in self._uses if use.address == address]
        elif len(self._uses) < self._bound:
            return []
        closed = heapq.nsmallest(
            max(1, int(self._bound * _FRACTION_CLOSED)),
            (use for use in candidates if use.phase is not Phase.RUNNING),
            key=lambda use: _rank(use, now_s),
        )
        if not closed and len(self._uses) >= self._bound:
            return None
        return closed


def _rank(use: ConnectionUse, now_s: float) -> tuple[int, float]:
    if use.phase is not Phase.TRANSFERRING:
        return use.phase, use.since_s
    # A connection that has only just begun has moved nothing yet.
    return use.phase, use.moved_bytes / max(1.0, now_s - use.since_s)
