"""Decide whether a failed attempt may be retried."""

from cicadadoor.errors import ErrorKind, Executed

MAX_ATTEMPTS = 3
# The request was refused or could not be delivered, so no backend server ran it.
_NOT_RUN = frozenset(
    (
        ErrorKind.CONNECT_FAILED,
        ErrorKind.BACKEND_SHED,
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.CREDIT_REFUSED,
        ErrorKind.DRAINING,
    )
)
_OUTCOME_UNKNOWN = frozenset(
    (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.ANSWER_TRUNCATED, ErrorKind.ANSWER_INVALID)
)
# If everything fails, retries add at most this share to the requests.
_SHARE = 0.2
_RESERVE = 10.0
_RESERVE_PER_S = 1.0


class RetryBudget:
    """Limit the retries of one service to a share of its requests."""

    __slots__ = ('_earned_s', '_left', '_reserve', '_reserve_per_s', '_share')

    def __init__(
        self,
        now_s: float,
        *,
        share: float = _SHARE,
        reserve: float = _RESERVE,
        reserve_per_s: float = _RESERVE_PER_S,
    ) -> None:
        self._left = reserve
        self._earned_s = now_s
        self._share = share
        self._reserve = reserve
        self._reserve_per_s = reserve_per_s

    def earn(self, now_s: float) -> None:
        """Add the retries that one request earns."""
        self._add(self._share, now_s)

    def spend(self, now_s: float) -> bool:
        """Take one retry from the budget; return False if none is left."""
        self._add(0, now_s)
        if self._left < 1:
            return False
        self._left -= 1
        return True

    def _add(self, retries: float, now_s: float) -> None:
        elapsed_s = max(0, now_s - self._earned_s)
        self._earned_s = max(self._earned_s, now_s)
        earned = retries + elapsed_s * self._reserve_per_s
        self._left = min(self._reserve, self._left + earned)


def is_repeatable(kind: ErrorKind, run: Executed, *, is_idempotent: bool) -> bool:
    """Return whether a retry can't run a non-idempotent request twice."""
    if kind in _NOT_RUN:
        return run is Executed.NO
    return is_idempotent and kind in _OUTCOME_UNKNOWN
