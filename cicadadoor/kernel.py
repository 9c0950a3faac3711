"""Register services by name, and start and stop them in order."""

import abc
import asyncio
import math
from collections.abc import Awaitable, Callable
from enum import Enum, auto, unique
from functools import partial
from typing import Any

import anyio
from anyio import CancelScope
from anyio.abc import TaskGroup

from cicadadoor.telemetry import logs, metrics

log = logs.logger('kernel')

# Callers that chose this process just before it began to refuse requests get a response
# instead of a connection reset.
MIN_DRAIN_S = 1.0
# Time to flush the last responses from the process's buffers.
_FLUSH_DELAY_S = 0.1
_POLL_S = 0.05
_STOP_TIMEOUT_S = 5.0
# Part of the time of a stop that is left for the flush and for stopping the services.
CLOSE_RESERVE_S = 0.3
# Responses to cancelled requests are written within a few passes of the event loop.
_MIN_STOP_S = 0.05
# A task that fails repeatedly must neither flood the log nor be down for long.
_MIN_RESTART_DELAY_S = 0.1
_MAX_RESTART_DELAY_S = 5.0

Work = Callable[..., Awaitable[None]]
WaitForSignal = Callable[[], Awaitable[None]]


@unique
class OnFault(Enum):
    """Define how a process reacts when one of its background tasks raises."""

    # The process shuts down in the usual phases and then raises the exception.
    STOP = auto()
    # The task restarts after a delay; for tasks that run as long as the process.
    RESTART = auto()
    # The process continues without the task; for work that is requested again later.
    CONTINUE = auto()


class UnexpectedCancellationError(Exception):
    """Report that a task was cancelled although no cancellation was requested."""


class Service(abc.ABC):
    """Provide one function of a daemon, registered under a name."""

    name: str

    async def start(self, kernel: 'Kernel') -> None:  # noqa: B027
        """Acquire resources; services registered earlier are already running."""

    # Maximum duration of `leave`.
    leave_timeout_s = 5.0

    async def leave(self) -> None:  # noqa: B027
        """Deregister from new work; return once no other process will send any."""

    def refuse(self) -> None:  # noqa: B027
        """Refuse new work from now on, and finish what is in flight."""

    def work_left(self) -> int:
        """Return the number of work items in flight."""
        return 0

    async def stop(self, grace_s: float) -> None:  # noqa: B027
        """Release resources within the grace period."""


