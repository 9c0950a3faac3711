"""Limit the bytes that one gate sends over a link between regions."""

# The rest is left for control traffic and for traffic that is not counted.
USABLE_SHARE = 0.8
_BURST_S = 0.5
# Deferrable traffic stops while less than this share of the burst is left.
DEFERRABLE_FLOOR = 0.5


class LinkBudget:
    """Count bytes in a token bucket that responses may overdraw."""

    __slots__ = ('_refilled_s', 'burst_bytes', 'bytes_per_s', 'available_bytes')

    def __init__(self, bytes_per_s: float, now_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.burst_bytes = bytes_per_s * _BURST_S
        self.available_bytes = self.burst_bytes
        self._refilled_s = now_s

    def try_take(self, size_bytes: int, now_s: float, *, is_deferrable: bool) -> bool:
        """Take bytes for a request; return whether the link has capacity.

        A request larger than the whole burst may be sent when the bucket is full.
        """
        self._refill(now_s)
        floor_bytes = DEFERRABLE_FLOOR * self.burst_bytes if is_deferrable else 0
        has_room = self.available_bytes - floor_bytes >= size_bytes
        if not has_room and self.available_bytes < self.burst_bytes:
            return False
        self.available_bytes -= size_bytes
        return True

    def charge(self, size_bytes: int, now_s: float) -> None:
        """Take the bytes of a response, which has to be sent in any case."""
        self._refill(now_s)
        self.available_bytes -= size_bytes

    def is_open(self, now_s: float, *, is_deferrable: bool) -> bool:
        """Return whether the link has capacity for more traffic."""
        self._refill(now_s)
        floor_bytes = DEFERRABLE_FLOOR * self.burst_bytes if is_deferrable else 0
        return self.available_bytes > floor_bytes

    def resize(self, bytes_per_s: float, now_s: float) -> None:
        """Change the rate from now on."""
        if bytes_per_s == self.bytes_per_s:
            return
        self._refill(now_s)
        self.bytes_per_s = bytes_per_s
        self.burst_bytes = bytes_per_s * _BURST_S
        self.available_bytes = min(self.available_bytes, self.burst_bytes)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_s)
        refilled = self.available_bytes + elapsed_s * self.bytes_per_s
        self.available_bytes = min(self.burst_bytes, refilled)
        self._refilled_s = now_s


def gate_share(
    capacity_bytes_per_s: float,
    domains: int,
    seats: int,
    seat_count: int,
) -> float:
    """Return the bytes per second of one gate: split by domain, then by seat."""
    if not domains or not seat_count:
        return 0.0
    return USABLE_SHARE * capacity_bytes_per_s / domains * seats / seat_count
