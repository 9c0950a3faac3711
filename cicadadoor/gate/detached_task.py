"""Run a request in a separate task that outlives its caller."""

from collections.abc import Awaitable, Callable

import anyio

from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.request import SteeredResponse
from cicadadoor.kernel import Kernel, OnFault
from cicadadoor.telemetry import logs

log = logs.logger('request')

Work = Callable[[], Awaitable[SteeredResponse | Failure]]


class DetachedTask:
    """Return the response to the waiting task, or close it if none waits."""

    def __init__(self, work: Work) -> None:
        self._work = work
        self._response: SteeredResponse | Failure | None = None
        self._answered = anyio.Event()
        self._is_abandoned = False

    async def run(self, kernel: Kernel) -> SteeredResponse | Failure:
        """Start the work and wait for its result; cancellation ends only the wait."""
        kernel.spawn(self._serve, on_fault=OnFault.CONTINUE)
        is_received = False
        try:
            await self._answered.wait()
            is_received = True
        finally:
            if not is_received:
                self._is_abandoned = True
                if self._response is not None:
                    kernel.spawn(self._release, on_fault=OnFault.CONTINUE)
        return self._response

    async def _serve(self) -> None:
        self._response = await run_safely(self._work)
        self._answered.set()
        if self._is_abandoned:
            await self._release()

    async def _release(self) -> None:
        if isinstance(self._response, SteeredResponse):
            await self._response.close()


async def run_safely(work: Work) -> SteeredResponse | Failure:
    """Convert exceptions to INTERNAL, which leaves the outcome unknown."""
    try:
        return await work()
    except Exception:
        log.exception('request_failed')
        return Failure(
            ErrorKind.INTERNAL,
            'internal error; see request_failed in the log of this host',
        )
