"""Decode objects of the platform's store into records."""

import re
from collections.abc import Callable
from typing import Annotated, Any

import msgspec

from cicadadoor.entry.model import (
    BackendRecord,
    ClientLimits,
    Evacuation,
    HostRecord,
    OrganisationPolicy,
    Record,
    RequestPolicy,
    RoutePolicy,
    ServicePolicy,
    ServiceShare,
    Topic,
)
from cicadadoor.platform.answers import StoreObject
from cicadadoor.settings import parse_address

_VERSION = re.compile(r'r(\d+)')
# A download is a safe request with a large response.
_IDEMPOTENT_TYPES = frozenset(('safe', 'download'))
_LOWEST_PRIORITY = 9
# Larger numbers are not exact in every JSON reader, and some do not fit into the
# messages between hosts.
_MAX_INTEGER = 9_007_199_254_740_992
_MAX_SLOTS = 1_000_000
_WORKER_STATES = frozenset(('ready', 'draining'))


class MalformedObjectError(Exception):
    """Signal that an object is not a valid record of its kind."""


class _Table(msgspec.Struct):
    """Hold rows of values in the order of the columns; null marks an omitted value."""

    columns: list[str] = []
    rows: list[list[Any]] = []

    def entries(self) -> list[dict[str, Any]]:
        return [
            {
                column: value
                for column, value in zip(self.columns, row, strict=True)
                if value is not None
            }
            for row in self.rows
        ]


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, kw_only=True):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: int
    target_latency_ms: int = 0
    priority: int = _LOWEST_PRIORITY
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    session_affinity: bool = False
    home_regions: list[str] = []
    service: str = ''


class _Service(msgspec.Struct, kw_only=True):
    name: str
    warmup_s: float = 0
    cold_per_s: float = 0


class _Tenant(msgspec.Struct, kw_only=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0
    home_regions: list[str] = []


class _Configuration(msgspec.Struct, kw_only=True):
    version: str
    routes: _Table
    services: _Table
    limits: ClientLimits = ClientLimits()
    tenants: _Table | None = None


class _WorkerInfo(msgspec.Struct, kw_only=True):
    service: str
    zone: str
    slots: Annotated[int, msgspec.Meta(gt=0, le=_MAX_SLOTS)]


class _WorkerStatus(msgspec.Struct, kw_only=True):
    state: str
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_INTEGER)] = 0
    seq: Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)] | None = None


class _Worker(msgspec.Struct, kw_only=True):
    address: str
    info: _WorkerInfo
    status: _WorkerStatus | None = None
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)] = 0


def decode(topic: Topic, stored: StoreObject) -> Record:
    """Return the record of an object; raise MalformedObjectError if it is invalid."""
    try:
        return _DECODERS[topic](stored)
    except (msgspec.MsgspecError, ValueError) as error:
        raise MalformedObjectError(str(error)) from error


def _policy(stored: StoreObject) -> RequestPolicy:
    decoded = msgspec.json.decode(stored.spec, type=_Configuration)
    version = _VERSION.fullmatch(decoded.version)
    if version is None:
        raise ValueError(
            f'version {decoded.version!r} must be r and a number, as in r12'
        )
    services = [msgspec.convert(row, _Service) for row in decoded.services.entries()]
    tenants = decoded.tenants or _Table()
    organisations = [
        _organisation(msgspec.convert(row, _Tenant)) for row in tenants.entries()
    ]
    return RequestPolicy(
        version=int(version.group(1)),
        routes=tuple(
            _route(msgspec.convert(row, _Route)) for row in decoded.routes.entries()
        ),
        services={
            each.name: ServicePolicy(
                name=each.name,
                warmup_s=each.warmup_s,
                cold_rate_per_s=each.cold_per_s,
            )
            for each in services
        },
        organisations={each.name: each for each in organisations},
        limits=decoded.limits,
        requires_key=decoded.tenants is not None,
    )


def _route(decoded: _Route) -> RoutePolicy:
    if not decoded.path_prefix.startswith('/') or not decoded.path_prefix.endswith('/'):
        raise ValueError(
            f'path prefix {decoded.path_prefix!r} must start and end with a slash'
        )
    shares = [
        ServiceShare(service=each.service, weight=each.weight)
        for each in decoded.traffic_split
    ] or [ServiceShare(service=decoded.service, weight=1)]
    if not all(share.service and share.weight >= 0 for share in shares):
        raise ValueError(
            f'route {decoded.name!r}: a share needs a service and a weight of 0 or more'
        )
    return RoutePolicy(
        name=decoded.name,
        host_name=decoded.host.lower(),
        path_prefix=decoded.path_prefix,
        # Requests of an unknown route type must not run twice either.
        is_idempotent=decoded.route_type in _IDEMPOTENT_TYPES,
        is_public=decoded.public,
        has_affinity=decoded.session_affinity,
        timeout_ms=decoded.timeout_ms,
        latency_objective_ms=decoded.target_latency_ms or decoded.timeout_ms,
        priority=decoded.priority,
        max_attempts=max(1, decoded.max_attempts),
        services=tuple(shares),
        home_regions=frozenset(decoded.home_regions),
    )


def _organisation(decoded: _Tenant) -> OrganisationPolicy:
    return OrganisationPolicy(
        name=decoded.name,
        api_keys=tuple(decoded.api_keys),
        rate_per_s=decoded.rate_per_s,
        burst=decoded.burst,
        priority=decoded.priority,
        home_regions=frozenset(decoded.home_regions),
    )


def _backend(stored: StoreObject) -> BackendRecord:
    decoded = msgspec.json.decode(stored.spec, type=_Worker)
    # A worker reports its status in the object's status or in its spec.
    status = decoded.status
    if bytes(stored.status) != b'null':
        status = msgspec.json.decode(stored.status, type=_WorkerStatus)
    if status is None or status.state not in _WORKER_STATES:
        raise ValueError(f'status {status!r} must have the state ready or draining')
    _check_address(decoded.address)
    return BackendRecord(
        instance_id=stored.metadata.name,
        service=decoded.info.service,
        address=decoded.address,
        failure_domain=decoded.info.zone,
        slots=decoded.info.slots,
        is_draining=status.state == 'draining' or stored.metadata.deleting,
        cold_remaining_ms=int(status.cold_remaining_ms),
        started_ms=decoded.born,
        sequence=status.seq,
    )


def _evacuation(stored: StoreObject) -> Evacuation:
    return Evacuation(failure_domain=stored.metadata.name)


def _host(stored: StoreObject) -> HostRecord:
    record = msgspec.json.decode(stored.spec, type=HostRecord)
    for address in (record.callers, record.peers):
        _check_address(address)
    return record


def _check_address(address: str) -> None:
    if parse_address(address) is None:
        raise ValueError(
            f'address {address!r} must be an IP address and a port, '
            'such as 127.0.0.1:8080'
        )


_DECODERS: dict[Topic, Callable[[StoreObject], Record]] = {
    Topic.POLICY: _policy,
    Topic.BACKENDS: _backend,
    Topic.EVACUATIONS: _evacuation,
    Topic.HOSTS: _host,
}
