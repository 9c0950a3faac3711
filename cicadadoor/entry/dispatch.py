"""Send a request to a backend server, and retry it where that is safe."""

import random

import anyio

from cicadadoor.decisions.averages import Averages
from cicadadoor.decisions.retries import RetryBudget
from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.forwarding import Forwarder, OutgoingRequest
from cicadadoor.entry.membership import Membership
from cicadadoor.entry.messages import BackendResponse
from cicadadoor.entry.placement import Placement
from cicadadoor.entry.quarantine import CrashWatch
from cicadadoor.entry.routed_request import RoutedRequest
from cicadadoor.entry.state import EntryState
from cicadadoor.errors import ErrorKind, Executed, Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('dispatch')

_MS_PER_S = 1000
# Retry-After: capacity is usually free again within a few tenths of a second. The
# jitter keeps callers from retrying at the same time.
_RETRY_DELAY_S = 0.3
_RETRY_JITTER_S = 0.6
# An idempotent request is sent to another server after this multiple of its route's
# average latency, if the first server has responded to no request since.
_STALL_FACTOR = 3.0
_MIN_STALL_S = 0.8
_RETRYABLE = frozenset(
    (
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.ANSWER_INVALID,
        ErrorKind.ANSWER_TRUNCATED,
        ErrorKind.ANSWER_TIMED_OUT,
    )
)
# A server that crashes closes its connections, before an answer or within one.
_CRASH_SIGNS = frozenset((ErrorKind.OUTCOME_UNKNOWN, ErrorKind.ANSWER_TRUNCATED))
_NOT_RUN = frozenset(
    (ErrorKind.CONNECT_FAILED, ErrorKind.BACKEND_SHED, ErrorKind.BACKEND_MOVED)
)
# Failed connects do not count against max_attempts, up to this number.
_MAX_FAILED_CONNECTS = 4
# Fraction of `retry_slack` that all hosts together may use beyond `retry_ratio`.
_SLACK_FRACTION = 0.5
_MIN_RETRY_TIME_S = 0.05
_SERVER_ERROR = 500


