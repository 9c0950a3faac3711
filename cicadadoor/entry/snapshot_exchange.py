"""Fetch records from other hosts that have read later ones from the store."""

import random
from collections.abc import Awaitable, Callable
from functools import partial

from cicadadoor.decisions.memory_account import MemoryAccount, Owner
from cicadadoor.entry.decoding import (
    EncodedSnapshot,
    decode_snapshot,
    encode_snapshot,
)
from cicadadoor.entry.heartbeats import HostHeartbeat
from cicadadoor.entry.membership import HeartbeatPart, Membership
from cicadadoor.entry.mirror import Mirror
from cicadadoor.entry.model import Position, Snapshot, Topic
from cicadadoor.errors import Failure
from cicadadoor.kernel import Kernel, OnFault
from cicadadoor.links.messages import MAX_MESSAGE_BYTES, Message
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.telemetry import logs, metrics

log = logs.logger('neighbours')

# If a host does not answer, a later round asks a random host again.
_REQUEST_TIMEOUT_S = 0.6
# The longest answer, as received and decoded.
_ANSWER_BYTES = 2 * MAX_MESSAGE_BYTES
_ACCOUNT_KIND = 'peers'

Fetch = Callable[[Topic, str], Awaitable[None]]


class SnapshotRequest(Message, frozen=True, kw_only=True, tag=True):
    """Request a topic's records if they are later than a position of the store."""

    topic: Topic
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the position of the sender's copy."""
        return Position(self.era, self.revision)


class SnapshotAnswer(Message, frozen=True, kw_only=True, tag=True):
    """Return a topic's records, or none if they are not later."""

    snapshot: EncodedSnapshot | None


