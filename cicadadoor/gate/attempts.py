"""Retry a request at different targets within the retry limits."""

from collections.abc import Callable
from functools import partial

from cicadadoor.decisions.retries import MAX_ATTEMPTS, RetryBudget, is_repeatable
from cicadadoor.errors import ErrorKind, Executed, Failure
from cicadadoor.gate.forwarding import Forwarder
from cicadadoor.gate.keys import KeyAuthenticator
from cicadadoor.gate.peer_forwarding import PeerForwarder
from cicadadoor.gate.quarantine import Quarantine
from cicadadoor.gate.queueing import RequestQueue
from cicadadoor.gate.request import CANCELLED, SteeredRequest, SteeredResponse
from cicadadoor.gate.routing import Target
from cicadadoor.gate.state import GateState
from cicadadoor.gate.streams import release_after_stream
from cicadadoor.kernel import Kernel, Service
from cicadadoor.timer import TimerService

_POLL_S = 0.02
_NO_TARGET_KINDS = frozenset((ErrorKind.NO_BACKEND_SERVER, ErrorKind.NO_CAPACITY))


class AttemptRunner(Service):
    """Run a request at a backend server of this domain or at another gate."""

    name = 'attempts'

    def __init__(self) -> None:
        self._kernel: Kernel
        self._state: GateState
        self._timer: TimerService
        self._keys: KeyAuthenticator
        self._quarantine: Quarantine
        self._queue: RequestQueue
        self._forwarder: Forwarder
        self._peer_forwarder: PeerForwarder
        self._budgets: dict[str, RetryBudget] = {}

    async def start(self, kernel: Kernel) -> None:
        """Look up the services used by an attempt."""
        self._kernel = kernel
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._keys = kernel.find('keys')
        self._quarantine = kernel.find('quarantine')
        self._queue = kernel.find('queue')
        self._forwarder = kernel.find('forwarder')
        self._peer_forwarder = kernel.find('peer_forwarder')

    async def run(
        self,
        request: SteeredRequest,
        *,
        is_local_only: bool = False,
    ) -> SteeredResponse | Failure:
        """Return the first response, or the failure that sums up all attempts."""
        refusal = self._quarantine.check(request)
        if refusal is not None:
            return refusal
        if self._quarantine.is_suspect(request):
            return await self._run_alone(request)
        self._budget(request).earn(self._timer.now_s())
        failures: list[Failure] = []
        tried_targets: set[str] = set()
        while True:
            response = await self._acquire_and_attempt(
                request, tried_targets, is_local_only=is_local_only
            )
            if isinstance(response, SteeredResponse):
                return response
            failures.append(response)
            if not self._may_retry(request, failures):
                return _final_failure(failures)

    def _may_retry(self, request: SteeredRequest, failures: list[Failure]) -> bool:
        failure = failures[-1]
        now_s = self._timer.now_s()
        if len(failures) >= MAX_ATTEMPTS or now_s >= request.deadline_s:
            return False
        if not is_repeatable(
            failure.kind,
            failure.run,
            is_idempotent=request.is_idempotent,
        ):
            return False
        # A request that may have crashed two backend servers is not retried at a third.
        if self._quarantine.is_suspect(request):
            return False
        return self._budget(request).spend(now_s)

    def _budget(self, request: SteeredRequest) -> RetryBudget:
        budget = self._budgets.get(request.service.name)
        if budget is None:
            budget = RetryBudget(self._timer.now_s())
            self._budgets[request.service.name] = budget
        return budget

    async def _acquire_and_attempt(
        self,
        request: SteeredRequest,
        tried_targets: set[str],
        *,
        is_local_only: bool,
    ) -> SteeredResponse | Failure:
        target = await self._acquire(
            request, tried_targets, is_local_only=is_local_only
        )
        if isinstance(target, Failure):
            return target
        if self._keys.is_withdrawn(request.key_hash):
            # The key was withdrawn while the request was queued.
            self._release_unused(target)
            return Failure(ErrorKind.KEY_WITHDRAWN, 'the API key was withdrawn')
        tried_targets.add(target.server.name if target.server else target.gate.host)
        response, _ = await self._attempt(request, target)
        return response

    async def _acquire(
        self,
        request: SteeredRequest,
        tried_targets: set[str],
        *,
        is_local_only: bool,
    ) -> Target | Failure:
        while True:
            reserved = self._quarantine.reserved()
            target = await self._queue.acquire(
                request,
                reserved.union(tried_targets),
                is_local_only=is_local_only,
            )
            if isinstance(target, Failure):
                if not reserved or target.kind not in _NO_TARGET_KINDS:
                    return target
                if self._timer.now_s() >= request.deadline_s:
                    return target
                # A reservation lasts for one request only, so wait and try again.
                await self._timer.sleep(_POLL_S)
                continue
            if target.server is None:
                return target
            if target.server.name not in self._quarantine.reserved():
                return target
            self._release_unused(target)

    async def _run_alone(self, request: SteeredRequest) -> SteeredResponse | Failure:
        async with self._quarantine.run_alone(request) as server:
            if isinstance(server, Failure):
                return server
            others = frozenset(
                other.name
                for other in request.service.backend_servers
                if other.name != server.name
            )
            target = await self._queue.acquire(request, others, is_local_only=True)
            if isinstance(target, Failure):
                return target
            if target.server != server:
                self._release_unused(target)
                return Failure(
                    ErrorKind.NO_CAPACITY,
                    f'backend server {server.name} accepts no requests now',
                )
            response, has_crashed = await self._attempt(request, target)
            if not isinstance(response, Failure) or response.run is not Executed.NO:
                self._quarantine.record_run_alone(request, has_crashed=has_crashed)
            return response

    def _release_unused(self, target: Target) -> None:
        unused = Failure(ErrorKind.NO_CAPACITY, 'the target was not used')
        self._queue.release(target, unused, 0)

    async def _attempt(
        self,
        request: SteeredRequest,
        target: Target,
    ) -> tuple[SteeredResponse | Failure, bool]:
        """Return the response or failure, and whether the backend server crashed."""
        response: SteeredResponse | Failure = CANCELLED
        started_s = self._timer.now_s()
        if target.server is not None:
            self._quarantine.record_start(request, target.server)
        has_crashed = False
        is_streaming = False
        try:
            response = await self._send(request, target)
            if isinstance(response, Failure):
                has_crashed = await self._check_for_crash(target, response)
            elif response.stream is not None:
                left_s = request.deadline_s - self._timer.now_s()
                self._state.in_flight += 1
                release = partial(
                    self._finish_stream,
                    partial(self._finish, request, target, response, started_s),
                )
                response = release_after_stream(
                    self._kernel, request, response, release, left_s
                )
                is_streaming = True
                self._keys.abort_on_withdrawal(request, response)
        finally:
            if not is_streaming:
                self._finish(request, target, response, started_s)
        self._count(request, target)
        return response, has_crashed

    async def _send(
        self,
        request: SteeredRequest,
        target: Target,
    ) -> SteeredResponse | Failure:
        if target.server is not None:
            return await self._forwarder.forward(request, target.server)
        return await self._peer_forwarder.forward(
            request,
            target.gate,
            credit_id=target.credit_id,
        )

    async def _check_for_crash(self, target: Target, failure: Failure) -> bool:
        if target.server is None:
            return False
        return await self._quarantine.check_for_crash(target.server, failure)

    def _finish(
        self,
        request: SteeredRequest,
        target: Target,
        response: SteeredResponse | Failure,
        started_s: float,
    ) -> None:
        if target.server is not None:
            self._quarantine.record_end(request, target.server)
        self._queue.release(target, response, self._timer.now_s() - started_s)

    def _finish_stream(self, finish: Callable[[], None]) -> None:
        self._state.in_flight -= 1
        finish()

    def _count(self, request: SteeredRequest, target: Target) -> None:
        region = target.gate.region if target.gate else self._state.settings.region
        self._state.count_steered(request.organisation_name, region)


def _final_failure(failures: list[Failure]) -> Failure:
    # A later refusal must not hide that an earlier attempt may have executed.
    for failure in failures:
        if failure.run is not Executed.NO:
            return failure
    return failures[0]
