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

    The first request for an object loads it (the server "learns" the object). Until it
    ends, further requests would cost as much; afterwards they cost a fraction.
    """

    KNOWN = 'known'
    LEARNING = 'learning'
    UNKNOWN = 'unknown'


class Candidate:
    """Hold a server's load, in multiples of its slots, and its cache state."""

    __slots__ = ('cache_state', 'utilisation', 'name')

    def __init__(self, name: str, utilisation: float, cache_state: CacheState) -> None:
        self.name = name
        self.utilisation = utilisation
        self.cache_state = cache_state


class Choice:
    """Hold the server to send to, or the learning server to wait for."""

    __slots__ = ('send_to', 'wait_for')

    def __init__(self, send_to: str | None = None, wait_for: str | None = None) -> None:
        self.send_to = send_to
        self.wait_for = wait_for


# A server without a free slot does not learn another object.
_LEARN_UTILISATION = 1.0
# While one server learns an object, a second one does so only below this load.
_LEARN_AGAIN_UTILISATION = 0.6


def choose(
    ranked: Sequence[Candidate],
    *,
    near_count: int,
    spill_utilisation: float,
    max_utilisation: float,
    may_wait: bool,
) -> Choice:
    """Choose among the servers that accept requests, in the order of their rank.

    A server that knows the object and is below `spill_utilisation` is preferred.
    Otherwise one of the first `near_count` servers learns the object, if it has a free
    slot and none of them is learning it already. Servers that know the object and have
    a higher load, up to `max_utilisation`, come last.
    """
    near = ranked[:near_count]
    known = [each for each in ranked if each.cache_state is CacheState.KNOWN]
    below_spill = [each for each in known if each.utilisation < spill_utilisation]
    if below_spill:
        return Choice(send_to=below_spill[0].name)
    learning = [each for each in near if each.cache_state is CacheState.LEARNING]
    if learning and may_wait:
        return Choice(wait_for=learning[0].name)
    learn_utilisation = _LEARN_AGAIN_UTILISATION if learning else _LEARN_UTILISATION
    for each in near:
        if (
            each.cache_state is not CacheState.KNOWN
            and each.utilisation < learn_utilisation
        ):
            return Choice(send_to=each.name)
    least_loaded = min(known, key=lambda each: each.utilisation, default=None)
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
    target_use: float,
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
    room = {
        name: slots / total_slots / target_use
        for name, slots in slots_by_region.items()
    }
    asked = {
        name: demand_by_region.get(name, 0) / total_demand
        for name in sorted({*slots_by_region, *demand_by_region})
    }
    kept = min(asked.get(region, 0), room.get(region, 0))
    spare = {name: room[name] - min(asked[name], room[name]) for name in room}
    total_spare = sum(spare.values()) or 1.0
    sent_away = asked.get(region, 0) - kept
    shares = {name: sent_away * part / total_spare for name, part in spare.items()}
    shares[region] = shares.get(region, 0) + kept
    return {
        name: shares[name] / slots_by_region[name]
        for name in room
        if slots_by_region[name]
    }
