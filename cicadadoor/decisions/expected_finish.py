"""Choose a backend server by when it is expected to answer.

Answers load that some servers have no room for while others do: a surge in one region,
a failure domain that is evacuated, or servers that share their machines and are slow
for a moment. A request stays with the servers that have cached its object as long as
they answer within the latency objective. Beyond that it goes to the next servers in the
object's order, which then cache the object too; so a surge spreads over few copies.
"""

import math
from collections.abc import Sequence

from cicadadoor.decisions.placement import CacheState, Choice
from cicadadoor.decisions.queue_limits import URGENT_OBJECTIVE_FACTOR

# A report of the speed is used for this long. It changes many times a second.
_SLOWDOWN_TTL_S = 0.3
_SLOWDOWN_GAIN = 0.05
# The average of a server that is sent no requests, and so reports nothing, goes back to
# the usual speed in about this time. It would be avoided for ever otherwise.
_SLOWDOWN_FORGET_S = 5.0
# Reports outside this range are taken for its ends: a wrong report must neither attract
# all requests nor keep all of them away.
_MIN_SLOWDOWN = 0.25
_MAX_SLOWDOWN = 20.0
# A server loads another object only below this utilisation: a load takes several times
# as long as a request for a cached object, and would delay all that come next.
_MAX_LOADING_UTILISATION = 0.8
# The preferred servers of an object, the first of its order, load it as long as they
# have a free slot.
# Otherwise its requests wander over all servers that happen to have more room, also in
# other regions, and each copy evicts other objects.
_PREFERRED_COUNT = 2
# Another copy of an object that some server has cached is made only below this one.
# When all servers are nearly full, such loads take the slots of several requests for
# cached objects each, and evict other objects.
_MAX_EXTRA_COPY_UTILISATION = 0.34
# A server whose queue takes at most this fraction of a request's own time is as good as
# a free one, so the request stays with the first server of its object's order.
_SHORT_WAIT_FACTOR = 0.25
# Estimates are uncertain by about a third, so only a server that is expected to answer
# within this fraction of the objective counts as being in time.
_IN_TIME_FRACTION = 0.7
# A request that cannot meet its objective any more may wait at a server at most for
# this multiple of the time that the server works on it. Under lasting overload a longer
# queue serves no more requests, and makes all of them late.
_MAX_LATE_WAIT_FACTOR = 1.0


class Slowdown:
    """Track how many times longer than usual work takes on a server's machine."""

    __slots__ = ('_average', '_reported', '_reported_s', 'is_reported')

    def __init__(self) -> None:
        self.is_reported = False
        self._average = 1.0
        self._reported = 1.0
        self._reported_s = -math.inf

    def note(self, slowdown: float, now_s: float) -> None:
        """Add a report of the server."""
        slowdown = min(_MAX_SLOWDOWN, max(_MIN_SLOWDOWN, slowdown))
        self.is_reported = True
        self._reported = slowdown
        self._reported_s = now_s
        self._average += _SLOWDOWN_GAIN * (slowdown - self._average)

    def factor(self, now_s: float) -> float:
        """Return the latest report while it is fresh, and the average after that."""
        age_s = now_s - self._reported_s
        if age_s <= _SLOWDOWN_TTL_S:
            return self._reported
        return 1 + (self._average - 1) * math.exp(-age_s / _SLOWDOWN_FORGET_S)


class ServiceTimes:
    """Hold how long a route's requests take at a server of usual speed, in seconds."""

    __slots__ = ('cached_s', 'uncached_s')

    def __init__(self, cached_s: float, uncached_s: float) -> None:
        self.cached_s = cached_s
        self.uncached_s = uncached_s

    def of(self, cache_state: CacheState) -> float:
        """Return the time for an object in this state."""
        if cache_state is CacheState.CACHED:
            return self.cached_s
        return max(self.cached_s, self.uncached_s)


class RatedServer:
    """Hold what is known of a server that may be sent a request.

    `load` counts the requests that run and wait at the server. `distance_s` is the
    round-trip time to it.
    """

    __slots__ = ('cache_state', 'distance_s', 'load', 'name', 'slots', 'slowdown')

    def __init__(
        self,
        name: str,
        *,
        load: float,
        slots: int,
        cache_state: CacheState,
        slowdown: float = 1.0,
        distance_s: float = 0.0,
    ) -> None:
        self.name = name
        self.load = load
        self.slots = slots
        self.cache_state = cache_state
        self.slowdown = slowdown
        self.distance_s = distance_s

    @property
    def is_cached(self) -> bool:
        """Return whether the server has cached the object of the request."""
        return self.cache_state is CacheState.CACHED

    def wait_s(self, times: ServiceTimes) -> float:
        """Return how long a request waits for a slot."""
        return self.drain_s(times, 1.0)

    def drain_s(self, times: ServiceTimes, max_utilisation: float) -> float:
        """Return when the load is small enough for one more; others count as cached."""
        ahead = self.load + 1 - max_utilisation * self.slots
        return max(0.0, ahead) / self.slots * times.cached_s * self.slowdown

    def work_s(self, times: ServiceTimes) -> float:
        """Return in how many seconds the server would answer if it had a free slot."""
        return self.distance_s + times.of(self.cache_state) * self.slowdown

    def finish_s(self, times: ServiceTimes) -> float:
        """Return in how many seconds the server is expected to answer."""
        return self.wait_s(times) + self.work_s(times)


