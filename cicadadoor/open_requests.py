"""Track the requests that a server has not answered yet."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

# Time for cancelled requests to send their responses.
_CANCEL_TIMEOUT_S = 0.2
_CANCEL_POLL_S = 0.01


class OpenRequests:
    """Track the requests in flight, and cancel them when the grace period ends.

    hypercorn would answer a request that it cancels itself with status 500.
    """

    def __init__(self) -> None:
        self._count = 0
        self._scopes: set[anyio.CancelScope] = set()
        # True once no further request may start.
        self.is_cancelled = False

    def __len__(self) -> int:
        """Return the number of requests without a complete response."""
        return self._count

    def begin(self) -> None:
        """Count a request as in flight."""
        self._count += 1

    def end(self) -> None:
        """Stop counting a request."""
        self._count -= 1

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a request as in flight until the block ends."""
        self.begin()
        try:
            yield
        finally:
            self.end()

    @contextmanager
    def cancellable(self) -> Iterator[None]:
        """End the block early on cancellation; the code after it has to respond."""
        with anyio.CancelScope() as scope:
            if self.is_cancelled:
                scope.cancel()
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    async def cancel_all(self, timeout_s: float = _CANCEL_TIMEOUT_S) -> None:
        """Cancel all requests, and wait for their responses to be sent."""
        self.is_cancelled = True
        for scope in tuple(self._scopes):
            scope.cancel()
        with anyio.move_on_after(min(timeout_s, _CANCEL_TIMEOUT_S)):
            while self._count:
                await anyio.sleep(_CANCEL_POLL_S)
