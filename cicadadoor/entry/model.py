"""Define the shared records that entry hosts read from the store."""

import enum
from typing import NamedTuple

import msgspec

from cicadadoor.decisions.request_quarantine import CrashReport


@enum.unique
class Topic(enum.Enum):
    """List the kinds of record that all hosts read."""

    POLICY = 'policy'
    BACKENDS = 'backends'
    EVACUATIONS = 'evacuations'
    HOSTS = 'hosts'


class ServiceShare(msgspec.Struct, frozen=True, kw_only=True):
    """Define the share of a route's requests that a service gets."""

    service: str
    weight: float


class RoutePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Define how requests below a path prefix of a host name are handled.

    Only requests of an idempotent route may run more than once. `max_attempts` limits
    the number of backend servers that one request is sent to. Priority 0 is the most
    urgent.
    """

    name: str
    host_name: str
    path_prefix: str
    is_idempotent: bool
    is_public: bool
    has_affinity: bool
    timeout_ms: int
    latency_objective_ms: int
    priority: int
    max_attempts: int
    services: tuple[ServiceShare, ...]
    home_regions: frozenset[str] = frozenset()


class ServicePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the warm-up limits of the backend servers of a service."""

    name: str
    warmup_s: float
    cold_rate_per_s: float


class OrganisationPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Hold an organisation's keys and its limits over all hosts; rate 0 is no limit."""

    name: str
    api_keys: tuple[str, ...]
    rate_per_s: float
    burst: float
    priority: int | None = None
    home_regions: frozenset[str] = frozenset()


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limit the size of requests and the time that clients may take to send them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class RequestPolicy(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Hold one version of the operator's configuration; versions increase."""

    version: int
    routes: tuple[RoutePolicy, ...]
    services: dict[str, ServicePolicy]
    organisations: dict[str, OrganisationPolicy]
    limits: ClientLimits
    requires_key: bool


class BackendRecord(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Describe one run of a backend server, as the server registered itself.

    `started_ms` distinguishes runs that use the same instance id, and `sequence` orders
    the entries of one run; 0 and None stand for an entry without them.
    """

    instance_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    cold_remaining_ms: int
    started_ms: int = 0
    sequence: int | None = None

    def is_older_than(self, other: 'BackendRecord') -> bool:
        """Return whether the server wrote this entry before the other one."""
        if not self.started_ms or not other.started_ms:
            return False
        if self.started_ms != other.started_ms:
            return self.started_ms < other.started_ms
        if self.sequence is None or other.sequence is None:
            return False
        return self.sequence < other.sequence


class Evacuation(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Stop sending requests to the backend servers of a failure domain."""

    failure_domain: str


class HostRecord(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Describe a host: its identity, and its addresses for callers and for peers.

    `capacity` is the share of requests that it should get, relative to other hosts.
    `quarantines` are the requests that crash backend servers, by fingerprint, as the
    host knew them at `written_s` (seconds since the epoch).
    """

    host: str
    instance: str
    callers: str
    peers: str
    failure_domain: str
    region: str
    capacity: float = 1.0
    quarantines: dict[int, CrashReport] = {}
    written_s: float = 0


Record = RequestPolicy | BackendRecord | Evacuation | HostRecord


def later_record(known: Record | None, record: Record | None) -> Record | None:
    """Return the record that replaces a known one of the same name.

    The store may apply a write after a later one, and after it has come back from a
    copy it has older records. A configuration that can not be read replaces none.
    """
    if isinstance(known, BackendRecord) and isinstance(record, BackendRecord):
        return known if record.is_older_than(known) else record
    if isinstance(known, RequestPolicy):
        is_later = isinstance(record, RequestPolicy) and record.version >= known.version
        return record if is_later else known
    return record


class Position(NamedTuple):
    """Order the states of the store, which gives revisions out again in a later era.

    Era 0 stands for a store or a host that names none.
    """

    era: int
    revision: int


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all records of a topic by name, at one position of the store.

    A record that could not be decoded is `None`.
    """

    revision: int
    records: dict[str, Record | None]
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the position of the store at which these were its records."""
        return Position(self.era, self.revision)


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the changes up to a revision; `removed` names the removed records.

    `replaced` names the changed records that were removed and then created anew.
    """

    revision: int
    changed: dict[str, Record | None]
    removed: tuple[str, ...]
    era: int = 0
    replaced: tuple[str, ...] = ()

    @property
    def position(self) -> Position:
        """Return the position of the store up to which these are its changes."""
        return Position(self.era, self.revision)
