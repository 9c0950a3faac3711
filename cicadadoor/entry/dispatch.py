"""Decide for each request whether it runs, where, and whether it is repeated."""

import math
import random

import anyio

from cicadadoor.decisions.placement import Choice, Familiarity, choose
from cicadadoor.decisions.retries import RetryBudget
from cicadadoor.decisions.waiting import WorkTimes
from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.backends import Backends
from cicadadoor.entry.forwarding import Forwarder, Outgoing
from cicadadoor.entry.membership import Membership
from cicadadoor.entry.messages import BackendAnswer, CallerRequest
from cicadadoor.entry.model import OrganisationPolicy, RoutePolicy
from cicadadoor.entry.policy import PolicyKeeper
from cicadadoor.entry.quarantine import REFUSED_AT, CrashWatch, fingerprint_of
from cicadadoor.entry.quotas import Quotas
from cicadadoor.entry.state import EntryState
from cicadadoor.errors import ErrorKind, Failure, Run
from cicadadoor.kernel import Kernel, Service
from cicadadoor.timer import TimerService

_MS_PER_S = 1000
# Backend servers that an object's requests prefer, in this order. A third one would
# have to learn more objects than the servers of the smallest sites remember.
_NEAR_COUNT = 2
# Ranks up to this one are urgent.
_URGENT_PRIORITY = 1
# Room comes free within a few tenths of a second; callers come back spread over it.
_RETURN_AFTER_S = 0.3
_RETURN_SPREAD_S = 0.6
# A host without a configuration has one within a second of the store's return.
_NOT_READY_RETURN_S = 0.5
# A view of the configuration older than this may miss keys and routes.
_STALE_S = 2.0
# A request that got no answer for so many times the usual time, from a server that
# answered nothing else meanwhile, is sent to another one.
_STALL_FACTOR = 3.0
_LEAST_STALL_S = 0.8
_LATENCY_GAIN = 0.1
_REPEATABLE = frozenset(
    (
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.ANSWER_INVALID,
        ErrorKind.ANSWER_TIMED_OUT,
    )
)
_NOT_RUN = frozenset(
    (ErrorKind.CONNECT_FAILED, ErrorKind.BACKEND_SHED, ErrorKind.BACKEND_MOVED)
)
# Servers that could not even be reached don't count as attempts, up to this many.
_MOST_UNREACHED = 4
# Part of `retry_slack` that hosts may use beyond the ratio.
_SLACK_USE = 0.5
_LEAST_RETRY_S = 0.05
_SERVER_ERROR = 500


class Steered:
    """Hold one request on its way, and what has been learned of it."""

    __slots__ = (
        'attempts',
        'body',
        'deadline_s',
        'fingerprint',
        'organisation',
        'received_s',
        'request',
        'route',
        'service',
        'tried',
        'unreached',
    )

    def __init__(
        self,
        *,
        request: CallerRequest,
        body: bytes,
        route: RoutePolicy,
        organisation: OrganisationPolicy | None,
        service: str,
        received_s: float,
        deadline_s: float,
    ) -> None:
        self.request = request
        self.body = body
        self.route = route
        self.organisation = organisation
        self.service = service
        self.received_s = received_s
        self.deadline_s = deadline_s
        self.fingerprint = fingerprint_of(request, self.organisation_name, body)
        self.attempts = 0
        self.unreached = 0
        self.tried: list[str] = []

    @property
    def organisation_name(self) -> str:
        """Return the organisation's name, or an empty text on a public route."""
        return self.organisation.name if self.organisation else ''

    @property
    def object_key(self) -> str:
        """Return what tells the request's object from others, or an empty text."""
        if not self.route.has_affinity or not self.request.affinity_key:
            return ''
        return f'{self.route.name}:{self.request.affinity_key}'

    @property
    def priority(self) -> int:
        """Return the rank, 0 for the most urgent."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def home_regions(self) -> frozenset[str]:
        """Return the only regions in which the request may run; none means all."""
        homes = self.route.home_regions
        if self.organisation is None or not self.organisation.home_regions:
            return homes
        if not homes:
            return self.organisation.home_regions
        return homes & self.organisation.home_regions or frozenset(('-',))


class Split:
    """Deal a route's requests to its services in the proportions of their weights."""

    __slots__ = ('_credit', 'route')

    def __init__(self, route: RoutePolicy) -> None:
        self.route = route
        # A random start, so that hosts do not deal in step.
        self._credit = {
            share.service: random.random() * share.weight for share in route.services
        }

    def deal(self) -> str:
        """Return the service of the next request."""
        total = sum(share.weight for share in self.route.services)
        for share in self.route.services:
            self._credit[share.service] += share.weight
        chosen = max(self._credit, key=self._credit.__getitem__)
        self._credit[chosen] -= total
        return chosen


