"""Find a backend server for a request, or the time at which there is one."""

import random
import zlib
from collections.abc import Iterable

import anyio

from cicadadoor.decisions.placement import CacheState, Choice, choose
from cicadadoor.decisions.waiting import UtilisationLimits, WorkTimes
from cicadadoor.entry.backend_table import Backend, Lesson
from cicadadoor.entry.backends import Backends
from cicadadoor.entry.learning import Learning
from cicadadoor.entry.steering import Steered
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.timer import TimerService

_MS_PER_S = 1000
# Backend servers that an object's requests prefer, in this order. A third one would
# have to learn more objects than the servers of the smallest sites remember.
_NEAR_COUNT = 2
# Orders for requests that concern no object.
_SPREAD_ORDERS = 256
# Servers looked at before all of a service are.
_QUICK_LOOKS = 4
# Ranks up to this one are urgent.
_URGENT_PRIORITY = 1
# Callers that wait for the same lesson come back spread over this time.
_RETURN_SPREAD_S = 0.3


class Visit:
    """Hold one request at one backend server, and what it may teach the server."""

    __slots__ = ('backend', 'has_room', 'lesson', 'sent_s', 'was_known')

    def __init__(self, steered: Steered, backend: Backend, now_s: float) -> None:
        self.backend = backend
        self.sent_s = now_s
        cache_state = backend.memory.cache_state(steered.object_key)
        self.was_known = cache_state is CacheState.KNOWN
        self.has_room = backend.utilisation(now_s) < 1
        self.lesson: Lesson | None = backend.memory.begin(steered.object_key, now_s)