class Dispatcher(Service):
    """Send requests and retry them within the retry budget of their service."""

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
        """Look up the services that the attempts use."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._placement = kernel.find('placement')
        self._crashes = kernel.find('quarantine')
        self._forwarder = kernel.find('forwarder')
        self._membership = kernel.find('membership')

    async def run(self, routed: RoutedRequest) -> BackendResponse | Failure:
        """Send the request until it is answered or must not be retried."""
        with self._crashes.running(routed.fingerprint) as is_probe:
            routed.is_probe = is_probe
            return await self._run(routed)

    async def _run(self, routed: RoutedRequest) -> BackendResponse | Failure:
        budget = self._retry_budget(routed.service)
        budget.earn(self._timer.now_s())
        reported_failure: Failure | None = None
        while True:
            backend = await self._placement.select_server(routed)
            if backend is None:
                return routed.take_kept_response() or self._with_retry_after(
                    reported_failure or self._placement.no_server_failure(routed)
                )
            answer = await self._attempt(routed, backend)
            if isinstance(answer, BackendResponse):
                if not self._may_retry_server_error(routed, answer, budget):
                    return answer
                routed.keep_response(answer)
                # Reported if the response is evicted before it is returned.
                reported_failure = Failure(
                    ErrorKind.ANSWER_INVALID,
                    f'{backend.record.instance_id}: server error dropped: too little '
                    'memory',
                )
                continue
            self._log_failure(routed, answer)
            reported_failure = _failure_to_report(reported_failure, answer)
            if not self._may_retry(routed, answer, budget):
                return routed.take_kept_response() or self._with_retry_after(
                    reported_failure
                )

    def answer_at_shutdown(self, routed: RoutedRequest) -> BackendResponse | Failure:
        """Return the answer to a request that the shutdown of the host aborts."""
        kept = routed.take_kept_response()
        if kept is not None:
            return kept
        if routed.may_have_run:
            return Failure(
                ErrorKind.CUT_BY_STOP,
                f'no response from {",".join(routed.tried)} before the host stopped',
            )
        return self._with_retry_after(
            Failure(ErrorKind.DRAINING, 'host stopped before the request was sent')
        )

    def _log_failure(self, routed: RoutedRequest, failure: Failure) -> None:
        log.info(
            'attempt_failed',
            request_id=routed.request.request_id,
            backend_server=routed.tried[-1] if routed.tried else '-',
            attempt=len(routed.tried),
            kind=failure.kind.value,
            run=failure.run.value,
            reason=failure.reason,
            deaths=self._crashes.crash_count(routed.fingerprint),
        )

    async def _attempt(
        self,
        routed: RoutedRequest,
        backend: Backend,
    ) -> BackendResponse | Failure:
        now_s = self._timer.now_s()
        left_s = routed.deadline_s - now_s
        if left_s <= 0:
            return Failure(
                ErrorKind.DEADLINE_PASSED, 'deadline passed before the attempt'
            )
        if not routed.is_probe and self._crashes.is_quarantined(routed.fingerprint):
            return Failure(
                ErrorKind.REQUEST_HELD, 'quarantined while it waited for a server'
            )
        routed.tried.append(backend.record.instance_id)
        attempt = self._placement.begin(routed, backend, left_s)
        may_have_run_before = routed.may_have_run
        routed.may_have_run = True
        answer: BackendResponse | Failure | None = None
        try:
            answer = await self._send(routed, backend, left_s)
        finally:
            is_answered = isinstance(answer, BackendResponse)
            self._placement.end(routed, attempt, is_answered=is_answered)
        took_s = self._timer.now_s() - now_s
        self._record_outcome(routed, backend, answer, took_s)
        is_not_run = isinstance(answer, Failure) and answer.run is Executed.NO
        routed.may_have_run = may_have_run_before or not is_not_run
        return answer

    async def _send(
        self,
        routed: RoutedRequest,
        backend: Backend,
        left_s: float,
    ) -> BackendResponse | Failure:
        outgoing = OutgoingRequest(
            request=routed.request,
            body=routed.body,
            organisation=routed.organisation_name,
            deadline_s=routed.deadline_s,
            reservation=routed.reservation,
        )
        answer: BackendResponse | Failure = Failure(
            ErrorKind.BACKEND_SILENT,
            f'{backend.record.instance_id}: no response; resending to another server',
        )
        watch = anyio.CancelScope()
        async with anyio.create_task_group() as tasks:
            if routed.route.is_idempotent:
                attempt = tasks.cancel_scope
                tasks.start_soon(self._watch_stall, watch, routed, backend, attempt)
            answer = await self._forwarder.attempt(outgoing, backend, left_s)
            # A cancelled task of the group would be left to the garbage collector,
            # with the request that it refers to.
            watch.cancel()
        return answer

    async def _watch_stall(
        self,
        watch: anyio.CancelScope,
        routed: RoutedRequest,
        backend: Backend,
        attempt: anyio.CancelScope,
    ) -> None:
        """Cancel a stalled attempt once another server can accept the request."""
        sent_s = self._timer.now_s()
        with watch:
            while not attempt.cancel_called:
                await self._timer.sleep(self._stall_s(routed))
                has_responded = backend.health.last_response_s > sent_s
                if not has_responded and self._may_resend(routed):
                    backend.health.note_unreachable(self._timer.now_s(), sent_s)
                    attempt.cancel()

    def _may_resend(self, routed: RoutedRequest) -> bool:
        # A stopping host does not cancel an attempt that may still be answered.
        now_s = self._timer.now_s()
        average_s = self._latency_s.find(routed.route.name, 0)
        is_too_late = routed.deadline_s - now_s < max(_MIN_RETRY_TIME_S, average_s)
        if self._state.is_leaving or is_too_late:
            return False
        if routed.attempts + 1 >= routed.route.max_attempts:
            return False
        if not self._placement.has_available_server(routed):
            return False
        return self._retry_budget(routed.service).spend(now_s)

    def _stall_s(self, routed: RoutedRequest) -> float:
        average_s = self._latency_s.find(routed.route.name, _MIN_STALL_S)
        return max(_MIN_STALL_S, _STALL_FACTOR * average_s)

    def _record_outcome(
        self,
        routed: RoutedRequest,
        backend: Backend,
        answer: BackendResponse | Failure,
        took_s: float,
    ) -> None:
        if isinstance(answer, BackendResponse):
            routed.attempts += 1
            self._crashes.note_response(routed.fingerprint)
            self._latency_s.note(routed.route.name, took_s)
        elif answer.kind is ErrorKind.CONNECT_FAILED:
            routed.failed_connects += 1
        else:
            routed.attempts += 1
            if answer.kind in _CRASH_SIGNS:
                self._crashes.note_crash(routed.fingerprint, backend, took_s)

    def _may_retry(
        self,
        routed: RoutedRequest,
        failure: Failure,
        budget: RetryBudget,
    ) -> bool:
        now_s = self._timer.now_s()
        if routed.deadline_s - now_s < _MIN_RETRY_TIME_S:
            return False
        if failure.kind is ErrorKind.CONNECT_FAILED:
            return routed.failed_connects <= _MAX_FAILED_CONNECTS
        if failure.kind is ErrorKind.BACKEND_SILENT:
            # _may_resend has charged the retry budget when it cancelled the attempt.
            return True
        if routed.attempts >= routed.route.max_attempts:
            return False
        if failure.kind in _NOT_RUN:
            return budget.spend(now_s)
        if not routed.route.is_idempotent or failure.kind not in _RETRYABLE:
            return False
        if self._crashes.crash_count(routed.fingerprint) > 1:
            return False
        return budget.spend(now_s)

    def _may_retry_server_error(
        self,
        routed: RoutedRequest,
        response: BackendResponse,
        budget: RetryBudget,
    ) -> bool:
        if response.head.status < _SERVER_ERROR or not routed.route.is_idempotent:
            return False
        if routed.attempts >= routed.route.max_attempts:
            return False
        now_s = self._timer.now_s()
        average_s = self._latency_s.find(routed.route.name, 0)
        if routed.deadline_s - now_s < max(_MIN_RETRY_TIME_S, average_s):
            return False
        return budget.spend(now_s)

    def _retry_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._state.settings
            slack = settings.retry_slack * _SLACK_FRACTION
            budget = RetryBudget(
                self._timer.now_s(),
                share=settings.retry_ratio,
                reserve=max(1.0, slack / self._membership.host_count),
                reserve_per_s=0,
            )
            self._budgets[service] = budget
        return budget

    def _with_retry_after(self, failure: Failure) -> Failure:
        if failure.run is Executed.NO and not failure.retry_after_ms:
            delay_s = _RETRY_DELAY_S + random.random() * _RETRY_JITTER_S
            failure.retry_after_ms = int(delay_s * _MS_PER_S)
        return failure


def _failure_to_report(first: Failure | None, second: Failure) -> Failure:
    # A later refusal must not hide that an earlier attempt may have been executed.
    if first is not None and first.run is not Executed.NO:
        return first
    return second