class TimeLimits:
    """Hold the seconds left until the latency objective and until the deadline."""

    __slots__ = ('deadline_s', 'objective_s')

    def __init__(
        self, *, objective_s: float, deadline_s: float, is_urgent: bool
    ) -> None:
        factor = URGENT_OBJECTIVE_FACTOR if is_urgent else 1.0
        self.objective_s = min(deadline_s, objective_s * factor)
        self.deadline_s = deadline_s


def choose_by_finish(
    ranked: Sequence[RatedServer],
    times: ServiceTimes,
    limits: TimeLimits,
    *,
    may_wait: bool,
) -> Choice:
    """Choose among the servers that accept requests, in the order of their rank.

    The first server that has cached the object and has no queue is chosen, or the one
    that answers soonest if that is in time. Otherwise the request waits for a server
    that is loading the object, or starts a load at the first server with room for it.
    Last come servers that answer later but without a long wait, and then any free slot.
    An empty choice means to refuse.
    """
    cached = [each for each in ranked if each.is_cached]
    in_time = find_in_time(cached, times, limits)
    if in_time is not None:
        return Choice(send_to=in_time.name)
    late = _choose_late(cached, times, limits)
    if late is not None and _is_better_than_load(late, times, limits):
        return Choice(send_to=late.name)
    for each in ranked:
        if each.cache_state is CacheState.LOADING and may_wait:
            return Choice(wait_for=each.name)
    if cached:
        extra = _MAX_EXTRA_COPY_UTILISATION
        chosen = _find_room_to_load(ranked, times, limits, extra) or late
    else:
        preferred = ranked[:_PREFERRED_COUNT]
        chosen = (
            _find_room_to_load(preferred, times, limits, 1.0)
            or _find_room_to_load(ranked, times, limits, _MAX_LOADING_UTILISATION)
            or _find_room_to_load(ranked, times, limits, 1.0)
        )
    return Choice() if chosen is None else Choice(send_to=chosen.name)


def _find_room_to_load(
    ranked: Sequence[RatedServer],
    times: ServiceTimes,
    limits: TimeLimits,
    max_utilisation: float,
) -> RatedServer | None:
    for each in ranked:
        has_room = each.load + 1 <= max_utilisation * each.slots
        if has_room and not each.is_cached and each.finish_s(times) < limits.deadline_s:
            return each
    return None


def is_nearly_free(
    server: RatedServer, times: ServiceTimes, limits: TimeLimits
) -> bool:
    """Return whether a server has cached the object and would start on it at once."""
    if not server.is_cached:
        return False
    if server.wait_s(times) > _SHORT_WAIT_FACTOR * times.cached_s:
        return False
    return server.finish_s(times) <= limits.objective_s


def find_in_time(
    cached: Sequence[RatedServer], times: ServiceTimes, limits: TimeLimits
) -> RatedServer | None:
    """Return the server to use among those that have cached the object, or None."""
    for each in cached:
        if is_nearly_free(each, times, limits):
            return each
    soonest = min(cached, key=lambda each: each.finish_s(times), default=None)
    if soonest is None:
        return None
    in_time_s = _IN_TIME_FRACTION * limits.objective_s
    return soonest if soonest.finish_s(times) <= in_time_s else None


def time_until_room_s(
    ranked: Sequence[RatedServer],
    times: ServiceTimes,
    objective_s: float,
) -> float:
    """Return when a server is expected to accept the request.

    That is when one that has cached the object answers in time or without a long wait,
    or another one has room for a load.
    """
    has_copy = any(each.is_cached for each in ranked)
    max_utilisation = _MAX_EXTRA_COPY_UTILISATION if has_copy else 1.0
    rooms_s = (
        _copy_room_s(each, times, objective_s)
        if each.is_cached
        else each.drain_s(times, max_utilisation)
        for each in ranked
    )
    return min(rooms_s, default=0.0)


def _copy_room_s(server: RatedServer, times: ServiceTimes, objective_s: float) -> float:
    late_s = server.wait_s(times) - _max_late_wait_s(server, times)
    if server.work_s(times) < objective_s:
        late_s = max(late_s, server.finish_s(times) - objective_s)
        in_time_s = _IN_TIME_FRACTION * objective_s
        late_s = min(late_s, server.finish_s(times) - in_time_s)
    return max(0.0, late_s)


def _max_late_wait_s(server: RatedServer, times: ServiceTimes) -> float:
    return _MAX_LATE_WAIT_FACTOR * times.cached_s * server.slowdown


def _choose_late(
    cached: Sequence[RatedServer], times: ServiceTimes, limits: TimeLimits
) -> RatedServer | None:
    soonest = min(cached, key=lambda each: each.finish_s(times), default=None)
    if soonest is None or soonest.finish_s(times) >= limits.deadline_s:
        return None
    if soonest.work_s(times) < limits.objective_s < soonest.finish_s(times):
        return None
    if soonest.wait_s(times) > _max_late_wait_s(soonest, times):
        return None
    return soonest


def _is_better_than_load(
    server: RatedServer, times: ServiceTimes, limits: TimeLimits
) -> bool:
    """Tell whether a late answer is no sign that the object needs another copy.

    The server has a free slot, or the request would be late at any server, for example
    because it has waited for the load.
    """
    if server.finish_s(times) > times.of(CacheState.NOT_CACHED):
        return False
    return server.wait_s(times) == 0 or limits.objective_s < times.cached_s
