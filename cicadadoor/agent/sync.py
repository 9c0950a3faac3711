"""Hold the newest configuration generation and pull newer ones from peers."""

from collections.abc import Awaitable, Callable

from cicadadoor.agent.delta_log import DeltaLog
from cicadadoor.agent.withdrawals import Withdrawals
from cicadadoor.config.chunks import digest_sections
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.config_messages import (
    ConfigDelta,
    ConfigNews,
    PullConfig,
    PullSections,
    SectionsPart,
)
from cicadadoor.links.config_parts import (
    Generation,
    apply_delta,
    check_section,
    select_sections,
)
from cicadadoor.links.messages import Message
from cicadadoor.links.packing import PackedContents
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('sync')

CATCH_UP_PERIOD_S = 0.5
# A starting host waits this long for peers, so that it pulls the highest generation
# that any of them holds instead of the first one reported.
START_SETTLE_S = 2.0
_PULL_TIMEOUT_S = 5.0
_MAX_PARTS = 1000

Listener = Callable[[Generation, ConfigDelta | None], Awaitable[None]]


class ConfigSync(Service):
    """Hold the newest generation and notify listeners of each newer one."""

    name = 'sync'

    def __init__(self) -> None:
        self._timer: TimerService
        self._peers: PeerHub
        self._withdrawals: Withdrawals
        self._listeners: list[Listener] = []
        self._peer_generations: dict[str, int] = {}
        self._started_s = 0.0
        self._is_pulling = False
        self.deltas = DeltaLog()
        self.generation: Generation | None = None

    async def start(self, kernel: Kernel) -> None:
        """Answer pulls of peers and schedule pulls of higher generations."""
        self._timer = kernel.find('timer')
        self._peers = kernel.find('peers')
        self._withdrawals = kernel.find('withdrawals')
        self._started_s = self._timer.now_s()
        self._peers.on(PullConfig, self._answer_pull, ConfigNews)
        self._peers.on(PullSections, self._answer_sections, SectionsPart)
        self._timer.subscribe('config_catch_up', CATCH_UP_PERIOD_S, self.catch_up)

    @property
    def number(self) -> int:
        """Return the number of the generation held, 0 if there is none."""
        return self.generation.number if self.generation else 0

    def subscribe(self, listener: Listener) -> None:
        """Register a listener for newer generations, called with the delta if known."""
        self._listeners.append(listener)

    async def adopt(
        self,
        generation: Generation,
        delta: ConfigDelta | None = None,
    ) -> bool:
        """Replace the generation held if this one is newer; return whether it is."""
        current = self.generation
        if current is not None and generation.number <= current.number:
            if generation.number == current.number:
                self._log_if_different(generation, current)
            return False
        self.generation = generation
        if delta is None:
            self.deltas.clear()
        else:
            self.deltas.add(delta)
        self._peer_generations = {
            address: number
            for address, number in self._peer_generations.items()
            if number > generation.number
        }
        log.info('config_received', generation=generation.number)
        for listener in self._listeners:
            await listener(generation, delta)
        return True

    async def apply(self, delta: ConfigDelta) -> Failure | None:
        """Apply a delta; CONFIG_CONFLICT if it does not follow the generation held."""
        if delta.generation <= self.number:
            return None
        if self.generation is None:
            return Failure(
                ErrorKind.CONFIG_CONFLICT,
                f'no generation to apply delta {delta.generation} to',
            )
        following = apply_delta(self.generation, delta)
        if isinstance(following, Failure):
            return following
        await self.adopt(following, delta)
        return None

    def note_peer_generation(self, address: str, generation: int) -> None:
        """Record a peer that holds a higher generation."""
        if generation > self.number:
            self._peer_generations[address] = generation

    async def catch_up(self) -> None:
        """Pull from the peer with the highest generation reported."""
        if self._is_pulling or not self._peer_generations:
            return
        is_settling = self._timer.now_s() < self._started_s + START_SETTLE_S
        if self.generation is None and is_settling:
            return
        address = max(self._peer_generations, key=self._peer_generations.__getitem__)
        # Removed until the peer reports again, so that one that does not answer does
        # not block pulls from the others.
        self._peer_generations.pop(address)
        self._is_pulling = True
        try:
            failure = await self.pull_from(address)
        finally:
            self._is_pulling = False
        if failure is not None:
            log.info('config_pull_failed', peer=address, reason=failure.reason)

    async def pull_from(self, address: str) -> Failure | None:
        """Pull the generation that a peer holds, as deltas if possible."""
        failure = await self._withdrawals.seed_from(address)
        if failure is not None:
            return failure
        if not self._withdrawals.is_seeded:
            return Failure(
                ErrorKind.NOT_READY,
                f'{address} has no complete set of withdrawals yet',
            )
        news = await self._pull_news(address, self.number)
        if isinstance(news, Failure):
            return news
        if news.generation <= self.number:
            return None
        for delta in news.deltas:
            failure = await self.apply(delta)
            if failure is not None:
                break
        if self.number >= news.generation:
            return None
        return await self._pull_whole(address)

    async def _pull_whole(self, address: str) -> Failure | None:
        # No deltas start at generation -1, so the peer sends all section digests.
        news = await self._pull_news(address, -1)
        if isinstance(news, Failure):
            return news
        if digest_sections(news.section_digests) != news.digest:
            return Failure(
                ErrorKind.MESSAGE_INVALID,
                f'generation {news.generation} from {address}: digest mismatch',
            )
        packed: dict[str, bytes] = {}
        missing = dict(news.section_digests)
        current = self.generation
        if current is not None:
            for name, digest in news.section_digests.items():
                if current.section_digests.get(name) == digest:
                    packed[name] = current.contents.packed(name)
                    missing.pop(name)
        failure = await self._pull_sections(address, missing, packed)
        if failure is not None:
            return failure
        contents = PackedContents(packed)
        await self.adopt(Generation(news.generation, news.section_digests, contents))
        return None

    async def _pull_sections(
        self,
        address: str,
        missing: dict[str, str],
        packed: dict[str, bytes],
    ) -> Failure | None:
        for _ in range(_MAX_PARTS):
            if not missing:
                return None
            request = PullSections(section_digests=missing)
            part = await self._peers.ask(address, request, _PULL_TIMEOUT_S)
            if isinstance(part, Failure):
                return part
            if not isinstance(part, SectionsPart) or not part.sections:
                break
            failure = _store_part(part, missing, packed)
            if failure is not None:
                return failure
        if missing:
            return Failure(
                ErrorKind.CONFIG_CONFLICT,
                f'{address} did not send {len(missing)} of the requested sections; '
                'it may have moved to a newer generation',
            )
        return None

    async def _pull_news(
        self, address: str, own_generation: int
    ) -> ConfigNews | Failure:
        answer = await self._peers.ask(
            address,
            PullConfig(generation=own_generation),
            _PULL_TIMEOUT_S,
        )
        if isinstance(answer, ConfigNews | Failure):
            return answer
        return Failure(
            ErrorKind.MESSAGE_INVALID,
            f'{address} answered PullConfig with {type(answer).__name__}',
        )

    async def _answer_pull(self, request: Message) -> Message:
        held = self.generation
        if held is None:
            return ConfigNews(generation=0, digest='')
        deltas = self.deltas.since(request.generation)
        is_behind = request.generation < held.number
        return ConfigNews(
            generation=held.number,
            digest=held.digest,
            deltas=deltas,
            section_digests=held.section_digests if is_behind and not deltas else {},
        )

    async def _answer_sections(self, request: Message) -> Message:
        if self.generation is None:
            return SectionsPart(sections={})
        sections = select_sections(self.generation, request.section_digests)
        return SectionsPart(sections=sections)

    def _log_if_different(self, other: Generation, current: Generation) -> None:
        if other.digest != current.digest:
            # A number is reused only if the platform has lost accepted writes.
            log.error(
                'config_generation_differs',
                generation=current.number,
                held=current.digest,
                seen=other.digest,
            )


def _store_part(
    part: SectionsPart,
    missing: dict[str, str],
    packed: dict[str, bytes],
) -> Failure | None:
    for name, section in part.sections.items():
        content = check_section(name, section)
        if isinstance(content, Failure):
            return content
        if missing.pop(name, '') != section.digest:
            return Failure(
                ErrorKind.MESSAGE_INVALID,
                f'section {name!r} or its digest was not requested',
            )
        packed[name] = section.content
    return None
