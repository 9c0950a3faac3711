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
    there can serve it, then in its region; the rest is spread by spare capacity. No
    domain is given more than its slots, except that each one with spare capacity has a
    small share, so that surges find these domains.
    """
    total_slots = sum(slots_by_domain.values())
    if not total_slots or not region_of_domain:
        return dict.fromkeys(slots_by_domain, 0.0)
    even = 1 / len(region_of_domain)
    # Negative for domains that cannot serve all of their demand.
    spare = {
        name: slots_by_domain.get(name, 0) / total_slots
        - even * (name in region_of_domain)
        for name in (*region_of_domain, *slots_by_domain)
    }
    region = region_of_domain.get(domain, '')
    sent = min(even, max(0.0, -spare.get(domain, -even)))
    near: dict[str, float] = {}
    far: dict[str, float] = {}
    for name in slots_by_domain:
        balance = RegionBalance(spare, region_of_domain, name)
        if balance.region == region:
            near[name] = max(0.0, spare[name])
        else:
            # Other regions are sent only what their own domains leave.
            far[name] = max(0.0, spare[name]) * (1 - balance.used)
    sent_near = sent * RegionBalance(spare, region_of_domain, domain).served
    planned = {
        **_spread(sent_near, near),
        **_spread(sent - sent_near, far),
        domain: even - sent,
    }
    return {
        name: max(part, _SURGE_FRACTION * spare.get(name, 0.0))
        for name, part in planned.items()
    }


class RegionBalance:
    """Balance the spare slots and the unserved demand of a domain's region.

    `used` is the part of the spare slots that the region's own domains use, `served`
    the part of their unserved demand that these slots can serve.
    """

    __slots__ = ('region', 'served', 'used')

    def __init__(
        self,
        spare: Mapping[str, float],
        region_of_domain: Mapping[str, str],
        domain: str,
    ) -> None:
        self.region = region_of_domain.get(domain, '')
        parts = [
            part
            for name, part in spare.items()
            if region_of_domain.get(name, '') == self.region
        ]
        unused = sum(part for part in parts if part > 0)
        unserved = -sum(part for part in parts if part < 0)
        self.used = min(1.0, unserved / unused) if unused else 1.0
        self.served = min(1.0, unused / unserved) if unserved else 1.0


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
