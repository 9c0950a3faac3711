"""Choose the backend server for a request."""

import abc
import random

from cicadadoor.config.model import BackendServer
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.request import SteeredRequest
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service


class Router(Service):
    """Choose a backend server and hold one of its slots."""

    name = 'router'

    @abc.abstractmethod
    async def acquire(self, request: SteeredRequest) -> BackendServer | Failure:
        """Choose a backend server and take a slot of it, within the deadline."""

    @abc.abstractmethod
    def release(self, server: BackendServer) -> None:
        """Give the slot back."""


class TwoChoicesRouter(Router):
    """Take the less loaded of two random backend servers of this domain."""

    def __init__(self) -> None:
        self._state: GateState
        self._in_flight: dict[str, int] = {}

    async def start(self, kernel: Kernel) -> None:
        """Find the state."""
        self._state = kernel.find('state')

    async def acquire(self, request: SteeredRequest) -> BackendServer | Failure:
        """Choose a backend server and take a slot of it."""
        domain = self._state.settings.failure_domain
        local = [
            server
            for server in request.service.backend_servers
            if server.failure_domain == domain
        ]
        if not local:
            return Failure(
                ErrorKind.NO_BACKEND_SERVER,
                f'service {request.service.name} has none in {domain}',
            )
        free = [server for server in local if self._load(server) < 1]
        if not free:
            return Failure(ErrorKind.NO_CAPACITY, f'all slots in {domain} are taken')
        candidates = random.sample(free, min(2, len(free)))
        chosen = min(candidates, key=self._load)
        self._in_flight[chosen.name] = self._in_flight.get(chosen.name, 0) + 1
        return chosen

    def release(self, server: BackendServer) -> None:
        """Give the slot back."""
        self._in_flight[server.name] -= 1

    def _load(self, server: BackendServer) -> float:
        return self._in_flight.get(server.name, 0) / server.slots
