"""Decode the platform's objects into the project's records."""

import re
from collections.abc import Callable
from typing import Any

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
from cicadadoor.platform.store_client import StoreObject
from cicadadoor.settings import parse_address

_VERSION = re.compile(r'r(\d+)')
_LEAST_URGENT = 9
_STATES = frozenset(('ready', 'draining'))


class MalformedObjectError(Exception):
    """Raise when an object can't be read as the record that its kind promises."""


class _Table(msgspec.Struct):
    """Hold rows of values in the order of the columns; null means omitted."""

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
    priority: int = _LEAST_URGENT
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
    slots: int


class _WorkerStatus(msgspec.Struct, kw_only=True):
    state: str
    cold_remaining_ms: int | float = 0


class _Worker(msgspec.Struct, kw_only=True):
    address: str
    info: _WorkerInfo
    status: _WorkerStatus | None = None
    born: int = 0


def decode(topic: Topic, stored: StoreObject) -> Record:
    """Return the record; raise MalformedObjectError if the object isn't one."""
    try:
        return _DECODERS[topic](stored)
    except (msgspec.MsgspecError, ValueError) as error:
        raise MalformedObjectError(str(error)) from error


def _policy(stored: StoreObject) -> RequestPolicy:
    found = msgspec.json.decode(stored.spec, type=_Configuration)
    version = _VERSION.fullmatch(found.version)
    if version is None:
        raise ValueError(f'version {found.version!r} is not r and a number')
    services = [msgspec.convert(row, _Service) for row in found.services.entries()]
    tenants = found.tenants or _Table()
    organisations = [
        _organisation(msgspec.convert(row, _Tenant)) for row in tenants.entries()
    ]
    return RequestPolicy(
        version=int(version.group(1)),
        routes=tuple(
            _route(msgspec.convert(row, _Route)) for row in found.routes.entries()
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
        limits=found.limits,
        requires_key=found.tenants is not None,
    )


def _route(found: _Route) -> RoutePolicy:
    if not found.path_prefix.startswith('/') or not found.path_prefix.endswith('/'):
        raise ValueError(
            f'path prefix {found.path_prefix!r} needs a slash at both ends'
        )
    shares = [
        ServiceShare(service=each.service, weight=each.weight)
        for each in found.traffic_split
    ] or [ServiceShare(service=found.service, weight=1)]
    if not all(share.service and share.weight >= 0 for share in shares):
        raise ValueError(f'route {found.name!r} names no service')
    return RoutePolicy(
        name=found.name,
        host_name=found.host.lower(),
        path_prefix=found.path_prefix,
        # A kind of route that isn't known may not be repeated either.
        is_idempotent=found.route_type == 'safe',
        is_public=found.public,
        has_affinity=found.session_affinity,
        timeout_ms=found.timeout_ms,
        latency_objective_ms=found.target_latency_ms or found.timeout_ms,
        priority=found.priority,
        max_attempts=max(1, found.max_attempts),
        services=tuple(shares),
        home_regions=frozenset(found.home_regions),
    )


def _organisation(found: _Tenant) -> OrganisationPolicy:
    return OrganisationPolicy(
        name=found.name,
        api_keys=tuple(found.api_keys),
        rate_per_s=found.rate_per_s,
        burst=found.burst,
        priority=found.priority,
        home_regions=frozenset(found.home_regions),
    )


def _backend(stored: StoreObject) -> BackendRecord:
    found = msgspec.json.decode(stored.spec, type=_Worker)
    # What a worker says of itself may stand in the object's own status.
    status = found.status
    if bytes(stored.status) != b'null':
        status = msgspec.json.decode(stored.status, type=_WorkerStatus)
    if status is None or status.state not in _STATES:
        raise ValueError(f'status {status!r} names no known state')
    if found.info.slots <= 0:
        raise ValueError(f'slots {found.info.slots} is not above 0')
    return BackendRecord(
        instance_id=stored.metadata.name,
        service=found.info.service,
        address=found.address,
        failure_domain=found.info.zone,
        slots=found.info.slots,
        is_draining=status.state == 'draining' or stored.metadata.deleting,
        cold_remaining_ms=int(status.cold_remaining_ms),
        started_ms=found.born,
    )


def _evacuation(stored: StoreObject) -> Evacuation:
    return Evacuation(failure_domain=stored.metadata.name)


def _host(stored: StoreObject) -> HostRecord:
    record = msgspec.json.decode(stored.spec, type=HostRecord)
    for address in (record.callers, record.peers):
        if parse_address(address) is None:
            raise ValueError(f'{address!r} is no address of a host')
    return record


_DECODERS: dict[Topic, Callable[[StoreObject], Record]] = {
    Topic.POLICY: _policy,
    Topic.BACKENDS: _backend,
    Topic.EVACUATIONS: _evacuation,
    Topic.HOSTS: _host,
}