class SnapshotExchange(HeartbeatPart):
    """Compare positions with other hosts, and fetch a later copy from one of them."""

    name = 'neighbours'

    def __init__(self, hub: PeerHub) -> None:
        self._kernel: Kernel
        self._mirror: Mirror
        self._membership: Membership
        self._account: MemoryAccount
        self._hub = hub
        self._pending_topics: set[Topic] = set()

    async def start(self, kernel: Kernel) -> None:
        """Handle the snapshot requests of other hosts and follow their heartbeats."""
        self._kernel = kernel
        self._mirror = kernel.find('mirror')
        self._membership = kernel.find('membership')
        self._account = kernel.find('state').account
        self._hub.on(SnapshotRequest, self._answer, SnapshotAnswer)
        self._membership.add_part(self)

    def add_fields(self, fields: dict[str, object]) -> None:
        """Add how long ago the store came back from a copy."""
        eras = self._mirror.eras
        fields['era_age_s'] = round(eras.age_s, 3) if eras.is_young else None

    def on_tick(self, heartbeats: list[HostHeartbeat]) -> None:
        """Fetch topics whose store calls fail, or whose watch is behind other hosts."""
        self._follow_reader()
        self._mirror.policy_may_be_stale = self._membership.peers.uses_summaries
        self._learn_former_era(heartbeats)
        for topic in Topic:
            latest = max(
                heartbeats,
                key=partial(self._position, topic=topic),
                default=None,
            )
            if latest is None:
                return
            position = self._position(latest, topic)
            digest = latest.digest(topic)
            is_behind = self._mirror.check_lag(topic, position, digest)
            is_later = position > self._mirror.position(topic)
            is_different = digest != self._mirror.copy(topic).digest
            is_needed = is_behind or self._mirror.is_failing(topic)
            if is_later and is_different and is_needed:
                self._request_snapshot(topic, self._sources(topic, heartbeats))

    def _follow_reader(self) -> None:
        is_reader = self._membership.is_domain_reader
        was_reader = not self._mirror.may_be_stale
        self._mirror.may_be_stale = not is_reader
        if is_reader and not was_reader:
            # The running watches may be answered seconds late.
            for topic in Topic:
                self._mirror.copy(topic).renew_watch()

    def _learn_former_era(self, heartbeats: list[HostHeartbeat]) -> None:
        """Ask a host that saw the store come back for the topics that lack that."""
        for topic in Topic:
            copy = self._mirror.copy(topic)
            # A host that has not noticed the new era yet has its own memory.
            witnesses = [
                each
                for each in heartbeats
                if each.saw_return(topic)
                and each.position(topic).era == copy.position.era
            ]
            if copy.lacks_former_era and witnesses:
                self._spawn_once(self._fetch_former_era, topic, witnesses)

    def _sources(
        self, topic: Topic, heartbeats: list[HostHeartbeat]
    ) -> list[HostHeartbeat]:
        """Return the hosts with later records, of the own domain if there are any."""
        peers = self._membership.peers
        later = [
            heartbeat
            for heartbeat in heartbeats
            if self._position(heartbeat, topic) > self._mirror.position(topic)
        ]
        own_domain = [
            heartbeat
            for heartbeat in later
            if (peer := peers.find(heartbeat.host)) and peers.is_in_own_domain(peer)
        ]
        latest = max(self._position(each, topic) for each in own_domain or later)
        return [
            heartbeat
            for heartbeat in own_domain or later
            if self._position(heartbeat, topic) == latest
        ]

    def _position(self, heartbeat: HostHeartbeat, topic: Topic) -> Position:
        return self._mirror.eras.read_as(topic, heartbeat.position(topic))

    def _request_snapshot(self, topic: Topic, candidates: list[HostHeartbeat]) -> None:
        self._spawn_once(self._fetch_snapshot, topic, candidates)

    def _spawn_once(
        self, fetch: Fetch, topic: Topic, candidates: list[HostHeartbeat]
    ) -> None:
        if topic in self._pending_topics:
            return
        self._pending_topics.add(topic)
        # A random choice, so that many hosts do not ask the same one.
        host = random.choice(candidates).host
        self._kernel.spawn(fetch, topic, host, on_fault=OnFault.CONTINUE)

    async def _fetch_snapshot(self, topic: Topic, host: str) -> None:
        snapshot = await self._ask(topic, host, self._mirror.position(topic))
        if snapshot is not None:
            address = self._membership.peers.address(host)
            self._mirror.adopt(topic, snapshot, address)

    async def _fetch_former_era(self, topic: Topic, host: str) -> None:
        # Records that differ may be at the same position.
        snapshot = await self._ask(topic, host, Position(0, 0))
        if snapshot is not None and snapshot.era == self._mirror.position(topic).era:
            self._mirror.learn(topic, snapshot, host)

    async def _ask(
        self, topic: Topic, host: str, position: Position
    ) -> Snapshot | None:
        """Return the records of another host if they are later than the position."""
        address = self._membership.peers.address(host)
        reservation = self._account.open(_ACCOUNT_KIND, Owner(address))
        request = SnapshotRequest(
            topic=topic, era=position.era, revision=position.revision
        )
        try:
            if not reservation.grow(_ANSWER_BYTES):
                # A later round asks again.
                metrics.REFUSED_HOLDINGS.labels(_ACCOUNT_KIND).inc()
                return None
            answer = await self._hub.ask(address, request, _REQUEST_TIMEOUT_S)
            if isinstance(answer, SnapshotAnswer) and answer.snapshot is not None:
                return decode_snapshot(answer.snapshot)
        finally:
            reservation.release()
            self._pending_topics.discard(topic)
        if isinstance(answer, Failure):
            log.info('snapshot_request_failed', peer=address, reason=answer.reason)
            self._hub.disconnect(address)
        return None

    async def _answer(self, request: Message) -> Message:
        snapshot = None
        if isinstance(request, SnapshotRequest):
            if self._mirror.position(request.topic) > request.position:
                snapshot = encode_snapshot(self._mirror.copy(request.topic).snapshot)
        return SnapshotAnswer(snapshot=snapshot)
