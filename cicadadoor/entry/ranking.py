"""Keep the order in which the objects of a service prefer backend servers."""

from collections.abc import Mapping, Sequence

from cicadadoor.decisions.placement import (
    WeightedServer,
    group_by_region,
    rank,
    region_weights,
)
from cicadadoor.entry.backend_table import Backend

_MAX_ORDERS = 20_000
# The use of all slots at which a region is full; up to there its requests stay in it.
_TARGET_UTILISATION = 1.0
# Servers far away stay in the order, for requests that find no room before them.
_MIN_WEIGHT = 1e-6


class Ranking:
    """Compute orders once, until the backend servers change."""

    def __init__(self, region: str, region_of_domain: Mapping[str, str]) -> None:
        self._region = region
        # Taken as equal for each failure domain: a plan that followed the demand of
        # the moment would move objects away from the servers that know them.
        regions = list(region_of_domain.values())
        self._demand = {name: float(regions.count(name)) for name in regions}
        self._orders: dict[tuple[str, str], tuple[str, ...]] = {}
        self._weights: dict[str, list[WeightedServer]] = {}

    def clear(self) -> None:
        """Compute everything anew."""
        self._orders.clear()
        self._weights.clear()

    def find(self, service: str, object_key: str) -> tuple[str, ...] | None:
        """Return an order that was computed before."""
        return self._orders.get((service, object_key))

    def order(
        self,
        service: str,
        object_key: str,
        open_servers: Sequence[Backend],
    ) -> tuple[str, ...]:
        """Compute the order of the servers that may be sent requests."""
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
