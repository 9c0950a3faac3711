"""Split an organisation's limits into floors and leased floating shares."""

import msgspec

# If all floors together hold fewer tokens than this, a host would have to borrow from
# nearly all others to get a whole token, so the whole limit is leased instead.
_MIN_FLOOR_TOKENS = 2
_ROUNDING_TOLERANCE = 1e-9


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a gate instance's fraction of an organisation's floating share.

    `serial` changes with each renewal. There is no absolute time, because the boot
    clocks of hosts differ: the holder counts `duration_s` from before it sent the
    write, all others from when they first saw the serial, plus a margin.
    """

    fraction: float
    wanted_per_s: float
    duration_s: float
    serial: str


class LeaseTable(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all leases of one organisation by gate instance."""

    leases: dict[str, Lease]


class LeaseClock:
    """Track when each lease serial was first seen, and whether it has expired."""

    __slots__ = ('_margin_s', '_seen_s')

    def __init__(self, margin_s: float) -> None:
        self._margin_s = margin_s
        self._seen_s: dict[tuple[str, str], float] = {}

    def live(self, table: LeaseTable, now_s: float) -> LeaseTable:
        """Record new serials, and return the leases that may still be in use."""
        seen_s = {
            (holder, lease.serial): self._seen_s.get((holder, lease.serial), now_s)
            for holder, lease in table.leases.items()
        }
        self._seen_s = seen_s
        return LeaseTable(
            leases={
                holder: lease
                for holder, lease in table.leases.items()
                if now_s < seen_s[holder, lease.serial] + self._validity_s(lease)
            }
        )

    def _validity_s(self, lease: Lease) -> float:
        return lease.duration_s + self._margin_s


def floor_part(burst: float, floor_fraction: float) -> float:
    """Return the fraction of an organisation's limits that is split into floors."""
    return floor_fraction if burst * floor_fraction >= _MIN_FLOOR_TOKENS else 0


def has_fractional_floor(burst: float, floor_fraction: float, seat_count: int) -> bool:
    """Return whether one seat's floor is smaller than a whole token."""
    part = floor_part(burst, floor_fraction)
    return 0 < part * burst / seat_count < 1


def min_lease(burst: float, floor_fraction: float, floor: float) -> float:
    """Return the part of the floating share that completes a whole token."""
    floating = 1 - floor_part(burst, floor_fraction)
    if floating <= 0:
        return 0
    return min(1, max(0, (1 / burst - floor) / floating))


def allocate(
    wanted: dict[str, float],
    rate_per_s: float,
    min_part: float,
) -> dict[str, float]:
    """Split the floating share, of the given rate, among holders by their demand.

    Max-min fair: no holder gets less than an equal part unless it wants less. The
    remainder is spread by demand, as headroom for bursts. A part below `min_part`
    can't hold a whole token, so if there is not enough for all, the holders with the
    lowest demand get none.
    """
    holders = [name for name in wanted if wanted[name] > 0]
    if min_part * len(holders) > 1 + _ROUNDING_TOLERANCE:
        # Ties are broken by name, so that all agents select the same holders.
        holders.sort(key=lambda name: (-wanted[name], name))
        holders = holders[: max(1, int(1 / min_part + _ROUNDING_TOLERANCE))]
    if not holders:
        return {}
    parts = _max_min_fair({name: wanted[name] / rate_per_s for name in holders})
    spare = 1 - sum(parts.values())
    total = sum(wanted[name] for name in holders)
    if spare > 0:
        for name in holders:
            parts[name] += spare * wanted[name] / total
    return _raise_to_min(parts, min_part)


def _max_min_fair(wanted: dict[str, float]) -> dict[str, float]:
    parts: dict[str, float] = {}
    left = 1.0
    for position, name in enumerate(sorted(wanted, key=wanted.__getitem__)):
        equal = left / (len(wanted) - position)
        parts[name] = min(wanted[name], equal)
        left -= parts[name]
    return parts


def _raise_to_min(parts: dict[str, float], min_part: float) -> dict[str, float]:
    raised = {name: max(part, min_part) for name, part in parts.items()}
    excess = sum(raised.values()) - 1
    above = sum(part - min_part for part in raised.values())
    if excess <= 0 or above <= 0:
        return raised
    keep = max(0, 1 - excess / above)
    return {name: min_part + (part - min_part) * keep for name, part in raised.items()}
