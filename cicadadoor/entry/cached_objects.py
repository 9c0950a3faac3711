"""Track the objects that backend servers have cached."""

import anyio

from cicadadoor.decisions.cache_capacity import CacheCapacity
from cicadadoor.decisions.placement import CacheState
from cicadadoor.entry.heartbeats import name_hash


class FirstRequest:
    """Hold the first request for an object, which makes the server load it."""

    __slots__ = ('ended', 'started_s')

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.ended = anyio.Event()


class CachedObjects:
    """Track which objects one run of a backend server probably has cached."""

    __slots__ = ('_key_hashes', 'capacity', 'first_requests')

    def __init__(self, capacity: CacheCapacity | None = None) -> None:
        # Shared by the servers of a service.
        self.capacity = capacity or CacheCapacity()
        # Hashes of object keys, as in heartbeats; the least recently used comes first.
        self._key_hashes: dict[int, None] = {}
        self.first_requests: dict[str, FirstRequest] = {}

    def cache_state(self, object_key: str) -> CacheState:
        """Return the cache state of an object; CACHED if the key is empty."""
        if not object_key or name_hash(object_key) in self._key_hashes:
            return CacheState.CACHED
        if object_key in self.first_requests:
            return CacheState.LOADING
        return CacheState.NOT_CACHED

    def position(self, object_key: str) -> int | None:
        """Return how many objects were used after this one; None if not cached."""
        object_hash = name_hash(object_key)
        if not object_key or object_hash not in self._key_hashes:
            return None
        for position, used_hash in enumerate(reversed(self._key_hashes)):
            if used_hash == object_hash:
                return position
        return None

    def begin(self, object_key: str, now_s: float) -> FirstRequest | None:
        """Register a request; return None unless it is the first for its object."""
        if self.cache_state(object_key) is not CacheState.NOT_CACHED:
            return None
        first_request = FirstRequest(now_s)
        self.first_requests[object_key] = first_request
        return first_request

    def end(
        self, object_key: str, first_request: FirstRequest | None, *, is_answered: bool
    ) -> None:
        """Register the end of a request, and wake those waiting for the object."""
        if is_answered and object_key:
            # Move the object to the end: like servers, evict the least recently used.
            self._key_hashes.pop(name_hash(object_key), None)
            self._add(name_hash(object_key))
        if first_request is not None:
            self.first_requests.pop(object_key, None)
            first_request.ended.set()

    def add_from_peer(self, object_hash: int) -> None:
        """Add an object that the server has loaded for another host."""
        if object_hash not in self._key_hashes:
            self._add(object_hash)

    def _add(self, object_hash: int) -> None:
        self._key_hashes[object_hash] = None
        while len(self._key_hashes) > self.capacity.objects:
            self._key_hashes.pop(next(iter(self._key_hashes)))
