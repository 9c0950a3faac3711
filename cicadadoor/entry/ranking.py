"""Rank the backend servers of a service for each object."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

from cicadadoor.decisions.domain_order import (
    RankedServer,
    domain_shares,
    group_by_domain,
)
from cicadadoor.decisions.placement import (
    WeightedServer,
    group_by_region,
    rank,
    region_weights,
)
from cicadadoor.entry.backend_table import Backend

_MAX_ORDERS = 20_000
# Utilisation of a region's slots up to which its requests stay in the region.
_TARGET_UTILISATION = 1.0
# Keeps servers of other regions in the ranking, for requests that find no capacity at
# the servers before them.
_MIN_WEIGHT = 1e-6
# Servers of the failure domain, its region and other regions that come first. Copies of
# an object stay at these, so that the caches of the others keep their own objects.
FIRST_COUNTS = (2, 2, 4)


class ServerOrder(ABC):
    """Weigh the servers of a service and order them for one object."""

    @abstractmethod
    def weigh(self, open_servers: Sequence[Backend]) -> list[WeightedServer]:
        """Return the weights of the servers for requests of this host's callers."""

    @abstractmethod
    def group(
        self, ranked: Sequence[str], open_servers: Sequence[Backend]
    ) -> tuple[str, ...]:
        """Return the ranked servers in the order in which they are tried."""


class RegionOrder(ServerOrder):
    """Keep the requests for an object in one region."""

    def __init__(self, region: str, region_of_domain: Mapping[str, str]) -> None:
        self._region = region
        # Demand is assumed equal for each failure domain: weights that followed the
        # current demand would move objects away from the servers that cache them.
        regions = list(region_of_domain.values())
        self._demand = {name: float(regions.count(name)) for name in regions}

    def weigh(self, open_servers: Sequence[Backend]) -> list[WeightedServer]:
        """Weigh the slots of each region by the demand that it takes."""
        slots: dict[str, int] = {}
        for server in open_servers:
            slots[server.region] = slots.get(server.region, 0) + server.record.slots
        per_slot = region_weights(
            slots, self._demand, self._region, _TARGET_UTILISATION
        )
        return [_weighted(server, per_slot[server.region]) for server in open_servers]

    def group(
        self, ranked: Sequence[str], open_servers: Sequence[Backend]
    ) -> tuple[str, ...]:
        """Move the servers of the first one's region to the front."""
        return group_by_region(
            ranked,
            {server.record.instance_id: server.region for server in open_servers},
        )


class DomainOrder(ServerOrder):
    """Keep the requests for an object in one failure domain, then in its region."""

    def __init__(
        self, failure_domain: str, region_of_domain: Mapping[str, str]
    ) -> None:
        self._failure_domain = failure_domain
        self._region_of_domain = region_of_domain

    def weigh(self, open_servers: Sequence[Backend]) -> list[WeightedServer]:
        """Weigh the slots of each failure domain by the demand that it takes."""
        slots: dict[str, int] = {}
        for server in open_servers:
            domain = server.record.failure_domain
            slots[domain] = slots.get(domain, 0) + server.record.slots
        shares = domain_shares(slots, self._region_of_domain, self._failure_domain)
        return [
            _weighted(
                server,
                shares[server.record.failure_domain]
                / slots[server.record.failure_domain],
            )
            for server in open_servers
        ]

    def group(
        self, ranked: Sequence[str], open_servers: Sequence[Backend]
    ) -> tuple[str, ...]:
        """Order the servers by their distance from the first one."""
        places = {
            server.record.instance_id: RankedServer(
                server.record.instance_id, server.record.failure_domain, server.region
            )
            for server in open_servers
        }
        return group_by_domain([places[name] for name in ranked], FIRST_COUNTS)


class Ranking:
    """Compute rankings, and cache them until the backend servers change."""

    def __init__(self, region_order: ServerOrder, domain_order: ServerOrder) -> None:
        self._order = region_order
        self._domain_order = domain_order
        self._orders: dict[tuple[str, str], tuple[str, ...]] = {}
        self._weights: dict[str, list[WeightedServer]] = {}

    def clear(self) -> None:
        """Discard all cached rankings."""
        self._orders.clear()
        self._weights.clear()

    def rank_by_domain(self) -> None:
        """Rank by failure domain from now on."""
        self._order = self._domain_order
        self.clear()

    def find(self, service: str, object_key: str) -> tuple[str, ...] | None:
        """Return a cached ranking, or None."""
        return self._orders.get((service, object_key))

    def order(
        self,
        service: str,
        object_key: str,
        open_servers: Sequence[Backend],
    ) -> tuple[str, ...]:
        """Compute and cache the ranking of the servers that accept requests."""
        if service not in self._weights:
            self._weights[service] = self._order.weigh(open_servers)
        ranked = rank(self._weights[service], object_key)
        order = self._order.group(ranked, open_servers)
        if len(self._orders) > _MAX_ORDERS:
            self._orders.clear()
        self._orders[service, object_key] = order
        return order


def _weighted(server: Backend, per_slot: float) -> WeightedServer:
    return WeightedServer(
        server.record.instance_id, server.record.slots * max(_MIN_WEIGHT, per_slot)
    )
