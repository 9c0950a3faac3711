"""Define the messages for credits, leaving backend servers and load."""

import msgspec

from cicadadoor.links.messages import Message


class CreditRequest(Message, frozen=True, kw_only=True, tag=True):
    """Ask a gate for credits, for several services at once."""

    region: str
    wanted: dict[str, int]


class ServiceGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Give credits named `<grant_id>/0` to `<grant_id>/<count - 1>`."""

    grant_id: str
    count: int


class CreditGrant(Message, frozen=True, kw_only=True, tag=True):
    """Give credits; services without headroom are left out."""

    grants: dict[str, ServiceGrant]
    lifetime_ms: int


class CreditReturn(Message, frozen=True, kw_only=True, tag=True):
    """Hand back credits that are not needed."""

    credit_ids: list[str]


class LeavingNotice(Message, frozen=True, kw_only=True, tag=True):
    """Name the backend servers that told the sender that they leave."""

    servers: list[str]


class HostState(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a backend server's entry in the platform's host list."""

    version: int
    is_leaving: bool


class BackendUpdate(Message, frozen=True, kw_only=True, tag=True):
    """Tell a gate what the platform and operators say; each one replaces the last.

    `drained` names backend servers, `drained_domains` failure domains, that get
    nothing new. Nothing automatic is done to what is held.
    """

    hosts: dict[str, HostState] = {}
    drained: list[str] = []
    drained_domains: list[str] = []
    held_servers: list[str] = []
    held_services: list[str] = []
    held_regions: list[str] = []


class ServiceLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Measure one service at one gate: mean slots in use, its share, and bytes."""

    busy: float
    slots: float
    bytes_per_s: float = 0


class GateLoad(Message, frozen=True, kw_only=True, tag=True):
    """Report a gate's load by service, and the requests in flight by server.

    `settled_generation` is the newest generation whose weights are fully in use;
    `link_bytes_per_s` counts by target region.
    """

    host: str
    failure_domain: str
    region: str
    settled_generation: int
    services: dict[str, ServiceLoad]
    server_in_flight: dict[str, int]
    link_bytes_per_s: dict[str, float]
    leaving: list[str] = []
