"""Define the error kinds and the HTTP response that a caller gets for each."""

from enum import Enum, IntEnum, unique
from http import HTTPStatus


@unique
class Executed(Enum):
    """State whether a backend server executed the request."""

    NO = 'no'
    UNKNOWN = 'unknown'
    YES = 'yes'


@unique
class ErrorKind(Enum):
    """Enumerate the ways in which an operation can fail."""

    BAD_REQUEST = 'bad_request'
    REQUEST_TOO_LARGE = 'request_too_large'
    UNKNOWN_SERVICE = 'unknown_service'
    KEY_MISSING = 'key_missing'
    KEY_UNKNOWN = 'key_unknown'
    KEY_WITHDRAWN = 'key_withdrawn'
    KEY_UNVERIFIABLE = 'key_unverifiable'
    RATE_EXCEEDED = 'rate_exceeded'
    QUEUE_FULL = 'queue_full'
    DEADLINE_PASSED = 'deadline_passed'
    NOT_READY = 'not_ready'
    DRAINING = 'draining'
    NO_CAPACITY = 'no_capacity'
    NO_BACKEND_SERVER = 'no_backend_server'
    CREDIT_REFUSED = 'credit_refused'
    LINK_BUDGET_EXCEEDED = 'link_budget_exceeded'
    CONNECT_FAILED = 'connect_failed'
    BACKEND_SHED = 'backend_shed'
    QUARANTINED = 'quarantined'
    REQUEST_HELD = 'request_held'
    BACKEND_MOVED = 'backend_moved'
    BACKEND_SILENT = 'backend_silent'
    ANSWER_INVALID = 'answer_invalid'
    UNKNOWN_ROUTE = 'unknown_route'
    IDEMPOTENCY_KEY_INVALID = 'idempotency_key_invalid'
    IDEMPOTENCY_KEY_REUSED = 'idempotency_key_reused'
    IDEMPOTENCY_IN_PROGRESS = 'idempotency_in_progress'
    IDEMPOTENCY_TABLE_FULL = 'idempotency_table_full'
    IDEMPOTENCY_OUTCOME_UNKNOWN = 'idempotency_outcome_unknown'
    ANSWER_NOT_KEPT = 'answer_not_kept'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    ANSWER_TRUNCATED = 'answer_truncated'
    ANSWER_TIMED_OUT = 'answer_timed_out'
    INTERNAL = 'internal'
    STORE_UNAVAILABLE = 'store_unavailable'
    STORE_CONFLICT = 'store_conflict'
    STORE_NOT_FOUND = 'store_not_found'
    STORE_TOO_LARGE = 'store_too_large'
    STORE_COMPACTED = 'store_compacted'
    STORE_OUTCOME_UNKNOWN = 'store_outcome_unknown'
    PEER_UNREACHABLE = 'peer_unreachable'
    MESSAGE_INVALID = 'message_invalid'
    SETTINGS_INVALID = 'settings_invalid'
    CONFIG_INVALID = 'config_invalid'
    CONFIG_CONFLICT = 'config_conflict'
    OPERATION_HELD = 'operation_held'
    MEASUREMENTS_STALE = 'measurements_stale'
    CAP_EXCEEDED = 'cap_exceeded'
    TIMED_OUT = 'timed_out'
    CUT_BY_STOP = 'cut_by_stop'


class ErrorResponse:
    """Hold the HTTP status and the `run` value for one error kind."""

    __slots__ = ('run', 'status')

    def __init__(self, status: HTTPStatus, run: Executed) -> None:
        self.status = status
        self.run = run


class Failure:
    """Describe an expected failure; returned in place of a result.

    `retry_after_ms` is 0 if no useful retry time is known. `run` overrides the default
    of the error kind where more is known about the request.
    """

    __slots__ = ('_run', 'kind', 'reason', 'retry_after_ms')

    def __init__(
        self,
        kind: ErrorKind,
        reason: str,
        retry_after_ms: int = 0,
        run: Executed | None = None,
    ) -> None:
        self.kind = kind
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self._run = run

    @property
    def run(self) -> Executed:
        """State whether a backend server executed the request."""
        return self._run or ERROR_RESPONSES[self.kind].run

    @property
    def has_explicit_run(self) -> bool:
        """Tell whether `run` was set explicitly instead of derived from the kind."""
        return self._run is not None

    def __repr__(self) -> str:
        return f'Failure({self.kind.value}: {self.reason})'


class AddressInUseError(Exception):
    """Report a listen address that another process uses, even if that is paused."""

    def __init__(self, address: object) -> None:
        super().__init__(
            f'address {address} is in use by another process; '
            'stop that process or change the settings',
        )


