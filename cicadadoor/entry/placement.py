"""Select a backend server for a request, or the time after which to retry."""

import random
import zlib
from collections.abc import Iterable

import anyio

from cicadadoor.decisions.placement import CacheState, Choice, choose
from cicadadoor.decisions.queue_limits import ProcessingTimes, UtilisationLimits
from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.backends import Backends
from cicadadoor.entry.cache_reports import CacheReports
from cicadadoor.entry.finish_chooser import FinishChooser
from cicadadoor.entry.routed_request import RoutedRequest
from cicadadoor.entry.server_attempt import AttemptTimes, ServerAttempt
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.timer import TimerService

_MS_PER_S = 1000
# Number of backend servers that load an object. With a third one, servers at the
# smallest sites would have to cache more objects than they can hold.
_PREFERRED_COUNT = 2
# Number of distinct rankings for requests without an object key.
_KEYLESS_ORDERS = 256
# Servers checked by the fast path before all servers of the service are ranked.
_FAST_PATH_SERVERS = 4
# Priorities from 0 to this one are urgent.
_URGENT_PRIORITY = 1
# Spreads the retries of callers that wait for the same object to be loaded.
_RETRY_JITTER_S = 0.3


class Placement(Service):
    """Select servers for requests, and measure how long the requests take."""

    name = 'placement'

    def __init__(self) -> None:
        self._timer: TimerService
        self._backends: Backends
        self._cache_reports: CacheReports
        self._processing_times = ProcessingTimes()
        self._finish_chooser: FinishChooser
        self._attempt_times: AttemptTimes

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that hold servers and cached objects."""
        self._timer = kernel.find('timer')
        self._backends = kernel.find('backends')
        self._cache_reports = kernel.find('learning')
        self._attempt_times = AttemptTimes(self._backends, self._processing_times)
        self._finish_chooser = FinishChooser(
            self._backends,
            self._processing_times,
            kernel.find('state').settings.region,
        )

    async def select_server(self, routed: RoutedRequest) -> Backend | None:
        """Return the server to send to, or None if the request has to be refused.

        May wait for a server that is loading the request's object.
        """
        preferred = self._select_fast(routed)
        if preferred is not None:
            return preferred
        while True:
            now_s = self._timer.now_s()
            usable = self._usable(routed)
            choice = self._choose(routed, usable, now_s)
            if choice.send_to is not None:
                return usable[choice.send_to]
            if choice.wait_for is None:
                return None
            cached_objects = usable[choice.wait_for].cached_objects
            first_request = cached_objects.first_requests[routed.object_key]
            with anyio.move_on_after(routed.deadline_s - now_s):
                await first_request.ended.wait()

    def has_available_server(self, routed: RoutedRequest) -> bool:
        """Tell whether a server would accept the request now."""
        now_s = self._timer.now_s()
        choice = self._choose(routed, self._usable(routed), now_s)
        return choice.send_to is not None

    def begin(
        self, routed: RoutedRequest, backend: Backend, limit_s: float
    ) -> ServerAttempt:
        """Register an attempt that is about to be sent."""
        attempt = ServerAttempt(routed, backend, self._timer.now_s())
        self._backends.begin(backend, limit_s)
        return attempt

    def end(
        self, routed: RoutedRequest, attempt: ServerAttempt, *, is_answered: bool
    ) -> None:
        """Register the end of an attempt."""
        self._backends.end(attempt.backend)
        attempt.backend.cached_objects.end(
            routed.object_key,
            attempt.first_request,
            is_answered=is_answered,
        )
        if is_answered and attempt.first_request is not None:
            self._cache_reports.note(attempt.backend, routed.object_key)
        if is_answered and attempt.had_free_slot:
            # With a free slot at the start, the time contains no queueing.
            self._attempt_times.note(routed, attempt, self._timer.now_s())

    def no_server_failure(self, routed: RoutedRequest) -> Failure:
        """Return the refusal of a request that no server can accept."""
        servers = self._backends.of_service(routed.service)
        if not servers:
            return Failure(
                ErrorKind.NO_BACKEND_SERVER,
                f'service {routed.service} has no backend server',
            )
        return Failure(
            ErrorKind.NO_CAPACITY,
            f'service {routed.service}: no capacity at {self._describe(routed)}',
            self._retry_after_ms(routed, servers),
        )

    def _select_fast(self, routed: RoutedRequest) -> Backend | None:
        """Return the server that `choose` would return, if it is in the fast path."""
        now_s = self._timer.now_s()
        limits = None
        if not self._finish_chooser.applies_to(routed):
            limits = self._limits(routed)
        for name in self._order(routed)[:_FAST_PATH_SERVERS]:
            backend = self._backends.find(name)
            if backend is None or name in routed.tried:
                continue
            if not self._is_usable(routed, backend, now_s):
                continue
            if limits is None:
                return self._finish_chooser.find_nearest(
                    routed, backend, now_s, is_urgent=_is_urgent(routed)
                )
            candidate = backend.candidate(routed.object_key, now_s)
            if candidate.cache_state is not CacheState.CACHED:
                # The object may have to be loaded at one of the preferred servers.
                return None
            if candidate.utilisation < limits.spill:
                return backend
        return None

    def _is_usable(self, routed: RoutedRequest, backend: Backend, now_s: float) -> bool:
        is_usable = self._backends.is_usable(
            backend, routed.home_regions, is_repeatable=routed.route.is_idempotent
        )
        return is_usable and not backend.health.is_unreliable(now_s)

    def _limits(self, routed: RoutedRequest) -> UtilisationLimits:
        return self._processing_times.limits(
            routed.route.name,
            objective_s=routed.route.latency_objective_ms / _MS_PER_S,
            is_urgent=_is_urgent(routed),
        )

    def _order(self, routed: RoutedRequest) -> tuple[str, ...]:
        spread = zlib.crc32(routed.request.request_id.encode()) % _KEYLESS_ORDERS
        return self._backends.ranked(routed.service, routed.object_key or str(spread))

    def _usable(self, routed: RoutedRequest) -> dict[str, Backend]:
        usable = self._backends.usable(
            routed.service,
            routed.home_regions,
            is_repeatable=routed.route.is_idempotent,
        )
        for name in routed.tried:
            usable.pop(name, None)
        return usable

    def _choose(
        self,
        routed: RoutedRequest,
        usable: dict[str, Backend],
        now_s: float,
    ) -> Choice:
        healthy = {
            name: backend
            for name, backend in usable.items()
            if not backend.health.is_unreliable(now_s)
        }
        choice = self._choose_among(routed, healthy, now_s)
        if choice.send_to is None and choice.wait_for is None:
            # Prefer a server that fails some requests to a refusal.
            return self._choose_among(routed, usable, now_s)
        return choice

    def _choose_among(
        self,
        routed: RoutedRequest,
        usable: dict[str, Backend],
        now_s: float,
    ) -> Choice:
        may_wait = self._may_wait(routed, usable, now_s)
        if self._finish_chooser.applies_to(routed):
            return self._finish_chooser.choose(
                routed,
                self._order(routed),
                usable,
                now_s,
                is_urgent=_is_urgent(routed),
                may_wait=may_wait,
            )
        limits = self._limits(routed)
        ranked = [
            usable[name].candidate(routed.object_key, now_s)
            for name in self._order(routed)
            if name in usable
        ]
        return choose(
            ranked,
            preferred_count=_PREFERRED_COUNT,
            spill_utilisation=limits.spill,
            max_utilisation=limits.maximum,
            may_wait=may_wait,
        )

    def _may_wait(
        self,
        routed: RoutedRequest,
        usable: dict[str, Backend],
        now_s: float,
    ) -> bool:
        started_s = _loading_since_s(usable.values(), routed.object_key)
        if started_s is None:
            return False
        loaded_s = max(
            now_s, started_s + self._processing_times.uncached_s(routed.route.name)
        )
        ready_s = loaded_s + self._processing_times.cached_s(routed.route.name)
        return ready_s < routed.deadline_s

    def _describe(self, routed: RoutedRequest) -> str:
        now_s = self._timer.now_s()
        usable = self._usable(routed)
        order = [name for name in self._order(routed) if name in usable]
        preferred = [usable[name] for name in order[:_PREFERRED_COUNT]]
        texts = []
        for backend in preferred:
            seen = backend.candidate(routed.object_key, now_s)
            texts.append(f'{seen.name} {seen.utilisation:.2f} {seen.cache_state.value}')
        of_all = len(self._backends.of_service(routed.service))
        return f'{", ".join(texts) or "none"}; {len(usable)} of {of_all} usable'

    def _retry_after_ms(self, routed: RoutedRequest, servers: list[Backend]) -> int:
        now_s = self._timer.now_s()
        if self._finish_chooser.applies_to(routed):
            room_s = self._finish_chooser.retry_after_s(
                routed, self._order(routed), self._usable(routed), now_s
            )
            return int((room_s + _RETRY_JITTER_S * random.random()) * _MS_PER_S)
        # The caller retries once a server has finished loading its object.
        started_s = _loading_since_s(servers, routed.object_key)
        if started_s is None:
            return 0
        loaded_s = started_s + self._processing_times.uncached_s(routed.route.name)
        left_s = max(0, loaded_s - now_s)
        return int((left_s + _RETRY_JITTER_S * random.random()) * _MS_PER_S)


def _is_urgent(routed: RoutedRequest) -> bool:
    return routed.priority <= _URGENT_PRIORITY


def _loading_since_s(servers: Iterable[Backend], object_key: str) -> float | None:
    """Return when the first of the servers began to load the object, or None."""
    started = (
        server.cached_objects.first_requests[object_key].started_s
        for server in servers
        if object_key in server.cached_objects.first_requests
    )
    return min(started, default=None)
