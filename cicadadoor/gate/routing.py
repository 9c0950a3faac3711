"""Choose where a request runs."""

import abc
import random

from cicadadoor.config.model import BackendServer
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.request import SteeredAnswer, SteeredRequest
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.messages import GateInfo

AVOID_NONE: frozenset[str] = frozenset()


class Target:
    """Name where a request runs: a backend server, or a gate of another domain."""

    __slots__ = ('gate', 'server')

    def __init__(
        self,
        server: BackendServer | None = None,
        gate: GateInfo | None = None,
    ) -> None:
        self.server = server
        self.gate = gate


class Router(Service):
    """Choose a target and hold its slot or credit until it is released."""

    name = 'router'

    @abc.abstractmethod
    def try_acquire(
        self,
        request: SteeredRequest,
        avoid: frozenset[str] = AVOID_NONE,
        *,
        is_local_only: bool = False,
    ) -> Target | Failure:
        """Choose a target now, or return NO_CAPACITY or NO_BACKEND_SERVER.

        `avoid` names backend servers that this request already failed at.
        """

    @abc.abstractmethod
    def release(
        self,
        target: Target,
        answer: SteeredAnswer | Failure,
        took_s: float,
    ) -> None:
        """Give the slot or credit back, and learn from the answer."""


class TwoChoicesRouter(Router):
    """Take the less loaded of two random backend servers of this domain."""

    def __init__(self) -> None:
        self._state: GateState
        self._in_flight: dict[str, int] = {}

    async def start(self, kernel: Kernel) -> None:
        """Find the state."""
        self._state = kernel.find('state')

    def try_acquire(
        self,
        request: SteeredRequest,
        avoid: frozenset[str] = AVOID_NONE,
        *,
        is_local_only: bool = False,
    ) -> Target | Failure:
        """Choose a backend server and take a slot of it."""
        domain = self._state.settings.failure_domain
        local = [
            server
            for server in request.service.backend_servers
            if server.failure_domain == domain and server.name not in avoid
        ]
        if not local:
            return Failure(
                ErrorKind.NO_BACKEND_SERVER,
                f'service {request.service.name} has none left in {domain}',
            )
        free = [server for server in local if self._load(server) < 1]
        if not free:
            return Failure(ErrorKind.NO_CAPACITY, f'all slots in {domain} are taken')
        candidates = random.sample(free, min(2, len(free)))
        chosen = min(candidates, key=self._load)
        self._in_flight[chosen.name] = self._in_flight.get(chosen.name, 0) + 1
        return Target(server=chosen)

    def release(
        self,
        target: Target,
        answer: SteeredAnswer | Failure,
        took_s: float,
    ) -> None:
        """Give the slot back."""
        if target.server is not None:
            self._in_flight[target.server.name] -= 1

    def _load(self, server: BackendServer) -> float:
        return self._in_flight.get(server.name, 0) / server.slots
