"""Define what an entry host knows of its deployment."""

import enum

import msgspec


@enum.unique
class Topic(enum.Enum):
    """Name the kinds of record that all hosts read."""

    POLICY = 'policy'
    BACKENDS = 'backends'
    EVACUATIONS = 'evacuations'
    HOSTS = 'hosts'


class ServiceShare(msgspec.Struct, frozen=True, kw_only=True):
    """Give a service its part of a route's requests."""

    service: str
    weight: float


class RoutePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Tell how the requests below a path prefix of a host name are handled.

    Only requests of an idempotent route may run more than once. `max_attempts` bounds
    the backend servers that one request is sent to. Priority 0 is the most urgent.
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
    """Hold the bounds of the backend servers of a service."""

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
    """Bound what a client may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class RequestPolicy(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Hold one version of the operator's configuration; a later version is greater."""

    version: int
    routes: tuple[RoutePolicy, ...]
    services: dict[str, ServicePolicy]
    organisations: dict[str, OrganisationPolicy]
    limits: ClientLimits
    requires_key: bool


class BackendRecord(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Describe one run of a backend server as it registered itself.

    `started_ms` tells two runs under the same instance id apart.
    """

    instance_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    cold_remaining_ms: int
    started_ms: int = 0


class Evacuation(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask that the backend servers of a failure domain get no requests."""

    failure_domain: str


class HostRecord(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Tell where a host takes callers and messages of other hosts."""

    host: str
    instance: str
    callers: str
    peers: str
    failure_domain: str
    region: str


Record = RequestPolicy | BackendRecord | Evacuation | HostRecord


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all records of a topic, by name, as of a revision of the store.

    A record that could not be read is `None`.
    """

    revision: int
    records: dict[str, Record | None]


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what changed up to a revision; a removed record is in `removed`."""

    revision: int
    changed: dict[str, Record | None]
    removed: tuple[str, ...]
