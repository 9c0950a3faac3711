"""Know the other hosts: who is listed, who is heard, and what they tell."""

import math
import socket
import zlib

import anyio
import msgspec

from cicadadoor.entry.mirror import Mirror
from cicadadoor.entry.model import HostRecord, Topic
from cicadadoor.entry.source import RecordSource
from cicadadoor.entry.state import EntryState
from cicadadoor.errors import Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('membership')

# Beats between all hosts grow with the square of their number; beyond this many the
# period grows instead.
BEAT_S = 0.25
_HOSTS_AT_FULL_PACE = 16
# Hosts of other regions get only each fourth beat, since their links are paid for.
_FAR_EVERY = 4
# A live host is heard at least every few beats, also on links that lose packets.
_LIVE_BEATS = 6
_LIVE_BEATS_FAR = 14
_TOPICS = tuple(Topic)
# Directory answers may name a host for 6 s after its end; a host that hears nobody
# else is taken to be the one that is cut off.
_FORGET_S = 4.5
# A record whose host is silent for this long is removed.
_REAP_S = 20.0
_MAX_DATAGRAM_BYTES = 60_000
_PUBLISH_RETRY_S = 0.5
_REAP_CHECK_S = 5.0
_SUSPENDED_S = 1.0


class Beat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Tell other hosts that this one lives, and what it knows.

    `revisions` and `digests` are in the order of the topics. `demand` gives requests
    per second by organisation. `in_flight` counts this host's requests at each backend
    server. `unreachable` gives the seconds since each failed to answer. `crashes`
    counts the backend servers that ended while a request with the fingerprint ran.
    Names are given by `short_name`, since beats between regions are paid for.
    """

    host: str
    instance: str
    number: int
    is_leaving: bool
    revisions: tuple[int, ...]
    digests: tuple[int, ...]
    demand: dict[int, float] = {}
    in_flight: dict[int, int] = {}
    unreachable: dict[int, float] = {}
    crashes: dict[int, int] = {}

    def revision(self, topic: Topic) -> int:
        """Return the revision of the sender's copy."""
        return self.revisions[_TOPICS.index(topic)]

    def digest(self, topic: Topic) -> int:
        """Return the digest of the sender's copy."""
        return self.digests[_TOPICS.index(topic)]


def short_name(name: str) -> int:
    """Return a number that stands for a name in beats."""
    return zlib.crc32(name.encode())


class Peer:
    """Hold what is known of another host; times on the boot clock."""

    __slots__ = ('beat', 'heard_s', 'listed_s', 'record')

    def __init__(self, record: HostRecord, now_s: float) -> None:
        self.record = record
        self.listed_s = now_s
        self.heard_s = -math.inf
        self.beat: Beat | None = None


class BeatPart(Service):
    """Add to this host's beats and read those of others."""

    def fill(self, fields: dict[str, object]) -> None:
        """Add fields to the next beat."""

    def heard(self, beats: list[Beat]) -> None:
        """Take the latest beats of all live hosts, once each period."""


