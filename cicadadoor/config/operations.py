"""Define the operations with which operators steer traffic."""

from enum import Enum, unique

import msgspec

from cicadadoor.config.model import RegionWeight

SHIFT_KIND = 'shift'
HOLD_KIND = 'hold'
DRAIN_KIND = 'drain'
LEASE_KIND = 'planner_lease'
LEASE_NAME = 'planner'
HOST_KIND = 'host'


RegionWeights = tuple[RegionWeight, ...]


@unique
class Approval(Enum):
    """Whether each step of a shift needs the approval of an operator."""

    AUTOMATIC = 'automatic'
    MANUAL = 'manual'


@unique
class ShiftState(Enum):
    """State of a shift."""

    ACTIVE = 'active'
    PROPOSED = 'proposed'
    APPROVED = 'approved'
    DONE = 'done'
    REJECTED = 'rejected'
    STOPPED = 'stopped'


@unique
class Scope(Enum):
    """Type of the target of a hold or a drain."""

    BACKEND_SERVER = 'backend_server'
    FAILURE_DOMAIN = 'failure_domain'
    REGION = 'region'
    SERVICE = 'service'


@unique
class DrainState(Enum):
    """State of a drain.

    A target that is `done` or `failed` still gets no new requests. The traffic of an
    `abandoned` target was not shifted away by the deadline; it keeps taking traffic.
    """

    SHIFTING = 'shifting'
    LEAVING = 'leaving'
    DONE = 'done'
    FAILED = 'failed'
    ABANDONED = 'abandoned'
    CANCELLED = 'cancelled'


class _Operation(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the author of an operation, its last change and who made it."""

    author: str
    changed_by: str
    change: str
    wall_s: float


class Forecast(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the load forecast for a step, in slots in use on average."""

    receiver_load: float
    moved_load: float
    failure_share: float
    limit: float
    age_s: float


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one step: the weights of each home region before and after it."""

    number: int
    before: dict[str, RegionWeights]
    after: dict[str, RegionWeights]
    forecast: Forecast


class Shift(_Operation, frozen=True, kw_only=True):
    """Move weight of a service from one region to another in steps."""

    service: str
    source: str
    target: str
    step_size: float
    interval_s: float
    approval: Approval
    keep_weight: float = 0
    state: ShiftState = ShiftState.ACTIVE
    steps_done: int = 0
    last_step: Step | None = None
    proposal: Step | None = None
    earliest_next_wall_s: float = 0
    waits_for: str = ''

    @property
    def is_open(self) -> bool:
        """Return whether further steps may follow."""
        return self.state in {
            ShiftState.ACTIVE,
            ShiftState.PROPOSED,
            ShiftState.APPROVED,
        }


class Hold(_Operation, frozen=True, kw_only=True):
    """Stop automatic decisions about a service, region or backend server."""

    scope: Scope
    target: str
    reason: str = ''


class Drain(_Operation, frozen=True, kw_only=True):
    """Send no new requests to a target and wait for requests in flight."""

    scope: Scope
    target: str
    deadline_wall_s: float
    state: DrainState
    left: str = ''

    @property
    def is_open(self) -> bool:
        """Return whether the drain is still in progress."""
        return self.state in {DrainState.SHIFTING, DrainState.LEAVING}


class HostEntry(msgspec.Struct, frozen=True):
    """Hold the fields that are read from an entry of the platform's host list."""

    state: str = 'live'


def operation_name(scope: Scope, target: str) -> str:
    """Return the object name of a hold or drain."""
    return f'{scope.value}.{target}'


def find_blocking_hold(
    holds: list[Hold], *, service: str, regions: set[str]
) -> Hold | None:
    """Return the hold that stops automatic moves of a service between the regions."""
    for hold in holds:
        if hold.scope is Scope.SERVICE and hold.target == service:
            return hold
        if hold.scope is Scope.REGION and hold.target in regions:
            return hold
    return None
