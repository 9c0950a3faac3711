"""Rank the backend servers of a service for each object."""

from collections.abc import Mapping, Sequence

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


class Ranking:
    """Compute rankings, and cache them until the backend servers change."""

    def __init__(self, region: str, region_of_domain: Mapping[str, str]) -> None:
        self._region = region
        # Demand is assumed equal for each failure domain: weights that followed the
        # current demand would move objects away from the servers that cache them.
        regions = list(region_of_domain.values())
        self._demand = {name: float(regions.count(name)) for name in regions}
        self._orders: dict[tuple[str, str], tuple[str, ...]] = {}
        self._weights: dict[str, list[WeightedServer]] = {}

    def clear(self) -> None:
        """Discard all cached rankings."""
        self._orders.clear()
        self._weights.clear()

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
            self._weights[service] = self._compute_weights(open_servers)
        order = group_by_region(
            rank(self._weights[service], object_key),
            {server.record.instance_id: server.region for server in open_servers},
        )
        if len(self._orders) > _MAX_ORDERS:
            self._orders.clear()
        self._orders[service, object_key] = order
        return order

    def _compute_weights(self, open_servers: Sequence[Backend]) -> list[WeightedServer]:
        slots: dict[str, int] = {}
        for server in open_servers:
            slots[server.region] = slots.get(server.region, 0) + server.record.slots
        per_slot = region_weights(
            slots, self._demand, self._region, _TARGET_UTILISATION
        )
        return [
            WeightedServer(
                server.record.instance_id,
                server.record.slots * max(_MIN_WEIGHT, per_slot[server.region]),
            )
            for server in open_servers
        ]
