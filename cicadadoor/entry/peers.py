"""Hold what is known of other hosts."""

import math
import zlib

import msgspec

from cicadadoor.entry.model import HostRecord, Topic
from cicadadoor.telemetry import logs

log = logs.logger('membership')

# Beats between all hosts grow with the square of their number; beyond this many the
# period grows instead.
BEAT_S = 0.25
_HOSTS_AT_FULL_PACE = 16
# A live host is heard at least every few beats, also on links that lose packets. Hosts
# of other regions send each fourth beat only.
FAR_EVERY = 4
_LIVE_BEATS = 6
_LIVE_BEATS_FAR = 14
# Directory answers may name a host for 6 s after its end; a host that hears nobody
# else is taken to be the one that is cut off.
_FORGET_S = 4.5
TOPICS = tuple(Topic)


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
        return self.revisions[TOPICS.index(topic)]

    def digest(self, topic: Topic) -> int:
        """Return the digest of the sender's copy."""
        return self.digests[TOPICS.index(topic)]


def short_name(name: str) -> int:
    """Return a number that stands for a name in beats."""
    return zlib.crc32(name.encode())


class Peer:
    """Hold what is known of another host; times on the boot clock."""

    __slots__ = ('beat', 'heard_s', 'is_listed', 'listed_s', 'record')

    def __init__(self, record: HostRecord, now_s: float) -> None:
        self.record = record
        self.is_listed = True
        self.listed_s = now_s
        self.heard_s = -math.inf
        self.beat: Beat | None = None

    @property
    def is_leaving(self) -> bool:
        """Tell whether the host said that it is about to stop."""
        return self.beat is not None and self.beat.is_leaving


class PeerTable:
    """Hold the listed hosts, and tell which of them are heard."""

    def __init__(self, region: str) -> None:
        self._region = region
        self._peers: dict[str, Peer] = {}

    def __len__(self) -> int:
        """Return how many other hosts there are, with those that are silent."""
        return len(self._peers)

    @property
    def period_s(self) -> float:
        """Return the time between beats."""
        return BEAT_S * max(1.0, (1 + len(self)) / _HOSTS_AT_FULL_PACE)

    def all(self) -> list[Peer]:
        """Return all other hosts."""
        return list(self._peers.values())

    def find(self, host: str) -> Peer | None:
        """Return a host, or None if it is gone."""
        return self._peers.get(host)

    def is_heard(self, peer: Peer, now_s: float) -> bool:
        """Tell whether the host's beats come."""
        beats = _LIVE_BEATS if peer.record.region == self._region else _LIVE_BEATS_FAR
        return now_s - peer.heard_s <= beats * self.period_s

    def heard(self, now_s: float) -> list[Beat]:
        """Return the latest beat of each host that is heard."""
        return [
            peer.beat
            for peer in self._peers.values()
            if peer.beat is not None and self.is_heard(peer, now_s)
        ]

    def serving(self, now_s: float) -> list[HostRecord]:
        """Return the hosts that may be named to callers."""
        hears_any = bool(self.heard(now_s))
        return [
            peer.record
            for peer in self._peers.values()
            if not peer.is_leaving
            and (
                self.is_heard(peer, now_s)
                or (not hears_any and now_s - peer.heard_s <= _FORGET_S)
            )
        ]

    def silent(self, silent_s: float, now_s: float) -> list[str]:
        """Return the hosts that have not been heard for this long."""
        return [
            name
            for name, peer in self._peers.items()
            if now_s - max(peer.heard_s, peer.listed_s) > silent_s
        ]

    def forget(self, host: str) -> None:
        """Drop a host whose record was removed."""
        self._peers.pop(host, None)

    def list(self, records: dict[str, HostRecord], now_s: float) -> None:
        """Take the records of all other hosts."""
        for name, record in records.items():
            peer = self._peers.setdefault(name, Peer(record, now_s))
            peer.record = record
            peer.is_listed = True
        for name, peer in self._peers.items():
            peer.is_listed = name in records

    def prune(self, now_s: float) -> None:
        """Drop hosts that are neither listed nor heard."""
        for name, peer in list(self._peers.items()):
            if not peer.is_listed and not self.is_heard(peer, now_s):
                self._peers.pop(name)
                log.info('host_gone', host=name)

    def take(self, beat: Beat, now_s: float) -> None:
        """Take a beat; a host that isn't listed yet is heard again when it is."""
        peer = self._peers.get(beat.host)
        if peer is None or len(beat.revisions) != len(TOPICS):
            return
        known = peer.beat
        is_same_run = known is not None and known.instance == beat.instance
        if is_same_run and beat.number <= known.number:
            return
        if not is_same_run or not self.is_heard(peer, now_s):
            log.info('host_heard', host=beat.host, instance=beat.instance)
        peer.heard_s = now_s
        peer.beat = beat
