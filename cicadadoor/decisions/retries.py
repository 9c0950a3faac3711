"""Decide whether a failed attempt may be followed by another one."""

from cicadadoor.decisions.buckets import TokenBucket
from cicadadoor.errors import ErrorKind, Run

MAX_ATTEMPTS = 3
# The failing part refused or was not reached, so that no backend server ran the
# request.
_NOT_RUN = frozenset(
    (
        ErrorKind.CONNECT_FAILED,
        ErrorKind.BACKEND_SHED,
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.CREDIT_REFUSED,
        ErrorKind.DRAINING,
    )
)
_OUTCOME_UNKNOWN = frozenset((ErrorKind.OUTCOME_UNKNOWN, ErrorKind.ANSWER_TRUNCATED))
# When everything fails, attempts are at most this share above the requests.
_SHARE = 0.2
_RESERVE = 10.0
_RESERVE_PER_S = 1.0


class RetryBudget:
    """Bound the retries of one service to a share of its requests."""

    __slots__ = ('_bucket',)

    def __init__(self, now_s: float) -> None:
        self._bucket = TokenBucket(_RESERVE_PER_S, _RESERVE, now_s)
        self._bucket.put(now_s, _RESERVE)

    def earn(self, now_s: float) -> None:
        """Count one request."""
        self._bucket.put(now_s, _SHARE)

    def spend(self, now_s: float) -> bool:
        """Take one retry; tell whether there was one left."""
        return self._bucket.take(now_s)


def is_repeatable(kind: ErrorKind, run: Run, *, is_idempotent: bool) -> bool:
    """Tell whether another attempt can't break at-most-once."""
    if kind in _NOT_RUN:
        return run is Run.NO
    return is_idempotent and kind in _OUTCOME_UNKNOWN
