"""Let requests wait for a free target, fairly among organisations."""

import abc

from cicadadoor.errors import Failure
from cicadadoor.gate.request import SteeredAnswer, SteeredRequest
from cicadadoor.gate.routing import AVOID_NONE, Router, Target
from cicadadoor.kernel import Kernel, Service


class RequestQueue(Service):
    """Decide which waiting request gets the next free target."""

    name = 'queue'

    @abc.abstractmethod
    async def acquire(
        self,
        request: SteeredRequest,
        avoid: frozenset[str] = AVOID_NONE,
        *,
        is_local_only: bool = False,
    ) -> Target | Failure:
        """Return a target, at the latest when the request's deadline passes."""

    @abc.abstractmethod
    def release(
        self,
        target: Target,
        answer: SteeredAnswer | Failure,
        took_s: float,
    ) -> None:
        """Give the target back and let a waiting request have it."""


class NoQueue(RequestQueue):
    """Refuse at once when no target is free."""

    def __init__(self) -> None:
        self._router: Router

    async def start(self, kernel: Kernel) -> None:
        """Find the router."""
        self._router = kernel.find('router')

    async def acquire(
        self,
        request: SteeredRequest,
        avoid: frozenset[str] = AVOID_NONE,
        *,
        is_local_only: bool = False,
    ) -> Target | Failure:
        """Return a target if one is free now."""
        return self._router.try_acquire(request, avoid, is_local_only=is_local_only)

    def release(
        self,
        target: Target,
        answer: SteeredAnswer | Failure,
        took_s: float,
    ) -> None:
        """Give the target back."""
        self._router.release(target, answer, took_s)
