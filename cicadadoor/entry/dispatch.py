"""Send a request, and decide whether it is sent again."""

import random

import anyio

from cicadadoor.decisions.averages import Averages
from cicadadoor.decisions.retries import RetryBudget
from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.forwarding import Forwarder, Outgoing
from cicadadoor.entry.membership import Membership
from cicadadoor.entry.messages import BackendAnswer
from cicadadoor.entry.placing import Placement
from cicadadoor.entry.quarantine import CrashWatch
from cicadadoor.entry.state import EntryState
from cicadadoor.entry.steering import Steered
from cicadadoor.errors import ErrorKind, Failure, Run
from cicadadoor.kernel import Kernel, Service
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('dispatch')

_MS_PER_S = 1000
# Room comes free within a few tenths of a second; callers come back spread over it.
_RETURN_AFTER_S = 0.3
_RETURN_SPREAD_S = 0.6
# A request without an answer for so many times the usual time, at a server that has
# answered nothing else meanwhile, is sent to another one.
_STALL_FACTOR = 3.0
_LEAST_STALL_S = 0.8
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


class Dispatcher(Service):
    """Take a request through its attempts."""

    name = 'dispatcher'

    def __init__(self) -> None:
        self._state: EntryState
        self._timer: TimerService
        self._crashes: CrashWatch
        self._placement: Placement
        self._forwarder: Forwarder
        self._membership: Membership
        self._budgets: dict[str, RetryBudget] = {}
        self._latency_s = Averages()

    async def start(self, kernel: Kernel) -> None:
        """Find the services of the steps."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._placement = kernel.find('placement')
        self._crashes = kernel.find('quarantine')
        self._forwarder = kernel.find('forwarder')
        self._membership = kernel.find('membership')

    async def run(self, steered: Steered) -> BackendAnswer | Failure:
        """Send the request until it is answered or may not be sent again."""
        budget = self._budget(steered.service)
        budget.earn(self._timer.now_s())
        worst: Failure | None = None
        while True:
            backend = await self._placement.place(steered)
            if backend is None:
                return steered.failed_answer or self._with_return(
                    worst or self._placement.no_room(steered)
                )
            answer = await self._attempt(steered, backend)
            if isinstance(answer, BackendAnswer):
                if not self._may_improve(steered, answer, budget):
                    return answer
                steered.failed_answer = answer
                continue
            self._note_failure(steered, answer)
            worst = _graver(worst, answer)
            if not self._may_repeat(steered, answer, budget):
                return steered.failed_answer or self._with_return(worst)

    def cut(self, steered: Steered) -> BackendAnswer | Failure:
        """Return what is answered to a request whose work the host has to end."""
        if steered.failed_answer is not None:
            return steered.failed_answer
        if steered.may_have_run:
            return Failure(
                ErrorKind.CUT_BY_STOP,
                f'no answer of {",".join(steered.tried)} before this host ended',
            )
        return self._with_return(
            Failure(ErrorKind.DRAINING, 'this host ended before it was sent')
        )

    def _note_failure(self, steered: Steered, failure: Failure) -> None:
        log.info(
            'attempt_failed',
            request_id=steered.request.request_id,
            backend_server=steered.tried[-1] if steered.tried else '-',
            attempt=len(steered.tried),
            kind=failure.kind.value,
            run=failure.run.value,
            reason=failure.reason,
            deaths=self._crashes.deaths(steered.fingerprint),
        )

    async def _attempt(
        self,
        steered: Steered,
        backend: Backend,
    ) -> BackendAnswer | Failure:
        now_s = self._timer.now_s()
        left_s = steered.deadline_s - now_s
        if left_s <= 0:
            return Failure(ErrorKind.DEADLINE_PASSED, 'the time is over')
        steered.tried.append(backend.record.instance_id)
        visit = self._placement.begin(steered, backend, left_s)
        had_run = steered.may_have_run
        steered.may_have_run = True
        answer: BackendAnswer | Failure | None = None
        try:
            answer = await self._send(steered, backend, left_s)
        finally:
            is_answered = isinstance(answer, BackendAnswer)
            self._placement.end(steered, visit, is_answered=is_answered)
        took_s = self._timer.now_s() - now_s
        self._learn(steered, backend, answer, took_s)
        is_not_run = isinstance(answer, Failure) and answer.run is Run.NO
        steered.may_have_run = had_run or not is_not_run
        return answer

    async def _send(
        self,
        steered: Steered,
        backend: Backend,
        left_s: float,
    ) -> BackendAnswer | Failure:
        outgoing = Outgoing(
            request=steered.request,
            body=steered.body,
            organisation=steered.organisation_name,
            deadline_s=steered.deadline_s,
        )
        answer: BackendAnswer | Failure = Failure(
            ErrorKind.BACKEND_SILENT,
            f'{backend.record.instance_id}: silent, and another server has room',
        )
        async with anyio.create_task_group() as tasks:
            if steered.route.is_idempotent:
                tasks.start_soon(
                    self._watch_stall, steered, backend, tasks.cancel_scope
                )
            answer = await self._forwarder.attempt(outgoing, backend, left_s)
            tasks.cancel_scope.cancel()
        return answer

    async def _watch_stall(
        self,
        steered: Steered,
        backend: Backend,
        attempt: anyio.CancelScope,
    ) -> None:
        """Give an attempt up once another server is certain to take the request."""
        sent_s = self._timer.now_s()
        while True:
            await self._timer.sleep(self._stall_s(steered))
            if backend.health.last_answer_s > sent_s or not self._may_move(steered):
                continue
            backend.health.note_unreachable(self._timer.now_s(), sent_s)
            attempt.cancel()
            return

    def _may_move(self, steered: Steered) -> bool:
        # A stopping host ends no request that a backend server may still answer.
        now_s = self._timer.now_s()
        usual_s = self._latency_s.find(steered.route.name, 0)
        is_hopeless = steered.deadline_s - now_s < max(_LEAST_RETRY_S, usual_s)
        if self._state.is_leaving or is_hopeless:
            return False
        if steered.attempts + 1 >= steered.route.max_attempts:
            return False
        if not self._placement.has_place(steered):
            return False
        return self._budget(steered.service).spend(now_s)

    def _stall_s(self, steered: Steered) -> float:
        usual_s = self._latency_s.find(steered.route.name, _LEAST_STALL_S)
        return max(_LEAST_STALL_S, _STALL_FACTOR * usual_s)

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
            self._latency_s.note(steered.route.name, took_s)
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
        if failure.kind is ErrorKind.BACKEND_SILENT:
            # The repeat was paid for when the attempt was given up.
            return True
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
        usual_s = self._latency_s.find(steered.route.name, 0)
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

    def _with_return(self, failure: Failure) -> Failure:
        if failure.run is Run.NO and not failure.retry_after_ms:
            delay_s = _RETURN_AFTER_S + random.random() * _RETURN_SPREAD_S
            failure.retry_after_ms = int(delay_s * _MS_PER_S)
        return failure


def _graver(first: Failure | None, second: Failure) -> Failure:
    # A later refusal must not hide that an earlier attempt may have run.
    if first is not None and first.run is not Run.NO:
        return first
    return second