class Membership(Service):
    """Publish this host, beat, and listen for the beats of others."""

    name = 'membership'

    def __init__(self) -> None:
        self._kernel: Kernel
        self._state: EntryState
        self._mirror: Mirror
        self._source: RecordSource
        self._timer: TimerService
        self._peers: dict[str, Peer] = {}
        self._parts: list[BeatPart] = []
        self._number = 0
        self._socket: anyio.abc.UDPSocket
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Beat)
        self._is_published = False
        self._last_beat_s = 0.0

    async def start(self, kernel: Kernel) -> None:
        """Open the socket, publish the record and begin to beat."""
        self._kernel = kernel
        self._state = kernel.find('state')
        self._mirror = kernel.find('mirror')
        self._source = kernel.find('source')
        self._timer = kernel.find('timer')
        settings = self._state.settings
        self._socket = await anyio.create_udp_socket(
            family=socket.AF_INET,
            local_host=settings.peers.host_ip,
            local_port=settings.peers.port,
        )
        self._last_beat_s = self._timer.now_s()
        self._mirror.subscribe(self._on_change)
        kernel.spawn(self._listen)
        kernel.spawn(self._publish)
        self._timer.subscribe('beat', BEAT_S, self._tick)
        self._timer.subscribe('reap_hosts', _REAP_CHECK_S, self._reap)

    def join(self, part: BeatPart) -> None:
        """Let a service add to beats and read them."""
        self._parts.append(part)

    @property
    def own_record(self) -> HostRecord:
        """Return this host's record."""
        settings = self._state.settings
        return HostRecord(
            host=settings.host,
            instance=self._state.instance,
            callers=str(settings.callers),
            peers=str(settings.peers),
            failure_domain=settings.failure_domain,
            region=settings.region,
        )

    @property
    def host_count(self) -> int:
        """Return how many hosts share limits, with those that are merely silent."""
        return 1 + len(self._peers)

    def live_beats(self) -> list[Beat]:
        """Return the latest beat of each host that is heard."""
        return [
            peer.beat
            for peer in self._peers.values()
            if peer.beat is not None and self._is_heard(peer)
        ]

    @property
    def is_isolated(self) -> bool:
        """Tell whether fewer than half of the other hosts are heard."""
        return 2 * len(self.live_beats()) < len(self._peers)

    def peer_address(self, host: str) -> str:
        """Return where a host takes messages, or an empty text if it is gone."""
        peer = self._peers.get(host)
        return peer.record.peers if peer else ''

    def host_names(self) -> list[str]:
        """Return the names of all hosts that share limits."""
        return [self._state.settings.host, *self._peers]

    def serving_hosts(self) -> list[HostRecord]:
        """Return the hosts to name to callers."""
        hosts = [] if self._state.is_leaving else [self.own_record]
        hears_any = any(self._is_heard(peer) for peer in self._peers.values())
        now_s = self._timer.now_s()
        for peer in self._peers.values():
            is_recent = not hears_any and now_s - peer.heard_s <= _FORGET_S
            is_leaving = peer.beat is not None and peer.beat.is_leaving
            if (is_recent or self._is_heard(peer)) and not is_leaving:
                hosts.append(peer.record)
        return hosts

    async def leave(self) -> None:
        """Tell all hosts, and go on serving callers that still know this one."""
        self._state.is_leaving = True
        until_s = self._timer.now_s() + self._state.settings.leave_s
        await self._beat()
        with anyio.move_on_after(self._state.settings.leave_s):
            answer = await self._source.remove_host(self._state.settings.host)
            if isinstance(answer, Failure):
                log.warning('host_not_removed', reason=answer.reason)
        await self._timer.sleep(max(0.0, until_s - self._timer.now_s()))

    async def stop(self, grace_s: float) -> None:
        """Close the socket."""
        await self._socket.aclose()

    def _is_heard(self, peer: Peer) -> bool:
        is_near = peer.record.region == self._state.settings.region
        beats = _LIVE_BEATS if is_near else _LIVE_BEATS_FAR
        silent_s = self._timer.now_s() - peer.heard_s
        return silent_s <= beats * self._period_s()

    def _period_s(self) -> float:
        return BEAT_S * max(1.0, self.host_count / _HOSTS_AT_FULL_PACE)

    async def _publish(self) -> None:
        while not self._state.is_leaving:
            answer = await self._source.publish_host(self.own_record)
            if not isinstance(answer, Failure):
                self._is_published = True
                return
            log.warning('host_not_published', reason=answer.reason)
            await self._timer.sleep(_PUBLISH_RETRY_S)

    async def _tick(self) -> None:
        elapsed_s = self._timer.now_s() - self._last_beat_s
        if elapsed_s < self._period_s() - BEAT_S / 2:
            return
        self._note_suspension()
        beats = self.live_beats()
        for part in self._parts:
            part.heard(beats)
        await self._beat()

    def _note_suspension(self) -> None:
        # Whatever was believed before the process stood still has to be read again.
        now_s = self._timer.now_s()
        away_s = now_s - self._last_beat_s - self._period_s()
        self._last_beat_s = now_s
        if away_s > _SUSPENDED_S:
            log.warning('was_suspended', away_s=round(away_s, 3))
            for topic in Topic:
                self._mirror.reread(topic)

    async def _beat(self) -> None:
        self._number += 1
        fields: dict[str, object] = {
            'revisions': tuple(self._mirror.revision(topic) for topic in _TOPICS),
            'digests': tuple(self._mirror.digest(topic) for topic in _TOPICS),
        }
        for part in self._parts:
            part.fill(fields)
        beat = Beat(
            host=self._state.settings.host,
            instance=self._state.instance,
            number=self._number,
            is_leaving=self._state.is_leaving,
            **fields,
        )
        encoded = self._encoder.encode(beat)
        if len(encoded) > _MAX_DATAGRAM_BYTES:
            log.warning('beat_too_large', size_bytes=len(encoded))
            return
        is_for_far = self._number % _FAR_EVERY == 1 or self._state.is_leaving
        for peer in list(self._peers.values()):
            if is_for_far or peer.record.region == self._state.settings.region:
                await self._send(encoded, peer.record.peers)

    async def _send(self, encoded: bytes, address: str) -> None:
        host_ip, _, port = address.rpartition(':')
        try:
            await self._socket.sendto(encoded, host_ip, int(port))
        except OSError as error:
            log.warning('beat_not_sent', peer=address, error=error)

    async def _listen(self) -> None:
        async for encoded, _ in self._socket:
            try:
                beat = self._decoder.decode(encoded)
            except msgspec.MsgspecError as error:
                log.warning('beat_unreadable', error=error)
                continue
            self._take(beat)

    def _take(self, beat: Beat) -> None:
        # A host that isn't listed yet is heard again when it is.
        peer = self._peers.get(beat.host)
        if peer is None or len(beat.revisions) != len(_TOPICS):
            return
        known = peer.beat
        is_same_run = known is not None and known.instance == beat.instance
        if is_same_run and beat.number <= known.number:
            return
        if not is_same_run or not self._is_heard(peer):
            log.info('host_heard', host=beat.host, instance=beat.instance)
        peer.heard_s = self._timer.now_s()
        peer.beat = beat

    def _on_change(self, topic: Topic) -> None:
        if topic is not Topic.HOSTS:
            return
        now_s = self._timer.now_s()
        own = self._state.settings.host
        listed = {
            name: record
            for name, record in self._mirror.records(topic).items()
            if isinstance(record, HostRecord)
        }
        for name, record in listed.items():
            if name == own:
                continue
            peer = self._peers.setdefault(name, Peer(record, now_s))
            peer.record = record
        for name in list(self._peers):
            if name not in listed and not self._is_heard(self._peers[name]):
                self._peers.pop(name)
                log.info('host_removed', host=name)
        own_record = listed.get(own)
        is_mine = own_record is not None and own_record.instance == self._state.instance
        if self._is_published and not is_mine and not self._state.is_leaving:
            # Another host took this one for gone.
            self._is_published = False
            self._kernel.spawn(self._publish)

    async def _reap(self) -> None:
        now_s = self._timer.now_s()
        if self._state.is_leaving or self.is_isolated:
            return
        live = [beat.host for beat in self.live_beats()]
        if min([self._state.settings.host, *live]) != self._state.settings.host:
            return
        for name, peer in list(self._peers.items()):
            silent_s = now_s - max(peer.heard_s, peer.listed_s)
            if silent_s < _REAP_S:
                continue
            answer = await self._source.remove_host(name)
            if isinstance(answer, Failure):
                log.warning('host_not_removed', host=name, reason=answer.reason)
                continue
            self._peers.pop(name, None)
            log.info('host_reaped', host=name, silent_s=round(silent_s, 1))
