"""Keep a watch of the platform open while it is needed."""

import random
from collections.abc import Awaitable, Callable

import anyio

from cicadadoor.errors import Failure
from cicadadoor.kernel import Kernel, OnFault
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('platform')

_ROLE_PERIOD_S = 0.5
_RETRY_MIN_S = 0.5
_RETRY_MAX_S = 8.0


class PlatformWatch:
    """Restart a watch whenever it ends, with exponential backoff and jitter."""

    def __init__(
        self,
        kernel: Kernel,
        name: str,
        is_wanted: Callable[[], bool],
        watch: Callable[[], Awaitable[Failure]],
    ) -> None:
        self._timer: TimerService = kernel.find('timer')
        self._name = name
        self._is_wanted = is_wanted
        self._watch = watch
        self._scope: anyio.CancelScope | None = None
        self._rng = random.Random()
        self._timer.subscribe(f'{name}_role', _ROLE_PERIOD_S, self._check_role)
        kernel.spawn(self._run, on_fault=OnFault.RESTART)

    async def _check_role(self) -> None:
        if self._scope is not None and not self._is_wanted():
            self._scope.cancel()

    async def _run(self) -> None:
        retry_s = _RETRY_MIN_S
        while True:
            if not self._is_wanted():
                await self._timer.sleep(_ROLE_PERIOD_S)
                continue
            began_s = self._timer.now_s()
            scope = anyio.CancelScope()
            self._scope = scope
            with scope:
                failure = await self._watch()
                log.warning('watch_ended', watch=self._name, reason=failure.reason)
            self._scope = None
            if self._timer.now_s() - began_s > _RETRY_MAX_S:
                retry_s = _RETRY_MIN_S
            # All relays lose the platform at once; jitter spreads their reconnects.
            await self._timer.sleep(retry_s * self._rng.uniform(0.5, 1))
            retry_s = min(retry_s * 2, _RETRY_MAX_S)
