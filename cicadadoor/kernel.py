"""Register services by name, and start and stop them in order."""

import abc
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from cicadadoor.telemetry import logs

log = logs.logger('kernel')


class Service(abc.ABC):
    """Do one job in a daemon and be found by name."""

    name: str

    async def start(self, kernel: 'Kernel') -> None:  # noqa: B027
        """Acquire resources; services registered earlier are running."""

    async def stop(self, grace_s: float) -> None:  # noqa: B027
        """Release resources within the grace period."""


class Kernel:
    """Hold the services of one process."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []
        self._tasks: TaskGroup | None = None

    def register(self, service: Service) -> None:
        """Add a service under its name; raise ValueError if the name is taken."""
        if service.name in self._services:
            raise ValueError(f'service {service.name!r} is registered twice')
        self._services[service.name] = service

    def find(self, name: str) -> Any:
        """Return the service with the name; raise LookupError if there is none."""
        service = self._services.get(name)
        if service is None:
            known = ', '.join(sorted(self._services))
            raise LookupError(f'service {name!r} is not registered; known: {known}')
        return service

    def spawn(self, work: Callable[..., Awaitable[None]], *arguments: Any) -> None:
        """Run the coroutine function in the background until the kernel stops."""
        if self._tasks is None:
            raise RuntimeError('spawn was called while the kernel is not running')
        self._tasks.start_soon(work, *arguments)

    async def run(
        self,
        wait_for_stop: Callable[[], Awaitable[float]],
    ) -> None:
        """Run all services until `wait_for_stop` returns the grace period in s."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await self._start_all()
                grace_s = await wait_for_stop()
                await self._stop_all(grace_s)
            finally:
                self._tasks = None
                tasks.cancel_scope.cancel()

    async def _start_all(self) -> None:
        for service in self._services.values():
            await service.start(self)
            self._started.append(service)

    async def _stop_all(self, grace_s: float) -> None:
        while self._started:
            service = self._started.pop()
            with anyio.move_on_after(grace_s) as scope:
                await service.stop(grace_s)
            if scope.cancelled_caught:
                log.warning('service_stop_timed_out', service=service.name)
