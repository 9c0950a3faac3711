"""Order backend servers so that requests stay in their callers' failure domain.

Answers uneven demand where bytes between failure domains are expensive: each domain
serves its own callers as far as it has the slots, then its region does, then others.
"""

from collections.abc import Mapping, Sequence

# Share of its spare capacity with which a domain stands in the order of other domains.
_SURGE_FRACTION = 0.001


def domain_shares(
    slots_by_domain: Mapping[str, int],
    region_of_domain: Mapping[str, str],
    domain: str,
) -> dict[str, float]:
    """Return the share of the total demand that each domain takes from one domain.

    Demand is taken as equal in all domains. It stays in its domain as far as the slots
    there can serve it, then in its region; the rest is spread by spare capacity. Each
    domain with spare capacity has a small share, so that surges find these domains.
    """
    total_slots = sum(slots_by_domain.values())
    if not total_slots or not region_of_domain:
        return dict.fromkeys(slots_by_domain, 0.0)
    even = 1 / len(region_of_domain)
    spare = {
        name: max(0.0, slots / total_slots - even)
        for name, slots in slots_by_domain.items()
    }
    kept = min(even, slots_by_domain.get(domain, 0) / total_slots)
    region = region_of_domain.get(domain)
    near = {
        name: part
        for name, part in spare.items()
        if region_of_domain.get(name) == region and name != domain
    }
    far = {
        name: part
        for name, part in spare.items()
        if region_of_domain.get(name) != region
    }
    sent_near = min(even - kept, sum(near.values()))
    planned = {
        **_spread(sent_near, near),
        **_spread(even - kept - sent_near, far),
        domain: kept,
    }
    return {
        name: max(part, _SURGE_FRACTION * spare.get(name, 0.0))
        for name, part in planned.items()
    }


def _spread(demand: float, spare: Mapping[str, float]) -> dict[str, float]:
    total = sum(spare.values())
    return {
        name: demand * part / total if total else 0.0 for name, part in spare.items()
    }


class RankedServer:
    """Hold the name of a ranked server and where it is."""

    __slots__ = ('failure_domain', 'name', 'region')

    def __init__(self, name: str, failure_domain: str, region: str) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.region = region


def group_by_domain(
    ranked: Sequence[RankedServer], first_counts: tuple[int, int, int]
) -> tuple[str, ...]:
    """Order servers by distance from the first one, its failure domain coming first.

    The first servers of the domain, of its region and of other regions come before the
    rest of each, as many as `first_counts` tells: copies of an object then are at the
    same few servers, and a surge finds servers of other regions among the first.
    """
    if not ranked:
        return ()
    home = ranked[0]
    groups: tuple[list[str], list[str], list[str]] = ([], [], [])
    for server in ranked:
        distance = int(server.failure_domain != home.failure_domain)
        distance += int(server.region != home.region)
        groups[distance].append(server.name)
    pairs = tuple(zip(groups, first_counts, strict=True))
    firsts = [name for group, count in pairs for name in group[:count]]
    return (*firsts, *(name for group, count in pairs for name in group[count:]))
