"""Define the types of a configuration."""

from enum import Enum, unique

import msgspec

FORMAT_VERSION = 1


@unique
class ServiceClass(Enum):
    """Whether a caller waits for the response."""

    INTERACTIVE = 'interactive'
    DEFERRABLE = 'deferrable'


@unique
class IsolatedKeys(Enum):
    """What an isolated failure domain does with an organisation's keys."""

    REFUSE = 'refuse'
    SERVE = 'serve'


class _Part(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Base of the parts; decoding rejects unknown fields."""


class Region(_Part, frozen=True, kw_only=True):
    """Hold the name of a region."""

    name: str


class FailureDomain(_Part, frozen=True, kw_only=True):
    """Describe a failure domain and its number of seats for entry hosts."""

    name: str
    region: str
    seats: int
    delay_to_clients_us: int


class Link(_Part, frozen=True, kw_only=True):
    """Describe the link between two regions, in one direction."""

    source: str
    target: str
    capacity_bytes_per_s: int
    delay_us: int


class Topology(_Part, frozen=True, kw_only=True):
    """Hold the regions and failure domains of a deployment, and the links."""

    regions: tuple[Region, ...]
    failure_domains: tuple[FailureDomain, ...]
    links: tuple[Link, ...]
    delay_between_domains_us: int


class Route(_Part, frozen=True, kw_only=True):
    """Describe the requests of a service whose path starts with the prefix."""

    path_prefix: str
    methods: tuple[str, ...]
    idempotent: bool = False
    open_to_all: bool = False


class BackendServer(_Part, frozen=True, kw_only=True):
    """Describe one backend server and its limits."""

    name: str
    url: str
    failure_domain: str
    slots: int
    connections: int


class Service(_Part, frozen=True, kw_only=True):
    """Describe a service and the backend servers that run it."""

    name: str
    service_class: ServiceClass
    deadline_ms: int
    routes: tuple[Route, ...]
    backend_servers: tuple[BackendServer, ...]
    connect_cost_us: int = 1000
    probe_cost_us: int = 0


class Organisation(_Part, frozen=True, kw_only=True):
    """Describe an organisation and its fleet-wide limits."""

    name: str
    rate_per_s: float
    burst: int
    queue_weight: int = 1
    isolated_keys: IsolatedKeys = IsolatedKeys.REFUSE
    serve_for_s: int = 0


class OrganisationLimits(_Part, frozen=True, kw_only=True):
    """Hold all organisations and the fraction of their rates reserved as floors."""

    floor_fraction: float
    organisations: tuple[Organisation, ...]


class KeyRecord(_Part, frozen=True, kw_only=True):
    """Hold the SHA-256 of a key and the organisation that it belongs to."""

    key_hash: str
    organisation: str


class RegionWeight(_Part, frozen=True, kw_only=True):
    """Hold the weight of a region for the client blocks of a home region."""

    region: str
    weight: float


class SteeringRule(_Part, frozen=True, kw_only=True):
    """Distribute the client blocks of a home region over regions, for one service."""

    service: str
    home_region: str
    weights: tuple[RegionWeight, ...]


class Weights(_Part, frozen=True, kw_only=True):
    """Hold all steering rules and the number of the last step of each shift."""

    rules: tuple[SteeringRule, ...]
    max_step: float
    shift_steps: dict[str, int] = {}


class ClientBlock(_Part, frozen=True, kw_only=True):
    """Hold the home region of a CIDR block of client addresses."""

    cidr: str
    region: str


class Configuration(_Part, frozen=True, kw_only=True):
    """Hold a complete configuration, as operators review and submit it."""

    format: int
    topology: Topology
    services: tuple[Service, ...]
    limits: OrganisationLimits
    keys: tuple[KeyRecord, ...]
    weights: Weights
    client_blocks: tuple[ClientBlock, ...]
