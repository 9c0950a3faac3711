"""Rank backend servers for an object, and choose one with room.

Answers uneven load over time and places: an object's requests go to the same few
backend servers, which serve it faster than others, as long as these have room.
"""

import math
from collections.abc import Mapping, Sequence
from hashlib import blake2b

_HASH_BYTES = 8
_HASH_SPAN = 1 << (8 * _HASH_BYTES)


class Weighted:
    """Name a backend server and its weight in the ranking."""

    __slots__ = ('name', 'weight')

    def __init__(self, name: str, weight: float) -> None:
        self.name = name
        self.weight = weight


def rank(servers: Sequence[Weighted], object_key: str) -> tuple[str, ...]:
    """Order servers by weighted rendezvous hash; the order is the same on all hosts.

    A server that comes or goes moves only the objects that it has or had.
    """
    scored = [(_score(each, object_key), each.name) for each in servers]
    scored.sort(reverse=True)
    return tuple(name for _, name in scored)


def _score(server: Weighted, object_key: str) -> float:
    text = f'{object_key}\n{server.name}'.encode()
    drawn = int.from_bytes(blake2b(text, digest_size=_HASH_BYTES).digest(), 'big')
    return -server.weight / math.log((drawn + 0.5) / _HASH_SPAN)


class Room:
    """Tell how full a backend server is: requests running or waiting, and slots."""

    __slots__ = ('load', 'slots')

    def __init__(self, load: float, slots: int) -> None:
        self.load = load
        self.slots = slots

    @property
    def fullness(self) -> float:
        """Return the load in multiples of the slots."""
        return self.load / self.slots


def choose(
    ranked: Sequence[str],
    rooms: Mapping[str, Room],
    *,
    near_count: int,
    spill_fullness: float,
    limit_fullness: float,
) -> str | None:
    """Return the first of the preferred servers with room, or None if all are full.

    The first `near_count` ranked servers are preferred below `spill_fullness`. After
    them the emptiest of all is taken, so long as it is below `limit_fullness`. Servers
    without an entry in `rooms` take no request.
    """
    able = [name for name in ranked if name in rooms]
    if not able:
        return None
    preferred = [
        name for name in able[:near_count] if rooms[name].fullness < spill_fullness
    ]
    if preferred:
        return preferred[0]
    emptiest = min(able, key=lambda name: rooms[name].fullness)
    if rooms[emptiest].fullness < limit_fullness:
        return emptiest
    return None


def region_weights(
    slots_by_region: Mapping[str, int],
    demand_by_region: Mapping[str, float],
    region: str,
    target_use: float,
) -> dict[str, float]:
    """Return the weight of a slot in each region for requests from one region.

    Requests stay in their region as far as its slots carry them at the target use;
    the rest goes to other regions in proportion to what these have left.
    """
    total_slots = sum(slots_by_region.values())
    total_demand = sum(demand_by_region.values())
    if not total_slots or not total_demand:
        return dict.fromkeys(slots_by_region, 1.0)
    # Both in shares of the whole, with the same use of every slot as the target.
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
