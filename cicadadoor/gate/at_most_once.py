"""Define how requests with an idempotency key run at most once."""

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
        *,
        is_forwarded: bool = False,
    ) -> SteeredAnswer | Failure:
        """Dispatch the request, or answer a repeat.

        `is_forwarded` tells that another gate takes this one as owner of the key.
        """

    @abc.abstractmethod
    def issue_prefix(self, service: str) -> str:
        """Return a signed prefix for idempotency keys of a caller."""