class Dispatcher(Service):
    """Take a request through admission, placement and attempts."""

    name = 'dispatcher'

    def __init__(self) -> None:
        self._state: EntryState
        self._timer: TimerService
        self._policy: PolicyKeeper
        self._backends: Backends
        self._quotas: Quotas
        self._crashes: CrashWatch
        self._forwarder: Forwarder
        self._membership: Membership
        self._splits: dict[str, Split] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._latency_s: dict[str, float] = {}
        self._work = WorkTimes()

    async def start(self, kernel: Kernel) -> None:
        """Find the services of the steps."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._policy = kernel.find('policy')
        self._backends = kernel.find('backends')
        self._quotas = kernel.find('quotas')
        self._crashes = kernel.find('quarantine')
        self._forwarder = kernel.find('forwarder')
        self._membership = kernel.find('membership')

    def admit(
        self,
        request: CallerRequest,
        body: bytes,
        received_s: float,
    ) -> Steered | Failure:
        """Return the request with its route, organisation and service."""
        if self._policy.current is None:
            return _not_ready('no configuration has been read yet')
        route = self._policy.find_route(request.host_name, request.path)
        if route is None:
            return self._deny(ErrorKind.UNKNOWN_ROUTE, 'no route has this path')
        organisation = self._policy.find_organisation(request.api_key)
        if organisation is None and not route.is_public:
            if self._policy.current.requires_key:
                kind = (
                    ErrorKind.KEY_UNKNOWN if request.api_key else ErrorKind.KEY_MISSING
                )
                return self._deny(kind, 'no organisation holds the key')
        if self._state.is_refusing:
            return Failure(ErrorKind.DRAINING, 'this host is about to stop', 1)
        timeout_ms = route.timeout_ms
        if request.deadline_ms is not None:
            timeout_ms = min(timeout_ms, request.deadline_ms)
        steered = Steered(
            request=request,
            body=body,
            route=route,
            organisation=None if route.is_public else organisation,
            service=self._deal(route),
            received_s=received_s,
            deadline_s=received_s + timeout_ms / _MS_PER_S,
        )
        return self._check_limits(steered)

    async def run(self, steered: Steered) -> BackendAnswer | Failure:
        """Send the request until it is answered or may not be sent again."""
        budget = self._budget(steered.service)
        budget.earn(self._timer.now_s())
        worst: Failure | None = None
        failed_answer: BackendAnswer | None = None
        while True:
            backend = await self._choose(steered)
            if backend is None:
                return failed_answer or self._with_return(
                    worst or self._no_room(steered)
                )
            answer = await self._attempt(steered, backend)
            if isinstance(answer, BackendAnswer):
                if not self._may_improve(steered, answer, budget):
                    return answer
                failed_answer = answer
                continue
            worst = _graver(worst, answer)
            if not self._may_repeat(steered, answer, budget):
                return failed_answer or self._with_return(worst)

    def _deny(self, kind: ErrorKind, reason: str) -> Failure:
        if self._policy.age_s > _STALE_S:
            return _not_ready(f'{reason}, but the configuration may be out of date')
        return Failure(kind, reason)

    def _check_limits(self, steered: Steered) -> Steered | Failure:
        if self._crashes.deaths(steered.fingerprint) >= REFUSED_AT:
            return Failure(
                ErrorKind.REQUEST_HELD,
                'backend servers ended while such a request ran',
                int(_MS_PER_S * _NOT_READY_RETURN_S),
            )
        if steered.organisation is None:
            return steered
        wait_s = self._quotas.take(steered.organisation)
        if wait_s is None:
            return steered
        return Failure(
            ErrorKind.RATE_EXCEEDED,
            f'organisation {steered.organisation_name} is over its rate',
            int(wait_s * _MS_PER_S * (1 + random.random())),
        )

    def _deal(self, route: RoutePolicy) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        split = self._splits.get(route.name)
        if split is None or split.route.services != route.services:
            split = Split(route)
            self._splits[route.name] = split
        return split.deal()

    async def _choose(self, steered: Steered) -> Backend | None:
        """Return the server to send to, or None if the request has to be refused."""
        while True:
            now_s = self._timer.now_s()
            usable = self._usable(steered)
            choice = self._choose_among(steered, usable, now_s)
            if choice.send_to is not None:
                return usable[choice.send_to]
            if choice.wait_for is None:
                return None
            memory = usable[choice.wait_for].memory
            lesson = memory.lessons[steered.object_key]
            with anyio.move_on_after(steered.deadline_s - now_s):
                await lesson.ended.wait()

    def _usable(self, steered: Steered) -> dict[str, Backend]:
        usable = self._backends.usable(
            steered.service,
            steered.home_regions,
            is_repeatable=steered.route.is_idempotent,
        )
        for name in steered.tried:
            usable.pop(name, None)
        sound = {
            name: backend
            for name, backend in usable.items()
            if not backend.health.is_doubtful
        }
        return sound or usable

    def _choose_among(
        self,
        steered: Steered,
        usable: dict[str, Backend],
        now_s: float,
    ) -> Choice:
        limits = self._work.limits(
            steered.route.name,
            objective_s=steered.route.latency_objective_ms / _MS_PER_S,
            is_urgent=steered.priority <= _URGENT_PRIORITY,
        )
        object_key = steered.object_key
        order = self._backends.ranked(
            steered.service,
            object_key or steered.request.request_id,
        )
        ranked = [
            usable[name].candidate(object_key, now_s)
            for name in order
            if name in usable
        ]
        return choose(
            ranked,
            near_count=_NEAR_COUNT,
            spill_fullness=limits.spill,
            limit_fullness=limits.most,
            may_wait=self._may_wait(steered, usable, now_s),
        )

    def _may_wait(
        self,
        steered: Steered,
        usable: dict[str, Backend],
        now_s: float,
    ) -> bool:
        lessons = [
            backend.memory.lessons[steered.object_key]
            for backend in usable.values()
            if steered.object_key in backend.memory.lessons
        ]
        if not lessons:
            return False
        started_s = min(lesson.started_s for lesson in lessons)
        learned_s = max(now_s, started_s + self._work.learning_s(steered.route.name))
        ready_s = learned_s + self._work.known_s(steered.route.name)
        return ready_s < steered.deadline_s

    async def _attempt(
        self,
        steered: Steered,
        backend: Backend,
    ) -> BackendAnswer | Failure:
        now_s = self._timer.now_s()
        left_s = steered.deadline_s - now_s
        if left_s <= 0:
            return Failure(ErrorKind.DEADLINE_PASSED, 'the time is over')
        timeout_s = min(left_s, self._stall_s(steered, left_s))
        outgoing = Outgoing(
            request=steered.request,
            body=steered.body,
            organisation=steered.organisation_name,
            deadline_s=steered.deadline_s,
            is_idempotent=steered.route.is_idempotent,
        )
        steered.tried.append(backend.record.instance_id)
        memory = backend.memory
        was_known = memory.familiarity(steered.object_key) is Familiarity.KNOWN
        has_room = backend.fullness(now_s) < 1
        lesson = memory.begin(steered.object_key, now_s)
        answer: BackendAnswer | Failure | None = None
        self._backends.begin(backend, timeout_s)
        try:
            answer = await self._forwarder.attempt(outgoing, backend, timeout_s)
        finally:
            self._backends.end(backend)
            memory.end(
                steered.object_key,
                lesson,
                is_answered=isinstance(answer, BackendAnswer),
            )
        took_s = self._timer.now_s() - now_s
        if isinstance(answer, BackendAnswer) and has_room:
            # Without a wait, the time is that of the work.
            self._work.note(steered.route.name, took_s, is_known=was_known)
        self._learn(steered, backend, answer, took_s)
        return answer

    def _stall_s(self, steered: Steered, left_s: float) -> float:
        usual_s = self._latency_s.get(steered.route.name)
        is_last = steered.attempts + 1 >= steered.route.max_attempts
        if not steered.route.is_idempotent or is_last or usual_s is None:
            return math.inf
        stall_s = max(_LEAST_STALL_S, _STALL_FACTOR * usual_s)
        # A repeat that could not end in time helps nobody.
        return stall_s if left_s - stall_s > usual_s else math.inf

    def _learn(
        self,
        steered: Steered,
        backend: Backend,
        answer: BackendAnswer | Failure,
        took_s: float,
    ) -> None:
        if isinstance(answer, BackendAnswer):
            steered.attempts += 1
            self._crashes.note_answer(steered.fingerprint)
            _average(self._latency_s, steered.route.name, took_s)
        elif answer.kind is ErrorKind.CONNECT_FAILED:
            steered.unreached += 1
        else:
            steered.attempts += 1
            if answer.kind is ErrorKind.OUTCOME_UNKNOWN:
                self._crashes.note_death(
                    steered.fingerprint,
                    backend.record.instance_id,
                )

    def _may_repeat(
        self,
        steered: Steered,
        failure: Failure,
        budget: RetryBudget,
    ) -> bool:
        now_s = self._timer.now_s()
        if steered.deadline_s - now_s < _LEAST_RETRY_S:
            return False
        if failure.kind is ErrorKind.CONNECT_FAILED:
            return steered.unreached <= _MOST_UNREACHED
        if steered.attempts >= steered.route.max_attempts:
            return False
        if failure.kind in _NOT_RUN:
            return budget.spend(now_s)
        if not steered.route.is_idempotent or failure.kind not in _REPEATABLE:
            return False
        if self._crashes.deaths(steered.fingerprint) > 1:
            return False
        return budget.spend(now_s)

    def _may_improve(
        self,
        steered: Steered,
        answer: BackendAnswer,
        budget: RetryBudget,
    ) -> bool:
        if answer.head.status < _SERVER_ERROR or not steered.route.is_idempotent:
            return False
        if steered.attempts >= steered.route.max_attempts:
            return False
        now_s = self._timer.now_s()
        usual_s = self._latency_s.get(steered.route.name, 0)
        if steered.deadline_s - now_s < max(_LEAST_RETRY_S, usual_s):
            return False
        return budget.spend(now_s)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._state.settings
            slack = settings.retry_slack * _SLACK_USE
            budget = RetryBudget(
                self._timer.now_s(),
                share=settings.retry_ratio,
                reserve=max(1.0, slack / self._membership.host_count),
                reserve_per_s=0,
            )
            self._budgets[service] = budget
        return budget

    def _no_room(self, steered: Steered) -> Failure:
        servers = self._backends.of_service(steered.service)
        if not servers:
            return Failure(
                ErrorKind.NO_BACKEND_SERVER,
                f'service {steered.service} has no backend server',
            )
        return Failure(
            ErrorKind.NO_CAPACITY,
            f'service {steered.service}: no backend server has room',
            self._learned_in_ms(steered, servers),
        )

    def _learned_in_ms(self, steered: Steered, servers: list[Backend]) -> int:
        # The caller returns when a server that learns its object is done with that.
        started = [
            backend.memory.lessons[steered.object_key].started_s
            for backend in servers
            if steered.object_key in backend.memory.lessons
        ]
        if not started:
            return 0
        learned_s = min(started) + self._work.learning_s(steered.route.name)
        left_s = max(0, learned_s - self._timer.now_s())
        return int((left_s + _RETURN_AFTER_S * random.random()) * _MS_PER_S)

    def _with_return(self, failure: Failure) -> Failure:
        if failure.run is Run.NO and not failure.retry_after_ms:
            delay_s = _RETURN_AFTER_S + random.random() * _RETURN_SPREAD_S
            failure.retry_after_ms = int(delay_s * _MS_PER_S)
        return failure


def _average(averages: dict[str, float], name: str, sample: float) -> None:
    known = averages.get(name, sample)
    averages[name] = known + _LATENCY_GAIN * (sample - known)


def _not_ready(reason: str) -> Failure:
    return Failure(
        ErrorKind.NOT_READY,
        reason,
        int(_NOT_READY_RETURN_S * _MS_PER_S),
    )


def _graver(first: Failure | None, second: Failure) -> Failure:
    # A later refusal must not hide that an earlier attempt may have run.
    if first is not None and first.run is not Run.NO:
        return first
    return second
