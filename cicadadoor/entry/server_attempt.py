"""Hold attempts at backend servers, and learn from how long they take."""

from cicadadoor.decisions.cache_capacity import was_hit
from cicadadoor.decisions.placement import CacheState
from cicadadoor.decisions.queue_limits import ProcessingTimes
from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.backends import Backends
from cicadadoor.entry.cached_objects import FirstRequest
from cicadadoor.entry.routed_request import RoutedRequest


class ServerAttempt:
    """Hold one attempt at a backend server, and the object load that it started."""

    __slots__ = (
        'backend',
        'had_free_slot',
        'first_request',
        'position',
        'sent_s',
        'was_cached',
    )

    def __init__(self, routed: RoutedRequest, backend: Backend, now_s: float) -> None:
        self.backend = backend
        self.sent_s = now_s
        cache_state = backend.cached_objects.cache_state(routed.object_key)
        self.was_cached = cache_state is CacheState.CACHED
        # Position in the order of last use, if the object was taken for cached.
        self.position = backend.cached_objects.position(routed.object_key)
        self.had_free_slot = backend.utilisation(now_s) < 1
        self.first_request: FirstRequest | None = backend.cached_objects.begin(
            routed.object_key, now_s
        )


def estimates_finish(backends: Backends, service: str) -> bool:
    """Return whether requests of a service are placed by expected finish."""
    return backends.steering.is_on or backends.shared_machines.includes(service)


class AttemptTimes:
    """Measure routes, and learn the size of caches where finish times are estimated."""

    def __init__(self, backends: Backends, times: ProcessingTimes) -> None:
        self._backends = backends
        self._times = times

    def note(self, routed: RoutedRequest, attempt: ServerAttempt, now_s: float) -> None:
        """Add the time of an attempt that was answered without queueing."""
        took_s = now_s - attempt.sent_s
        route = routed.route.name
        if not estimates_finish(self._backends, routed.service):
            self._times.note(route, took_s, is_cached=attempt.was_cached)
            return
        took_s /= attempt.backend.slowdown.factor(now_s)
        is_hit = self._note_position(route, attempt, took_s)
        if is_hit is not False:
            self._times.note_bounded(route, took_s, is_cached=attempt.was_cached)

    def _note_position(
        self, route: str, attempt: ServerAttempt, took_s: float
    ) -> bool | None:
        """Tell whether an object that was taken for cached was so; None if unclear."""
        if attempt.position is None:
            return None
        is_hit = was_hit(
            took_s,
            cached_s=self._times.cached_s(route),
            uncached_s=self._times.uncached_s(route),
        )
        if is_hit is not None:
            capacity = attempt.backend.cached_objects.capacity
            capacity.note(attempt.position, is_hit=is_hit)
        return is_hit
