"""Watch the configuration in the platform and push it to other hosts."""

from cicadadoor.agent.membership import Membership
from cicadadoor.agent.platform_watch import PlatformWatch
from cicadadoor.agent.state import AgentState
from cicadadoor.agent.sync import ConfigSync
from cicadadoor.agent.withdrawal_records import WithdrawalRecords
from cicadadoor.config import acceptance
from cicadadoor.config.acceptance import StoredRoot
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.links.config_messages import ConfigDelta, PushConfig
from cicadadoor.links.config_parts import Generation
from cicadadoor.links.fan_out import FanOut
from cicadadoor.links.messages import Ack, Message
from cicadadoor.links.packing import PackedContents
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.timer import TimerService

POLL_PERIOD_S = 3.0


class Relay(Service):
    """Watch the platform while this host is a relay; push changes along a tree."""

    name = 'relay'

    def __init__(self) -> None:
        self._state: AgentState
        self._sync: ConfigSync
        self._membership: Membership
        self._records: WithdrawalRecords
        self._peers: PeerHub
        self._kernel: Kernel
        self._fan_out: FanOut

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to pushes, and watch the platform while this host is a relay."""
        self._kernel = kernel
        self._state = kernel.find('state')
        timer: TimerService = kernel.find('timer')
        self._sync = kernel.find('sync')
        self._membership = kernel.find('membership')
        self._records = kernel.find('withdrawal_records')
        self._peers = kernel.find('peers')
        self._fan_out = FanOut(kernel, self._peers)
        self._peers.on(PushConfig, self._handle_push, Ack)
        self._sync.subscribe(self._push_generation)
        timer.subscribe('platform_poll', POLL_PERIOD_S, self.poll)
        PlatformWatch(kernel, 'config', self._membership.is_relay, self._read_and_watch)

    async def poll(self) -> None:
        """Read the root, in case the watch stalls without an error."""
        if not self._membership.is_relay():
            return
        await self.read_platform()

    async def read_platform(self) -> int | Failure:
        """Apply the accepted generation; return the store version to watch from."""
        listed = await self._state.store.list(acceptance.ROOT_KIND)
        if isinstance(listed, Failure):
            return listed
        self._membership.note_contact()
        for stored in listed.objects:
            failure = await self._apply_root(acceptance.parse_root(stored))
            if failure is not None:
                return failure
        return listed.version

    async def _read_and_watch(self) -> Failure:
        version = await self.read_platform()
        if isinstance(version, Failure):
            return version
        async for event in self._state.store.watch(acceptance.ROOT_KIND, version):
            if isinstance(event, Failure):
                return event
            self._membership.note_contact()
            failure = await self._apply_root(acceptance.parse_root(event.changed))
            if failure is not None:
                return failure
        return Failure(
            ErrorKind.STORE_UNAVAILABLE,
            'watch of the configuration root ended without an error',
        )

    async def _apply_root(self, root: StoredRoot | Failure) -> Failure | None:
        if isinstance(root, Failure):
            return root
        if root.generation <= self._sync.number:
            return None
        failure = await self._records.seed()
        if failure is not None:
            return failure
        delta = ConfigDelta(
            generation=root.generation,
            digest=root.digest,
            changes=root.changes,
            removed=root.removed,
        )
        if await self._sync.apply(delta) is None:
            return None
        return await self._fetch(root)

    async def _fetch(self, root: StoredRoot) -> Failure | None:
        index = await acceptance.read_index(self._state.store, root.index_digest)
        if isinstance(index, Failure):
            return index
        digests = {name: entry.digest for name, entry in index.sections.items()}
        packed: dict[str, bytes] = {}
        missing = dict(digests)
        current = self._sync.generation
        if current is not None:
            for name, digest in digests.items():
                if current.section_digests.get(name) == digest:
                    packed[name] = current.contents.packed(name)
                    missing.pop(name)
        for name, digest in missing.items():
            content = await acceptance.read_chunk(self._state.store, digest)
            if isinstance(content, Failure):
                return content
            packed.update(PackedContents.from_contents({name: content}).all_packed())
        await self._sync.adopt(
            Generation(root.generation, digests, PackedContents(packed)),
        )
        return None

    async def _push_generation(
        self,
        generation: Generation,
        delta: ConfigDelta | None,
    ) -> None:
        if not self._membership.is_relay():
            return
        if delta is None:
            # An empty delta makes receivers pull from this host.
            delta = ConfigDelta(
                generation=generation.number,
                digest=generation.digest,
                changes={},
            )
        self._push(delta, self._membership.domain_addresses())

    async def _handle_push(self, push: Message) -> Message:
        delta = push.delta
        if delta.generation > self._sync.number:
            failure = await self._sync.apply(delta)
            if failure is not None:
                self._sync.note_peer_generation(push.from_address, delta.generation)
                self._kernel.spawn(self._sync.catch_up, on_fault=OnFault.CONTINUE)
        self._push(delta, push.forward_to)
        return Ack()

    def _push(self, delta: ConfigDelta, addresses: list[str]) -> None:
        own_address = str(self._state.settings.agent_peers)

        def build(forward_to: list[str]) -> Message:
            return PushConfig(
                delta=delta,
                from_address=own_address,
                forward_to=forward_to,
            )

        self._fan_out.send(addresses, build)
