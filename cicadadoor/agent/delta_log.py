"""Keep the latest deltas, so that a peer slightly behind need not pull everything."""

from collections import deque

from cicadadoor.links.config_messages import ConfigDelta

_MAX_DELTAS = 256
_MAX_BYTES = 1_000_000


class DeltaLog:
    """Hold consecutive deltas up to the current generation."""

    def __init__(self) -> None:
        self._deltas: deque[ConfigDelta] = deque()
        self._size_bytes = 0

    def add(self, delta: ConfigDelta) -> None:
        """Add the next delta; one that does not follow the last restarts the log."""
        if self._deltas and delta.generation != self._deltas[-1].generation + 1:
            self.clear()
        self._deltas.append(delta)
        self._size_bytes += _size_bytes(delta)
        while len(self._deltas) > _MAX_DELTAS or self._size_bytes > _MAX_BYTES:
            self._size_bytes -= _size_bytes(self._deltas.popleft())

    def clear(self) -> None:
        """Remove all deltas."""
        self._deltas.clear()
        self._size_bytes = 0

    def since(self, generation: int) -> list[ConfigDelta]:
        """Return all deltas after a generation, or none if some were dropped."""
        found = [delta for delta in self._deltas if delta.generation > generation]
        if found and found[0].generation == generation + 1:
            return found
        return []


def _size_bytes(delta: ConfigDelta) -> int:
    return sum(
        len(change.splice.middle)
        for change in delta.changes.values()
        if change.splice is not None
    )