class Placement(Service):
    """Place requests, and learn from how long they take."""

    name = 'placement'

    def __init__(self) -> None:
        self._timer: TimerService
        self._backends: Backends
        self._learning: Learning
        self._work = WorkTimes()

    async def start(self, kernel: Kernel) -> None:
        """Find the backend servers."""
        self._timer = kernel.find('timer')
        self._backends = kernel.find('backends')
        self._learning = kernel.find('learning')

    async def place(self, steered: Steered) -> Backend | None:
        """Return the server to send to, or None if the request has to be refused."""
        preferred = self._preferred(steered)
        if preferred is not None:
            return preferred
        while True:
            now_s = self._timer.now_s()
            usable = self._usable(steered)
            choice = self._choose(steered, usable, now_s)
            if choice.send_to is not None:
                return usable[choice.send_to]
            if choice.wait_for is None:
                return None
            memory = usable[choice.wait_for].memory
            lesson = memory.lessons[steered.object_key]
            with anyio.move_on_after(steered.deadline_s - now_s):
                await lesson.ended.wait()

    def has_place(self, steered: Steered) -> bool:
        """Tell whether a server would take the request now."""
        now_s = self._timer.now_s()
        choice = self._choose(steered, self._usable(steered), now_s)
        return choice.send_to is not None

    def begin(self, steered: Steered, backend: Backend, limit_s: float) -> Visit:
        """Count a request that is about to be sent."""
        visit = Visit(steered, backend, self._timer.now_s())
        self._backends.begin(backend, limit_s)
        return visit

    def end(self, steered: Steered, visit: Visit, *, is_answered: bool) -> None:
        """Count a request that is over."""
        self._backends.end(visit.backend)
        visit.backend.memory.end(
            steered.object_key,
            visit.lesson,
            is_answered=is_answered,
        )
        if is_answered and visit.lesson is not None:
            self._learning.note(visit.backend, steered.object_key)
        if is_answered and visit.has_room:
            # Without a wait, the time is that of the work.
            took_s = self._timer.now_s() - visit.sent_s
            self._work.note(steered.route.name, took_s, is_known=visit.was_known)

    def no_room(self, steered: Steered) -> Failure:
        """Return the refusal of a request that no server takes."""
        servers = self._backends.of_service(steered.service)
        if not servers:
            return Failure(
                ErrorKind.NO_BACKEND_SERVER,
                f'service {steered.service} has no backend server',
            )
        return Failure(
            ErrorKind.NO_CAPACITY,
            f'service {steered.service}: no room at {self._describe(steered)}',
            self._learned_in_ms(steered, servers),
        )

    def _preferred(self, steered: Steered) -> Backend | None:
        """Return the server that `choose` would, if it is among the first few."""
        now_s = self._timer.now_s()
        limits = self._limits(steered)
        for name in self._order(steered)[:_QUICK_LOOKS]:
            backend = self._backends.find(name)
            if backend is None or name in steered.tried:
                continue
            is_usable = self._backends.is_usable(
                backend,
                steered.home_regions,
                is_repeatable=steered.route.is_idempotent,
            )
            if not is_usable or backend.health.is_unreliable(now_s):
                continue
            seen = backend.candidate(steered.object_key, now_s)
            if seen.cache_state is not CacheState.KNOWN:
                # One of the first servers may have to learn the object.
                return None
            if seen.utilisation < limits.spill:
                return backend
        return None

    def _limits(self, steered: Steered) -> UtilisationLimits:
        return self._work.limits(
            steered.route.name,
            objective_s=steered.route.latency_objective_ms / _MS_PER_S,
            is_urgent=steered.priority <= _URGENT_PRIORITY,
        )

    def _order(self, steered: Steered) -> tuple[str, ...]:
        spread = zlib.crc32(steered.request.request_id.encode()) % _SPREAD_ORDERS
        return self._backends.ranked(steered.service, steered.object_key or str(spread))

    def _usable(self, steered: Steered) -> dict[str, Backend]:
        usable = self._backends.usable(
            steered.service,
            steered.home_regions,
            is_repeatable=steered.route.is_idempotent,
        )
        for name in steered.tried:
            usable.pop(name, None)
        return usable

    def _choose(
        self,
        steered: Steered,
        usable: dict[str, Backend],
        now_s: float,
    ) -> Choice:
        sound = {
            name: backend
            for name, backend in usable.items()
            if not backend.health.is_unreliable(now_s)
        }
        choice = self._choose_among(steered, sound, now_s)
        if choice.send_to is None and choice.wait_for is None:
            # A server that fails some requests is better than a refusal.
            return self._choose_among(steered, usable, now_s)
        return choice

    def _choose_among(
        self,
        steered: Steered,
        usable: dict[str, Backend],
        now_s: float,
    ) -> Choice:
        limits = self._limits(steered)
        ranked = [
            usable[name].candidate(steered.object_key, now_s)
            for name in self._order(steered)
            if name in usable
        ]
        return choose(
            ranked,
            near_count=_NEAR_COUNT,
            spill_utilisation=limits.spill,
            max_utilisation=limits.maximum,
            may_wait=self._may_wait(steered, usable, now_s),
        )

    def _may_wait(
        self,
        steered: Steered,
        usable: dict[str, Backend],
        now_s: float,
    ) -> bool:
        started_s = _first_lesson_s(usable.values(), steered.object_key)
        if started_s is None:
            return False
        learned_s = max(now_s, started_s + self._work.learning_s(steered.route.name))
        ready_s = learned_s + self._work.known_s(steered.route.name)
        return ready_s < steered.deadline_s

    def _describe(self, steered: Steered) -> str:
        now_s = self._timer.now_s()
        usable = self._usable(steered)
        order = [name for name in self._order(steered) if name in usable]
        near = [usable[name] for name in order[:_NEAR_COUNT]]
        texts = []
        for backend in near:
            seen = backend.candidate(steered.object_key, now_s)
            texts.append(f'{seen.name} {seen.utilisation:.2f} {seen.cache_state.value}')
        of_all = len(self._backends.of_service(steered.service))
        return f'{", ".join(texts) or "none"}; {len(usable)} of {of_all} usable'

    def _learned_in_ms(self, steered: Steered, servers: list[Backend]) -> int:
        # The caller returns when a server that learns its object is done with that.
        started_s = _first_lesson_s(servers, steered.object_key)
        if started_s is None:
            return 0
        learned_s = started_s + self._work.learning_s(steered.route.name)
        left_s = max(0, learned_s - self._timer.now_s())
        return int((left_s + _RETURN_SPREAD_S * random.random()) * _MS_PER_S)


def _first_lesson_s(servers: Iterable[Backend], object_key: str) -> float | None:
    """Return when the first of the servers began to learn the object, if any does."""
    started = (
        server.memory.lessons[object_key].started_s
        for server in servers
        if object_key in server.memory.lessons
    )
    return min(started, default=None)
