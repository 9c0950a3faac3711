"""Define the interface for at-most-once execution by idempotency key."""

import abc
from collections.abc import Awaitable, Callable

from cicadadoor.errors import Failure
from cicadadoor.gate.request import SteeredRequest, SteeredResponse
from cicadadoor.kernel import Service

Dispatch = Callable[[SteeredRequest], Awaitable[SteeredResponse | Failure]]


class AtMostOnce(Service):
    """Dispatch a request, replay its stored response, or refuse it."""

    name = 'at_most_once'

    @abc.abstractmethod
    async def run(
        self,
        request: SteeredRequest,
        dispatch: Dispatch,
        *,
        is_forwarded: bool = False,
    ) -> SteeredResponse | Failure:
        """Dispatch the request, or return the stored outcome of a repeated one.

        `is_forwarded` means that another gate forwarded the request because it
        considers this gate the owner of the key.
        """

    @abc.abstractmethod
    def issue_prefix(self, service: str) -> str:
        """Return a signed prefix for a caller's idempotency keys."""
