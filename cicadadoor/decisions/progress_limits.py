"""Limit the time that a client may take to send a request body."""

# Rate at which a body must arrive on average, after the allowance.
MIN_BYTES_PER_S = 16_384
# Added to the time limit for a request header.
_ALLOWANCE_S = 5.0


class BodyProgress:
    """Track the arrival of one body.

    The average rate is checked against the bytes received so far, not against the whole
    length: a client that declares a long body would otherwise keep the connection open
    for the time that the whole body may take.
    """

    __slots__ = ('_allowance_s', '_began_s', '_last_s', 'received_bytes')

    def __init__(self, now_s: float, header_timeout_s: float) -> None:
        self._allowance_s = header_timeout_s + _ALLOWANCE_S
        self._began_s = now_s
        self._last_s = now_s
        self.received_bytes = 0

    def restart(self, now_s: float) -> None:
        """Count from now on, since the body could not be received until now."""
        self._began_s = now_s
        self._last_s = now_s
        self.received_bytes = 0

    @property
    def due_s(self) -> float:
        """Return the time at which the body is too late unless more of it arrives."""
        needed_s = self.received_bytes / MIN_BYTES_PER_S
        return self._allowance_s + min(self._last_s, self._began_s + needed_s)

    def note(self, size_bytes: int, now_s: float) -> None:
        """Record received bytes."""
        self.received_bytes += size_bytes
        self._last_s = now_s