@unique
class ExitStatus(IntEnum):
    """Define an exit code for each outcome of a command."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_EVERYWHERE = 6
    UNKNOWN = 7
    STOPPED_WITH_WORK_LEFT = 8


def _not_run(status: HTTPStatus) -> ErrorResponse:
    return ErrorResponse(status, Executed.NO)


_UNAVAILABLE = _not_run(HTTPStatus.SERVICE_UNAVAILABLE)
_BAD_REQUEST = _not_run(HTTPStatus.BAD_REQUEST)
_CONFLICT = _not_run(HTTPStatus.CONFLICT)
_UNAUTHORIZED = _not_run(HTTPStatus.UNAUTHORIZED)
_FORBIDDEN = _not_run(HTTPStatus.FORBIDDEN)

# `Executed.NO` is used only if no byte of the request left the gate, or if the backend
# server's documented load-shedding response states that the request did not run.
ERROR_RESPONSES = {
    ErrorKind.BAD_REQUEST: _BAD_REQUEST,
    ErrorKind.REQUEST_TOO_LARGE: _not_run(HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
    ErrorKind.UNKNOWN_SERVICE: _not_run(HTTPStatus.NOT_FOUND),
    ErrorKind.KEY_MISSING: _UNAUTHORIZED,
    ErrorKind.KEY_UNKNOWN: _UNAUTHORIZED,
    ErrorKind.KEY_WITHDRAWN: _FORBIDDEN,
    ErrorKind.KEY_UNVERIFIABLE: _UNAVAILABLE,
    ErrorKind.RATE_EXCEEDED: _not_run(HTTPStatus.TOO_MANY_REQUESTS),
    ErrorKind.QUEUE_FULL: _UNAVAILABLE,
    ErrorKind.DEADLINE_PASSED: _not_run(HTTPStatus.REQUEST_TIMEOUT),
    ErrorKind.NOT_READY: _UNAVAILABLE,
    ErrorKind.DRAINING: _UNAVAILABLE,
    ErrorKind.NO_CAPACITY: _UNAVAILABLE,
    ErrorKind.NO_BACKEND_SERVER: _UNAVAILABLE,
    ErrorKind.CREDIT_REFUSED: _UNAVAILABLE,
    ErrorKind.LINK_BUDGET_EXCEEDED: _UNAVAILABLE,
    ErrorKind.CONNECT_FAILED: _UNAVAILABLE,
    ErrorKind.BACKEND_SHED: _UNAVAILABLE,
    ErrorKind.QUARANTINED: _not_run(HTTPStatus.UNPROCESSABLE_ENTITY),
    ErrorKind.REQUEST_HELD: _UNAVAILABLE,
    ErrorKind.BACKEND_MOVED: _UNAVAILABLE,
    ErrorKind.BACKEND_SILENT: ErrorResponse(
        HTTPStatus.GATEWAY_TIMEOUT, Executed.UNKNOWN
    ),
    ErrorKind.ANSWER_INVALID: ErrorResponse(HTTPStatus.BAD_GATEWAY, Executed.UNKNOWN),
    ErrorKind.UNKNOWN_ROUTE: _not_run(HTTPStatus.NOT_FOUND),
    ErrorKind.IDEMPOTENCY_KEY_INVALID: _BAD_REQUEST,
    ErrorKind.IDEMPOTENCY_KEY_REUSED: _not_run(HTTPStatus.UNPROCESSABLE_ENTITY),
    # The first request with the key is still in flight and may be executed.
    ErrorKind.IDEMPOTENCY_IN_PROGRESS: ErrorResponse(
        HTTPStatus.CONFLICT, Executed.UNKNOWN
    ),
    ErrorKind.IDEMPOTENCY_TABLE_FULL: _UNAVAILABLE,
    ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN: ErrorResponse(
        HTTPStatus.BAD_GATEWAY,
        Executed.UNKNOWN,
    ),
    ErrorKind.ANSWER_NOT_KEPT: ErrorResponse(HTTPStatus.CONFLICT, Executed.YES),
    ErrorKind.CLAIM_UNAVAILABLE: _UNAVAILABLE,
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(HTTPStatus.BAD_GATEWAY, Executed.UNKNOWN),
    ErrorKind.ANSWER_TRUNCATED: ErrorResponse(HTTPStatus.BAD_GATEWAY, Executed.UNKNOWN),
    ErrorKind.ANSWER_TIMED_OUT: ErrorResponse(
        HTTPStatus.GATEWAY_TIMEOUT, Executed.UNKNOWN
    ),
    ErrorKind.INTERNAL: ErrorResponse(
        HTTPStatus.INTERNAL_SERVER_ERROR, Executed.UNKNOWN
    ),
    ErrorKind.STORE_UNAVAILABLE: _UNAVAILABLE,
    ErrorKind.STORE_CONFLICT: _CONFLICT,
    ErrorKind.STORE_NOT_FOUND: _not_run(HTTPStatus.NOT_FOUND),
    ErrorKind.STORE_TOO_LARGE: _not_run(HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
    ErrorKind.STORE_COMPACTED: _not_run(HTTPStatus.GONE),
    ErrorKind.STORE_OUTCOME_UNKNOWN: ErrorResponse(
        HTTPStatus.BAD_GATEWAY, Executed.UNKNOWN
    ),
    ErrorKind.PEER_UNREACHABLE: _UNAVAILABLE,
    ErrorKind.MESSAGE_INVALID: _BAD_REQUEST,
    ErrorKind.SETTINGS_INVALID: _BAD_REQUEST,
    ErrorKind.CONFIG_INVALID: _BAD_REQUEST,
    ErrorKind.CONFIG_CONFLICT: _CONFLICT,
    ErrorKind.OPERATION_HELD: _CONFLICT,
    ErrorKind.MEASUREMENTS_STALE: _CONFLICT,
    ErrorKind.CAP_EXCEEDED: _CONFLICT,
    ErrorKind.TIMED_OUT: _not_run(HTTPStatus.GATEWAY_TIMEOUT),
    ErrorKind.CUT_BY_STOP: ErrorResponse(HTTPStatus.GATEWAY_TIMEOUT, Executed.UNKNOWN),
}
