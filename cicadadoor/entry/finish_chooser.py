"""Choose servers by their expected finish.

Used where callers are kept in their failure domain, and for services whose servers
report how slow they are.
"""

from itertools import islice

from cicadadoor.decisions.expected_finish import (
    RatedServer,
    ServiceTimes,
    TimeLimits,
    choose_by_finish,
    is_nearly_free,
    time_until_room_s,
)
from cicadadoor.decisions.placement import Choice
from cicadadoor.decisions.queue_limits import ProcessingTimes
from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.backends import Backends
from cicadadoor.entry.ranking import FIRST_COUNTS
from cicadadoor.entry.routed_request import RoutedRequest
from cicadadoor.entry.server_attempt import estimates_finish

_MS_PER_S = 1000
_REGION_ROUND_TRIP_S = 0.04
# Servers that are rated for a request. Further ones are too far down the order to have
# the object cached.
_RATED_SERVERS = sum(FIRST_COUNTS)


class FinishChooser:
    """Rate the first servers in an object's order and choose among them."""

    def __init__(self, backends: Backends, times: ProcessingTimes, region: str) -> None:
        self._backends = backends
        self._region = region
        self._times = times

    def applies_to(self, routed: RoutedRequest) -> bool:
        """Return whether the request's servers report enough to estimate times."""
        if not estimates_finish(self._backends, routed.service):
            return False
        return self._times.cached_s(routed.route.name) > 0

    def find_nearest(
        self, routed: RoutedRequest, backend: Backend, now_s: float, *, is_urgent: bool
    ) -> Backend | None:
        """Return the server if it has the object and would start on it at once."""
        is_nearest_free = is_nearly_free(
            self._rate(routed, backend, now_s),
            self._service_times(routed),
            self._limits(routed, now_s, is_urgent=is_urgent),
        )
        return backend if is_nearest_free else None

    def choose(
        self,
        routed: RoutedRequest,
        order: tuple[str, ...],
        usable: dict[str, Backend],
        now_s: float,
        *,
        is_urgent: bool,
        may_wait: bool,
    ) -> Choice:
        """Choose among the first usable servers of the order."""
        return choose_by_finish(
            self._rate_first(routed, order, usable, now_s),
            self._service_times(routed),
            self._limits(routed, now_s, is_urgent=is_urgent),
            may_wait=may_wait,
        )

    def retry_after_s(
        self,
        routed: RoutedRequest,
        order: tuple[str, ...],
        usable: dict[str, Backend],
        now_s: float,
    ) -> float:
        """Return when a refused request is expected to find a server with room."""
        objective_s = routed.route.latency_objective_ms / _MS_PER_S
        return time_until_room_s(
            self._rate_first(routed, order, usable, now_s),
            self._service_times(routed),
            objective_s,
        )

    def _rate_first(
        self,
        routed: RoutedRequest,
        order: tuple[str, ...],
        usable: dict[str, Backend],
        now_s: float,
    ) -> list[RatedServer]:
        found = (usable[name] for name in order if name in usable)
        return [
            self._rate(routed, backend, now_s)
            for backend in islice(found, _RATED_SERVERS)
        ]

    def _rate(
        self, routed: RoutedRequest, backend: Backend, now_s: float
    ) -> RatedServer:
        distance_s = 0.0
        if backend.region != self._region:
            distance_s = _REGION_ROUND_TRIP_S
        return backend.rate(routed.object_key, now_s, distance_s)

    def _service_times(self, routed: RoutedRequest) -> ServiceTimes:
        route = routed.route.name
        return ServiceTimes(
            cached_s=self._times.cached_s(route),
            uncached_s=self._times.uncached_s(route),
        )

    def _limits(
        self, routed: RoutedRequest, now_s: float, *, is_urgent: bool
    ) -> TimeLimits:
        objective_s = routed.route.latency_objective_ms / _MS_PER_S
        return TimeLimits(
            objective_s=routed.received_s + objective_s - now_s,
            deadline_s=routed.deadline_s - now_s,
            is_urgent=is_urgent,
        )
