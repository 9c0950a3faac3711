"""Follow the accepted configuration."""

from collections.abc import Awaitable, Callable

from cicadadoor.agent.state import AgentState
from cicadadoor.config.acceptance import (
    ROOT_KIND,
    AcceptedRoot,
    parse_root,
    read_root,
    read_sections,
)
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.config_parts import Generation
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('sync')

_RETRY_S = 0.5

Listener = Callable[[Generation], Awaitable[None]]


class ConfigSync(Service):
    """Hold the newest generation seen and tell listeners of a newer one."""

    name = 'sync'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._listeners: list[Listener] = []
        self.generation: Generation | None = None

    async def start(self, kernel: Kernel) -> None:
        """Begin to follow the platform."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        kernel.spawn(self._follow)

    def subscribe(self, listener: Listener) -> None:
        """Call the listener with each newer generation."""
        self._listeners.append(listener)

    async def adopt(self, generation: Generation) -> bool:
        """Take a generation if it is newer; tell whether it was."""
        if self.generation and generation.number <= self.generation.number:
            return False
        self.generation = generation
        log.info('config_received', generation=generation.number)
        for listener in self._listeners:
            await listener(generation)
        return True

    async def _follow(self) -> None:
        while True:
            failure = await self._read_and_watch()
            log.warning('platform_lost', reason=failure.reason)
            await self._timer.sleep(_RETRY_S)

    async def _read_and_watch(self) -> Failure:
        since_version = 0
        accepted = await read_root(self._state.store)
        if isinstance(accepted, Failure):
            if accepted.kind is not ErrorKind.STORE_NOT_FOUND:
                return accepted
        else:
            since_version = accepted.stored.version
            failure = await self._fetch(accepted)
            if failure is not None:
                return failure
        async for event in self._state.store.watch(ROOT_KIND, since_version):
            if isinstance(event, Failure):
                return event
            changed = parse_root(event.changed)
            if isinstance(changed, Failure):
                return changed
            failure = await self._fetch(changed)
            if failure is not None:
                return failure
        return Failure(ErrorKind.STORE_UNAVAILABLE, 'the watch ended')

    async def _fetch(self, accepted: AcceptedRoot) -> Failure | None:
        root = accepted.root
        present = self.generation
        if present is not None and root.generation <= present.number:
            return None
        kept: dict[str, bytes] = {}
        missing: dict[str, str] = {}
        for name, digest in root.section_digests.items():
            if present is not None and present.section_digests.get(name) == digest:
                kept[name] = present.contents[name]
            else:
                missing[name] = digest
        fetched = await read_sections(self._state.store, missing)
        if isinstance(fetched, Failure):
            return fetched
        generation = Generation(root.generation, root.section_digests, kept | fetched)
        await self.adopt(generation)
        return None
