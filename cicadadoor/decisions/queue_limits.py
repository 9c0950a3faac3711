"""Decide how long the queue at a backend server may grow.

When all slots are in use, a request is admitted only where it is likely to get its
response within the latency objective. While servers still have to load the objects
and requests take several times as long, queues stay short, so that requests that are
admitted also end in time.
"""

from cicadadoor.decisions.averages import Averages

# In multiples of the slots, like the lengths below. Not 0, because load is known late
# and incompletely: a server that looks full may have a free slot.
_MIN_QUEUE_LENGTH = 0.2
_MAX_QUEUE_LENGTH = 2.0
# Urgent requests may wait longer, so other requests are refused earlier.
URGENT_OBJECTIVE_FACTOR = 1.3
# Queue length at which the next server is preferred.
_SPILL_QUEUE_LENGTH = 0.6
# Some requests take many times as long as others. One of them must not make a route
# look slow at all servers, so it counts as at most this multiple of the average.
_MAX_SAMPLE_FACTOR = 2.0


class UtilisationLimits:
    """Hold the loads, in multiples of the slots, at which a server is skipped."""

    __slots__ = ('maximum', 'spill')

    def __init__(self, spill: float, maximum: float) -> None:
        self.spill = spill
        self.maximum = maximum


def utilisation_limits(
    *,
    objective_s: float,
    processing_s: float,
    is_urgent: bool,
) -> UtilisationLimits:
    """Return the limits for requests that take `processing_s` without waiting.

    A queue as long as the number of slots takes about `processing_s` to pass.
    """
    queue_length = _MAX_QUEUE_LENGTH
    if processing_s > 0:
        objective_factor = URGENT_OBJECTIVE_FACTOR if is_urgent else 1.0
        queue_length = objective_factor * objective_s / processing_s - 1
    queue_length = min(_MAX_QUEUE_LENGTH, max(_MIN_QUEUE_LENGTH, queue_length))
    return UtilisationLimits(
        spill=1 + min(_SPILL_QUEUE_LENGTH, queue_length), maximum=1 + queue_length
    )


class ProcessingTimes:
    """Measure how long requests of a route take at servers with a free slot."""

    def __init__(self) -> None:
        self._cached_s = Averages()
        self._uncached_s = Averages()

    def note(self, route: str, took_s: float, *, is_cached: bool) -> None:
        """Add the duration of a request; `is_cached` if the server had the object."""
        averages = self._cached_s if is_cached else self._uncached_s
        averages.note(route, took_s)

    def note_bounded(self, route: str, took_s: float, *, is_cached: bool) -> None:
        """Add the duration of a request, bounded to a multiple of the average."""
        average_s = self.cached_s(route) if is_cached else self.uncached_s(route)
        if average_s > 0:
            took_s = min(took_s, _MAX_SAMPLE_FACTOR * average_s)
        self.note(route, took_s, is_cached=is_cached)

    def cached_s(self, route: str) -> float:
        """Return the average at servers that cache the object; 0 if not measured."""
        return self._cached_s.find(route)

    def uncached_s(self, route: str) -> float:
        """Return the average at servers that have to load it; 0 if not measured."""
        return self._uncached_s.find(route)

    def limits(
        self,
        route: str,
        *,
        objective_s: float,
        is_urgent: bool,
    ) -> UtilisationLimits:
        """Return the limits for requests of the route."""
        return utilisation_limits(
            objective_s=objective_s,
            processing_s=self.cached_s(route),
            is_urgent=is_urgent,
        )
