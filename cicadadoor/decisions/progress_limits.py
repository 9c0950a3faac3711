"""Limit how slowly clients may send request bodies and read responses."""

# Rate at which a body must arrive on average, after the allowance.
MIN_BYTES_PER_S = 16_384
# Rate at which a response must be read. Half of that for bodies: the client's kernel
# acknowledges in steps of up to 64 KB, so that a window may hold one step less.
MIN_READ_BYTES_PER_S = 8192
_READING_WINDOW_S = 5.0
# After a longer time without a note, the client had nothing to read.
_MAX_NOTE_GAP_S = 2.0
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


class ReadingProgress:
    """Track whether a client reads a response within the stated rate.

    The rate is judged over windows, so that a client which has read much and then stops
    counts as slow soon. Until the first window is over, a client counts as in time.
    """

    __slots__ = (
        '_began_bytes',
        '_began_s',
        '_is_fast',
        '_moved_s',
        '_noted_s',
        '_taken_bytes',
    )

    def __init__(self) -> None:
        self._began_bytes = 0
        self._began_s = 0.0
        self._taken_bytes = 0
        self._moved_s = 0.0
        self._noted_s = 0.0
        self._is_fast = True

    @property
    def is_in_time(self) -> bool:
        """Tell whether the client has read within the rate, as far as noted."""
        return self._is_fast and self._noted_s - self._moved_s < _READING_WINDOW_S

    def note(self, taken_bytes: int, now_s: float) -> None:
        """Record how many bytes the client has acknowledged in all."""
        if now_s - self._noted_s > _MAX_NOTE_GAP_S:
            self._is_fast = True
            self._begin_window(taken_bytes, now_s)
            self._moved_s = now_s
        self._noted_s = now_s
        if taken_bytes != self._taken_bytes:
            self._taken_bytes = taken_bytes
            self._moved_s = now_s
        elapsed_s = now_s - self._began_s
        if elapsed_s >= _READING_WINDOW_S:
            moved_bytes = taken_bytes - self._began_bytes
            self._is_fast = moved_bytes >= elapsed_s * MIN_READ_BYTES_PER_S
            self._begin_window(taken_bytes, now_s)

    def _begin_window(self, taken_bytes: int, now_s: float) -> None:
        self._began_bytes = taken_bytes
        self._began_s = now_s
