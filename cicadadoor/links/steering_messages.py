"""Define the messages for credits, the state of backend servers, and load."""

import msgspec

from cicadadoor.links.messages import Message


class CreditRequest(Message, frozen=True, kw_only=True, tag=True):
    """Request credits by service, each for forwarding one request to the receiver."""

    region: str
    wanted: dict[str, int]


class ServiceGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Grant credits named `<grant_id>/0` to `<grant_id>/<count - 1>`."""

    grant_id: str
    count: int


class CreditGrant(Message, frozen=True, kw_only=True, tag=True):
    """Grant credits; services without headroom are omitted."""

    grants: dict[str, ServiceGrant]
    lifetime_ms: int


class CreditReturn(Message, frozen=True, kw_only=True, tag=True):
    """Return credits that are not needed."""

    credit_ids: list[str]


class LeavingNotice(Message, frozen=True, kw_only=True, tag=True):
    """List the backend servers that told the sender that they are leaving."""

    servers: list[str]


class HostState(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a backend server's entry in the platform's host list."""

    version: int
    is_leaving: bool


class BackendUpdate(Message, frozen=True, kw_only=True, tag=True):
    """Send a gate the host list and the drains and holds; it replaces the last update.

    The update covers every object up to the store version `version`.
    Drained targets get no new requests; `drained` names backend servers. Held targets
    are exempt from automatic actions.
    """

    version: int = 0
    hosts: dict[str, HostState] = {}
    drained: list[str] = []
    drained_domains: list[str] = []
    drained_services: list[str] = []
    held_servers: list[str] = []
    held_services: list[str] = []
    held_regions: list[str] = []


class ServiceLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the load of a service at a gate: mean slots in use, its share, bytes/s."""

    busy: float
    slots: float
    bytes_per_s: float = 0


class GateLoad(Message, frozen=True, kw_only=True, tag=True):
    """Report a gate's load by service, and the requests in flight by server.

    `settled_generation` is the newest generation whose weights are fully in use,
    `orders_version` that of the operators' orders; `link_bytes_per_s` counts by
    target region.
    """

    host: str
    failure_domain: str
    region: str
    settled_generation: int
    orders_version: int
    services: dict[str, ServiceLoad]
    server_in_flight: dict[str, int]
    link_bytes_per_s: dict[str, float]


class PullLoad(Message, frozen=True, kw_only=True, tag=True):
    """Request the last load report of an agent's gate."""


class PullDomainLoad(Message, frozen=True, kw_only=True, tag=True):
    """Request the load reports of a relay's failure domain."""


class LoadAnswer(Message, frozen=True, kw_only=True, tag=True):
    """Carry the last load report, if there is one, and its age."""

    load: GateLoad | None = None
    age_s: float = 0


class DomainLoad(Message, frozen=True, kw_only=True, tag=True):
    """Carry a domain's load reports; `missing` lists hosts that did not answer."""

    failure_domain: str
    answers: list[LoadAnswer]
    missing: list[str]
