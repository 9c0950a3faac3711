"""Tell from failed requests whether a server may have been restarted.

A server that lost power may come back under the same id while the store is silent, so
that no entry shows that its caches are empty.
"""

import math

# No server is back sooner after it ended, so failures within less time are those of
# single connections.
_MIN_RESTART_S = 0.5
# One failed connection may be a lost packet or a connection that the server closed.
_MIN_FAILURES = 2


class RestartEvidence:
    """Collect the failures since a server's last response, on the boot clock."""

    __slots__ = ('_connection_failures', '_first_failed_s', '_is_unanswered', 'refused')

    def __init__(self) -> None:
        # Nothing listened at the address, so the server returns as a new process.
        self.refused = False
        self._connection_failures = 0
        # A request that is not answered may as well wait at a busy server, so it counts
        # only beside a failed connection.
        self._is_unanswered = False
        self._first_failed_s = math.inf

    def clear(self) -> None:
        """Forget the failures, as the server has responded."""
        self.refused = False
        self._connection_failures = 0
        self._is_unanswered = False
        self._first_failed_s = math.inf

    def note_connection_failure(self, now_s: float) -> None:
        """Record a connection that was reset, or could not be opened."""
        self._connection_failures += 1
        self._first_failed_s = min(self._first_failed_s, now_s)

    def note_unanswered(self, now_s: float) -> None:
        """Record a request that got no response in time."""
        self._is_unanswered = True
        self._first_failed_s = min(self._first_failed_s, now_s)

    def shows_restart(self, now_s: float) -> bool:
        """Return whether a server that responds now may have been restarted."""
        if self.refused:
            return True
        if not self._connection_failures:
            return False
        failures = self._connection_failures + int(self._is_unanswered)
        is_long = now_s - self._first_failed_s >= _MIN_RESTART_S
        return failures >= _MIN_FAILURES and is_long
