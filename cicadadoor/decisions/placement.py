"""Rank backend servers for an object, and choose one with capacity.

An object's requests go to the same few backend servers, which have it in their caches
and so serve it faster, as long as these have capacity. This also balances load that
is uneven over time and between regions.
"""

import enum
import math
from collections.abc import Mapping, Sequence
from hashlib import blake2b

_HASH_BYTES = 8
_HASH_SPAN = 1 << (8 * _HASH_BYTES)


class WeightedServer:
    """Hold the name of a backend server and its weight in the ranking."""

    __slots__ = ('name', 'weight')

    def __init__(self, name: str, weight: float) -> None:
        self.name = name
        self.weight = weight


def rank(servers: Sequence[WeightedServer], object_key: str) -> tuple[str, ...]:
    """Order servers by weighted rendezvous hash; the order is the same on all hosts.

    A server that is added or removed moves only the objects that it gets or had.
    """
    scored = [(_score(each, object_key), each.name) for each in servers]
    scored.sort(reverse=True)
    return tuple(name for _, name in scored)


def _score(server: WeightedServer, object_key: str) -> float:
    text = f'{object_key}\n{server.name}'.encode()
    hash_value = int.from_bytes(blake2b(text, digest_size=_HASH_BYTES).digest(), 'big')
    return -server.weight / math.log((hash_value + 0.5) / _HASH_SPAN)


@enum.unique
class CacheState(enum.Enum):
    """List whether a backend server has an object in its cache.

    The first request for an object makes the server load it. Until that request ends,
    further requests would take as long; afterwards they take a fraction of the time.
    """

    CACHED = 'known'
    LOADING = 'learning'
    NOT_CACHED = 'unknown'


class Candidate:
    """Hold a server's load, in multiples of its slots, and its cache state."""

    __slots__ = ('cache_state', 'utilisation', 'name')

    def __init__(self, name: str, utilisation: float, cache_state: CacheState) -> None:
        self.name = name
        self.utilisation = utilisation
        self.cache_state = cache_state


class Choice:
    """Hold the server to send to, or the loading server to wait for."""

    __slots__ = ('send_to', 'wait_for')

    def __init__(self, send_to: str | None = None, wait_for: str | None = None) -> None:
        self.send_to = send_to
        self.wait_for = wait_for


# A server without a free slot does not load another object.
_MAX_LOADING_UTILISATION = 1.0
# While one server loads an object, a second one does so only below this utilisation.
_SECOND_LOADING_UTILISATION = 0.6


def choose(
    ranked: Sequence[Candidate],
    *,
    preferred_count: int,
    spill_utilisation: float,
    max_utilisation: float,
    may_wait: bool,
) -> Choice:
    """Choose among the servers that accept requests, in the order of their rank.

    A server that has cached the object and is below `spill_utilisation` is chosen
    first. Otherwise one of the first `preferred_count` servers loads the object, if it
    has a free slot and none of them is loading it already. Servers that have cached the
    object and have a higher utilisation, up to `max_utilisation`, come last.
    """
    preferred = ranked[:preferred_count]
    cached = [each for each in ranked if each.cache_state is CacheState.CACHED]
    below_spill = [each for each in cached if each.utilisation < spill_utilisation]
    if below_spill:
        return Choice(send_to=below_spill[0].name)
    loading = [each for each in preferred if each.cache_state is CacheState.LOADING]
    if loading and may_wait:
        return Choice(wait_for=loading[0].name)
    max_loading_utilisation = (
        _SECOND_LOADING_UTILISATION if loading else _MAX_LOADING_UTILISATION
    )
    for each in preferred:
        if (
            each.cache_state is not CacheState.CACHED
            and each.utilisation < max_loading_utilisation
        ):
            return Choice(send_to=each.name)
    least_loaded = min(cached, key=lambda each: each.utilisation, default=None)
    if least_loaded is not None and least_loaded.utilisation < max_utilisation:
        return Choice(send_to=least_loaded.name)
    return Choice()


def group_by_region(
    ranked: Sequence[str],
    region_of: Mapping[str, str],
) -> tuple[str, ...]:
    """Move the servers in the first server's region to the front.

    Requests that the first server has no capacity for then stay in its region, so that
    short peaks move no requests between regions.
    """
    if not ranked:
        return ()
    first = region_of[ranked[0]]
    return tuple(sorted(ranked, key=lambda name: region_of[name] != first))


def region_weights(
    slots_by_region: Mapping[str, int],
    demand_by_region: Mapping[str, float],
    region: str,
    target_utilisation: float,
) -> dict[str, float]:
    """Return the weight of a slot in each region for requests from one region.

    Requests stay in their region as far as its slots can serve them at the target
    utilisation; the rest goes to other regions in proportion to their spare capacity.
    """
    total_slots = sum(slots_by_region.values())
    total_demand = sum(demand_by_region.values())
    if not total_slots or not total_demand:
        return dict.fromkeys(slots_by_region, 1.0)
    # Both are fractions of the total, with the same target utilisation for each slot.
    capacity = {
        name: slots / total_slots / target_utilisation
        for name, slots in slots_by_region.items()
    }
    demand = {
        name: demand_by_region.get(name, 0) / total_demand
        for name in sorted({*slots_by_region, *demand_by_region})
    }
    kept = min(demand.get(region, 0), capacity.get(region, 0))
    spare = {
        name: capacity[name] - min(demand[name], capacity[name]) for name in capacity
    }
    total_spare = sum(spare.values()) or 1.0
    sent_away = demand.get(region, 0) - kept
    shares = {name: sent_away * part / total_spare for name, part in spare.items()}
    shares[region] = shares.get(region, 0) + kept
    return {
        name: shares[name] / slots_by_region[name]
        for name in capacity
        if slots_by_region[name]
    }
