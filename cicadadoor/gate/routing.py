"""Choose the target of a request."""

import abc
import random
from collections.abc import Callable

from cicadadoor.config.model import BackendServer
from cicadadoor.config.model import Service as ConfiguredService
from cicadadoor.decisions.balancing import choose
from cicadadoor.decisions.credits import RecentPeakLoad, headroom
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.request import SteeredRequest, SteeredResponse
from cicadadoor.gate.servers import BackendServers
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.messages import GateInfo
from cicadadoor.telemetry import metrics
from cicadadoor.timer import TimerService

AVOID_NONE: frozenset[str] = frozenset()


class Target:
    """Name the target of a request: a backend server, or a gate with a credit."""

    __slots__ = ('credit_id', 'gate', 'is_own', 'server', 'service')

    def __init__(
        self,
        server: BackendServer | None = None,
        gate: GateInfo | None = None,
        *,
        credit_id: str = '',
        service: str = '',
        is_own: bool = True,
    ) -> None:
        self.server = server
        self.gate = gate
        self.credit_id = credit_id
        self.service = service
        # False if another gate forwarded the request.
        self.is_own = is_own


class Router(Service):
    """Choose targets and reserve their slots or credits until release."""

    name = 'router'

    @abc.abstractmethod
    def try_acquire(
        self,
        request: SteeredRequest,
        avoid: frozenset[str] = AVOID_NONE,
        *,
        is_local_only: bool = False,
    ) -> Target | Failure:
        """Reserve a target, or return NO_CAPACITY or NO_BACKEND_SERVER.

        `avoid` names the backend servers and entry hosts at which this request has
        failed. `is_local_only` is set for a request that another gate forwarded.
        """

    @abc.abstractmethod
    def release(
        self,
        target: Target,
        response: SteeredResponse | Failure,
        took_s: float,
    ) -> None:
        """Release the slot or credit, and record the outcome."""

    def on_capacity(self, callback: Callable[[], None]) -> None:
        """Register a callback for capacity that appears without a release."""


class CreditSource(Service):
    """Provide credits for forwarding requests to other gates."""

    name = 'credits'

    @abc.abstractmethod
    def try_take(
        self,
        request: SteeredRequest,
        avoid: frozenset[str],
    ) -> Target | Failure:
        """Use a credit of the nearest gate that granted one, or return NO_CAPACITY."""

    @abc.abstractmethod
    def is_awaited(self, request: SteeredRequest, avoid: frozenset[str]) -> bool:
        """Return whether the request may wait for an answer from another gate."""


class TwoChoicesRouter(Router):
    """Use a backend server of this failure domain, or else a credit of another gate.

    Backend servers are chosen by the power of two random choices.
    """

    def __init__(self, random_source: random.Random | None = None) -> None:
        self._state: GateState
        self._timer: TimerService
        self._servers: BackendServers
        self._credits: CreditSource
        self._random = random_source or random.Random()
        self._own_in_use: dict[str, int] = {}
        self._own_load: dict[str, RecentPeakLoad] = {}
        self._callbacks: list[Callable[[], None]] = []
        self.response_bytes: dict[str, int] = {}

    async def start(self, kernel: Kernel) -> None:
        """Look up the services for backend servers and credits."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._servers = kernel.find('servers')
        self._credits = kernel.find('credits')

    def on_capacity(self, callback: Callable[[], None]) -> None:
        """Register a callback for newly granted credits."""
        self._callbacks.append(callback)

    def notify_capacity(self) -> None:
        """Call the callbacks because a target may be available."""
        for callback in self._callbacks:
            callback()

    def try_acquire(
        self,
        request: SteeredRequest,
        avoid: frozenset[str] = AVOID_NONE,
        *,
        is_local_only: bool = False,
    ) -> Target | Failure:
        """Reserve a slot at a backend server, or use a credit."""
        service = request.service
        usable = self._servers.usable(service)
        untried = [candidate for candidate in usable if candidate.name not in avoid]
        chosen = choose(untried, self._timer.now_s(), self._random)
        if chosen is None:
            return self._acquire_remote(request, avoid, bool(untried), is_local_only)
        chosen.load.in_flight += 1
        metrics.BACKEND_IN_FLIGHT.labels(chosen.name).set(chosen.load.in_flight)
        if not is_local_only:
            self._count_own(service.name, 1)
        server = next(
            each for each in service.backend_servers if each.name == chosen.name
        )
        return Target(server=server, service=service.name, is_own=not is_local_only)

    def release(
        self,
        target: Target,
        response: SteeredResponse | Failure,
        took_s: float,
    ) -> None:
        """Release the slot and record the outcome."""
        if target.server is None:
            return
        name = target.server.name
        load = self._servers.load(name)
        load.in_flight -= 1
        metrics.BACKEND_IN_FLIGHT.labels(name).set(load.in_flight)
        if target.is_own:
            self._count_own(target.service, -1)
        self._servers.record_result(name, response, took_s)
        if isinstance(response, SteeredResponse):
            total = self.response_bytes.get(target.service, 0)
            self.response_bytes[target.service] = total + len(response.body)

    def usage(self, service: ConfiguredService) -> tuple[int, int]:
        """Return the used and total slots at usable servers of this domain."""
        usable = self._servers.usable(service)
        in_use = sum(candidate.load.in_flight for candidate in usable)
        return in_use, sum(candidate.slots for candidate in usable)

    def headroom(self, service: ConfiguredService) -> int:
        """Return the slots available to other gates after the local reserve."""
        in_use, slots = self.usage(service)
        own_load = self._own_load.get(service.name)
        peak = own_load.peak(self._timer.now_s()) if own_load else 0
        return headroom(slots, in_use, peak)

    def _acquire_remote(
        self,
        request: SteeredRequest,
        avoid: frozenset[str],
        has_local: bool,
        is_local_only: bool,
    ) -> Target | Failure:
        if not is_local_only:
            found = self._credits.try_take(request, avoid)
            if isinstance(found, Target):
                return found
            if found.kind is not ErrorKind.NO_CAPACITY:
                return found
            if not has_local and self._credits.is_awaited(request, avoid):
                return found
        domain = self._state.settings.failure_domain
        if has_local:
            return Failure(
                ErrorKind.NO_CAPACITY,
                f'all slots in failure domain {domain} are in use',
            )
        return Failure(
            ErrorKind.NO_BACKEND_SERVER,
            f'service {request.service.name} has no usable backend server left in '
            f'failure domain {domain}',
        )

    def _count_own(self, service: str, change: int) -> None:
        in_use = self._own_in_use.get(service, 0) + change
        self._own_in_use[service] = in_use
        own_load = self._own_load.setdefault(service, RecentPeakLoad())
        own_load.note(in_use, self._timer.now_s())
