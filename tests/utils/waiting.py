"""Wait for a condition with a time limit."""

import time
from collections.abc import Callable

import anyio

LIMIT_S = 60.0
_POLL_S = 0.05


def wait_until(
    condition: Callable[[], object],
    what: str,
    limit_s: float = LIMIT_S,
) -> None:
    """Return when the condition holds; raise AssertionError after the limit."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        if condition():
            return
        time.sleep(_POLL_S)
    raise AssertionError(f'timed out after {limit_s} s waiting for: {what}')


async def until(condition: Callable[[], object], limit_s: float = LIMIT_S) -> None:
    """Wait without blocking the event loop; raise TimeoutError after the limit."""
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(_POLL_S)
