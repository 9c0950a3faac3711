"""Run each request with an idempotency key at most once."""

import abc
from collections.abc import Awaitable, Callable

from cicadadoor.errors import Failure
from cicadadoor.gate.request import SteeredAnswer, SteeredRequest
from cicadadoor.kernel import Service

Dispatch = Callable[[SteeredRequest], Awaitable[SteeredAnswer | Failure]]


class AtMostOnce(Service):
    """Decide whether a request is dispatched, repeated from memory or refused."""

    name = 'at_most_once'

    @abc.abstractmethod
    async def run(
        self,
        request: SteeredRequest,
        dispatch: Dispatch,
    ) -> SteeredAnswer | Failure:
        """Dispatch the request, or answer a repeat."""

    @abc.abstractmethod
    def issue_prefix(self, service: str) -> str:
        """Return a signed prefix for idempotency keys of a caller."""


class PassThrough(AtMostOnce):
    """Dispatch each request once, without memory of idempotency keys."""

    async def run(
        self,
        request: SteeredRequest,
        dispatch: Dispatch,
    ) -> SteeredAnswer | Failure:
        """Dispatch the request."""
        return await dispatch(request)

    def issue_prefix(self, service: str) -> str:
        """Return no prefix."""
        return ''
