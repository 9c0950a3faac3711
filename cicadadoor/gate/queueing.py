"""Queue requests for a free target, with fair queueing among organisations."""

import abc

import anyio

from cicadadoor.config.model import ServiceClass
from cicadadoor.decisions.fair_queue import FairQueue, QueuedRequest
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.request import SteeredRequest, SteeredResponse
from cicadadoor.gate.routing import AVOID_NONE, Router, Target
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.timer import TimerService

# Limit for the queued requests of one organisation to one service.
MAX_QUEUE_LENGTH = 64
# Polling is needed because capacity also appears without a release at this gate, for
# example when a backend server returns.
_POLL_S = 0.05


class RequestQueue(Service):
    """Assign free targets to queued requests."""

    name = 'queue'

    @abc.abstractmethod
    async def acquire(
        self,
        request: SteeredRequest,
        avoid: frozenset[str] = AVOID_NONE,
        *,
        is_local_only: bool = False,
    ) -> Target | Failure:
        """Wait for a target, at most until the request's deadline."""

    @abc.abstractmethod
    def release(
        self,
        target: Target,
        response: SteeredResponse | Failure,
        took_s: float,
    ) -> None:
        """Release the target and assign it to a queued request."""


class _PendingRequest:
    """Track a queued request, its constraints and, once known, its outcome."""

    __slots__ = ('avoid', 'is_local_only', 'outcome', 'request', 'resolved')

    def __init__(
        self,
        request: SteeredRequest,
        avoid: frozenset[str],
        *,
        is_local_only: bool,
    ) -> None:
        self.request = request
        self.avoid = avoid
        self.is_local_only = is_local_only
        self.outcome: Target | Failure | None = None
        self.resolved = anyio.Event()

    def resolve(self, outcome: Target | Failure) -> None:
        """Wake the waiting task with its target or failure."""
        self.outcome = outcome
        self.resolved.set()


class FairRequestQueue(RequestQueue):
    """Keep one fair queue for each service."""

    def __init__(self) -> None:
        self._router: Router
        self._state: GateState
        self._timer: TimerService
        self._queues: dict[tuple[str, bool], FairQueue] = {}

    async def start(self, kernel: Kernel) -> None:
        """Look up the router and poll the queues periodically."""
        self._router = kernel.find('router')
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        # Credits that no request uses within a few periods are returned.
        self._router.on_capacity(self._assign_targets)
        self._timer.subscribe('request_queue', _POLL_S, self.poll)

    async def acquire(
        self,
        request: SteeredRequest,
        avoid: frozenset[str] = AVOID_NONE,
        *,
        is_local_only: bool = False,
    ) -> Target | Failure:
        """Wait for a target, at most until the request's deadline."""
        pending = _PendingRequest(request, avoid, is_local_only=is_local_only)
        queue = self._queues.setdefault(
            (request.service.name, is_local_only), FairQueue(MAX_QUEUE_LENGTH)
        )
        if not queue:
            target = self._try_acquire(pending)
            if not _lacks_capacity(target):
                return target
        now_s = self._timer.now_s()
        queued = QueuedRequest(
            pending,
            request.organisation_name,
            now_s,
            request.deadline_s,
            is_deferrable=request.service.service_class is ServiceClass.DEFERRABLE,
        )
        if request.deadline_s <= now_s:
            return _deadline_passed()
        if not queue.add(queued):
            return Failure(
                ErrorKind.QUEUE_FULL,
                f'{MAX_QUEUE_LENGTH} requests of organisation '
                f'{request.organisation_name} are queued already; retry later',
            )
        is_resolved = False
        try:
            await pending.resolved.wait()
            is_resolved = True
        finally:
            if not is_resolved:
                self._cancel_wait(queue, queued)
        return pending.outcome

    def release(
        self,
        target: Target,
        response: SteeredResponse | Failure,
        took_s: float,
    ) -> None:
        """Release the target and assign it to a queued request."""
        self._router.release(target, response, took_s)
        self._assign_targets()

    async def poll(self) -> None:
        """Fail expired requests and assign targets to the others."""
        now_s = self._timer.now_s()
        for queue in self._queues.values():
            for queued in queue.expired(now_s):
                queued.payload.resolve(_deadline_passed())
        self._assign_targets()

    def _assign_targets(self) -> None:
        now_s = self._timer.now_s()
        view = self._state.view
        organisations = view.organisations if view else {}
        weights = {name: each.queue_weight for name, each in organisations.items()}
        for queue in self._queues.values():
            if queue:
                self._assign_queued(queue, weights, now_s)

    def _assign_queued(
        self,
        queue: FairQueue,
        weights: dict[str, int],
        now_s: float,
    ) -> None:
        unassigned: list[QueuedRequest] = []
        while (queued := queue.pop(now_s, weights)) is not None:
            pending: _PendingRequest = queued.payload
            target = self._try_acquire(pending)
            if not _lacks_capacity(target):
                pending.resolve(target)
                continue
            unassigned.append(queued)
            # A request that avoids some servers must not block the others.
            if not pending.avoid:
                break
        for skipped in reversed(unassigned):
            queue.put_back(skipped, now_s)

    def _try_acquire(self, pending: _PendingRequest) -> Target | Failure:
        return self._router.try_acquire(
            pending.request, pending.avoid, is_local_only=pending.is_local_only
        )

    def _cancel_wait(self, queue: FairQueue, queued: QueuedRequest) -> None:
        queue.remove(queued)
        outcome = queued.payload.outcome
        if isinstance(outcome, Target):
            failure = Failure(ErrorKind.DEADLINE_PASSED, 'the caller disconnected')
            self.release(outcome, failure, 0)


def _lacks_capacity(target: Target | Failure) -> bool:
    return isinstance(target, Failure) and target.kind is ErrorKind.NO_CAPACITY


def _deadline_passed() -> Failure:
    return Failure(
        ErrorKind.DEADLINE_PASSED, 'no backend server was free before the deadline'
    )