class Kernel:
    """Run the services and background tasks of one process."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []
        self._tasks: TaskGroup | None = None
        self._must_stop: anyio.Event
        self._errors: list[Exception] = []
        self._is_stopping = False
        # Set when the stop begins, and when it refuses new work.
        self._stop_due_s = math.inf
        self._grace_due_s = math.inf

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

    def spawn(
        self,
        work: Work,
        *arguments: Any,
        on_fault: OnFault = OnFault.STOP,
    ) -> None:
        """Run the coroutine function in the background until the kernel stops."""
        if self._tasks is None:
            raise RuntimeError('spawn was called while the kernel is not running')
        self._tasks.start_soon(self._supervise, on_fault, work, *arguments)

    async def _supervise(
        self,
        on_fault: OnFault,
        work: Work,
        *arguments: Any,
    ) -> None:
        delay_s = _MIN_RESTART_DELAY_S
        started_s = anyio.current_time()
        while (error := await self._run_task(work, *arguments)) is not None:
            if on_fault is OnFault.STOP:
                self._errors.append(error)
                self._must_stop.set()
            if on_fault is not OnFault.RESTART:
                return
            if anyio.current_time() - started_s > _MAX_RESTART_DELAY_S:
                delay_s = _MIN_RESTART_DELAY_S
            await anyio.sleep(delay_s)
            delay_s = min(2 * delay_s, _MAX_RESTART_DELAY_S)
            started_s = anyio.current_time()

    async def _run_task(self, work: Work, *arguments: Any) -> Exception | None:
        """Run the work, and return the exception that ended it, or None."""
        try:
            await work(*arguments)
        except Exception as error:
            return self._report_error(work, error)
        except asyncio.CancelledError as error:
            if self._is_cancelled:
                raise
            # A cancellation raised by a library would end all tasks of the group.
            return self._report_error(work, UnexpectedCancellationError(str(error)))
        return None

    def _report_error(self, work: Work, error: Exception) -> Exception | None:
        if self._is_stopping:
            # The task used a resource that its service had already closed.
            log.warning('task_cut_by_stop', task=work.__qualname__, error=error)
            return None
        log.exception('task_failed', task=work.__qualname__)
        metrics.TASK_FAILURES.labels(work.__qualname__).inc()
        return error

    @property
    def _is_cancelled(self) -> bool:
        """Tell whether cancellation of the current task was requested."""
        task = asyncio.current_task()
        return (
            self._tasks is None
            or self._tasks.cancel_scope.cancel_called
            or (task is not None and bool(task.cancelling()))
        )

    @property
    def grace_left_s(self) -> float:
        """Return how long work in flight may still take, once new work is refused."""
        return max(0.0, self._grace_due_s - anyio.current_time())

    async def run(
        self,
        wait_for_signal: WaitForSignal,
        grace_s: float,
        stop_s: float = math.inf,
    ) -> str:
        """Run all services until the first signal, then stop them in phases.

        Work in flight may take up to `grace_s`; a second signal ends the wait. All
        phases together end `stop_s` after the first signal, so that one that runs late
        shortens the next ones. Return the unfinished work as `service=count` pairs, or
        an empty string. An exception in a task with OnFault.STOP acts as the first
        signal; it is raised once all services have stopped.
        """
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._must_stop = anyio.Event()
            try:
                return await self._run_phases(wait_for_signal, grace_s, stop_s)
            finally:
                self._tasks = None
                tasks.cancel_scope.cancel()

    async def _run_phases(
        self, wait_for_signal: WaitForSignal, grace_s: float, stop_s: float
    ) -> str:
        await self._start_all()
        if await self._is_stopped_by_signal(wait_for_signal):
            wait_for_end = wait_for_signal
        else:
            # The exception has begun the stop already; the next signal only repeats it.
            wait_for_end = partial(_wait_for_two_signals, wait_for_signal)
        self._stop_due_s = anyio.current_time() + stop_s
        await self._drain(wait_for_end, grace_s)
        unfinished = self._describe_work()
        await self._stop_all()
        if self._errors:
            raise ExceptionGroup('background tasks raised exceptions', self._errors)
        return unfinished

    async def _is_stopped_by_signal(self, wait_for_signal: WaitForSignal) -> bool:
        """Wait for a signal or a task failure; tell whether it was a signal."""
        async with anyio.create_task_group() as waiting:
            waiting.start_soon(_cancel_on_event, self._must_stop, waiting.cancel_scope)
            await wait_for_signal()
            waiting.cancel_scope.cancel()
            return True
        return False

    async def _start_all(self) -> None:
        for service in self._services.values():
            await service.start(self)
            self._started.append(service)

    async def _drain(
        self,
        wait_for_signal: WaitForSignal,
        grace_s: float,
    ) -> None:
        async with anyio.create_task_group() as phases:
            phases.start_soon(_cancel_on_signal, wait_for_signal, phases.cancel_scope)
            try:
                await self._leave_all()
            finally:
                # This also runs if a second signal interrupts the leave phase.
                self._grace_due_s = min(
                    anyio.current_time() + grace_s,
                    self._stop_due_s - CLOSE_RESERVE_S,
                )
                self._refuse_all()
            with anyio.move_on_after(self.grace_left_s):
                await anyio.sleep(MIN_DRAIN_S)
                while self._describe_work():
                    await anyio.sleep(_POLL_S)
            await anyio.sleep(min(_FLUSH_DELAY_S, self._stop_left_s))
            phases.cancel_scope.cancel()

    async def _leave_all(self) -> None:
        async with anyio.create_task_group() as leaving:
            for service in self._started:
                leaving.start_soon(_leave, service)

    def _refuse_all(self) -> None:
        log.info('refusing_new_work')
        for service in self._started:
            service.refuse()

    def _describe_work(self) -> str:
        counts = {service.name: service.work_left() for service in self._started}
        return ' '.join(f'{name}={count}' for name, count in counts.items() if count)

    @property
    def _stop_left_s(self) -> float:
        left_s = self._stop_due_s - anyio.current_time()
        return min(_STOP_TIMEOUT_S, max(_MIN_STOP_S, left_s))

    async def _stop_all(self) -> None:
        self._is_stopping = True
        while self._started:
            service = self._started.pop()
            with anyio.move_on_after(_STOP_TIMEOUT_S) as scope:
                await service.stop(self._stop_left_s)
            if scope.cancelled_caught:
                log.warning('service_stop_timed_out', service=service.name)


async def _leave(service: Service) -> None:
    # A service that fails to deregister must not interrupt the work in flight.
    try:
        with anyio.move_on_after(service.leave_timeout_s) as scope:
            await service.leave()
    except Exception:
        log.exception('leave_failed', service=service.name)
        return
    if scope.cancelled_caught:
        log.warning('leave_timed_out', service=service.name)


async def _cancel_on_event(event: anyio.Event, scope: CancelScope) -> None:
    await event.wait()
    scope.cancel()


async def _wait_for_two_signals(wait_for_signal: WaitForSignal) -> None:
    await wait_for_signal()
    await wait_for_signal()


async def _cancel_on_signal(wait_for_signal: WaitForSignal, scope: CancelScope) -> None:
    await wait_for_signal()
    log.warning('second_signal')
    scope.cancel()
