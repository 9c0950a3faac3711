"""Hold what is known of other hosts."""

import math
import zlib
from functools import lru_cache

import msgspec

from cicadadoor.entry.model import HostRecord, Topic
from cicadadoor.telemetry import logs

log = logs.logger('membership')

# Beats between all hosts grow with the square of their number; beyond so many hosts in
# the region, and in the others, the periods grow instead.
HEARTBEAT_INTERVAL_S = 0.25
_NEAR_HOSTS_AT_BASE_INTERVAL = 8
_FAR_HEARTBEAT_INTERVAL_S = 1.0
_FAR_HOSTS_AT_BASE_INTERVAL = 16
# A live host is heard at least every few beats, also on links that lose packets.
_NEAR_TIMEOUT_INTERVALS = 6
_FAR_TIMEOUT_INTERVALS = 3.5
# Directory answers may name a host for 6 s after its end.
_MAX_TIMEOUT_S = 5.0
# A host that hears nobody else is taken to be the one that is cut off.
_ISOLATED_TIMEOUT_S = 4.5
TOPICS = tuple(Topic)
_NAME_HASH_CACHE_SIZE = 16_384


class HostHeartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Tell other hosts that this one lives, and what it knows.

    `revisions` and `digests` are in the order of the topics. `demand` gives requests
    per second by organisation. `in_flight` counts this host's requests at each backend
    server. `unreachable` gives the seconds since each failed to answer. `crashes`
    counts the backend servers that ended while a request with the fingerprint ran.
    `learned` gives pairs of a backend server and an object that it has just learned,
    one after the other, for hosts of the region only.
    `is_served` tells whether the store answers the sender. Names are given by
    `short_name`, since beats between regions are paid for.
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
    is_served: bool = True
    learned: tuple[int, ...] = ()

    def revision(self, topic: Topic) -> int:
        """Return the revision of the sender's copy."""
        return self.revisions[TOPICS.index(topic)]

    def digest(self, topic: Topic) -> int:
        """Return the digest of the sender's copy."""
        return self.digests[TOPICS.index(topic)]


@lru_cache(_NAME_HASH_CACHE_SIZE)
def name_hash(name: str) -> int:
    """Return a number that stands for a name in beats."""
    return zlib.crc32(name.encode())


class Peer:
    """Hold what is known of another host; times on the boot clock."""

    __slots__ = ('heartbeat', 'heard_s', 'is_listed', 'first_listed_s', 'record')

    def __init__(self, record: HostRecord, now_s: float) -> None:
        self.record = record
        self.is_listed = True
        self.first_listed_s = now_s
        self.heard_s = -math.inf
        self.heartbeat: HostHeartbeat | None = None

    @property
    def is_leaving(self) -> bool:
        """Tell whether the host said that it is about to stop."""
        return self.heartbeat is not None and self.heartbeat.is_leaving

    @property
    def is_served(self) -> bool:
        """Tell whether the host goes on following the store, as far as it said."""
        return (
            self.heartbeat is not None
            and self.heartbeat.is_served
            and not self.is_leaving
        )


class PeerTable:
    """Hold the listed hosts, and tell which of them are heard."""

    def __init__(self, region: str) -> None:
        self._region = region
        self._peers: dict[str, Peer] = {}
        # Time between beats to hosts of the region, and to those of others.
        self.heartbeat_interval_s = HEARTBEAT_INTERVAL_S
        self.far_heartbeat_interval_s = _FAR_HEARTBEAT_INTERVAL_S

    def __len__(self) -> int:
        """Return how many other hosts there are, with those that are silent."""
        return len(self._peers)

    def address(self, host: str) -> str:
        """Return where a host takes messages, or an empty text if it is gone."""
        peer = self._peers.get(host)
        return peer.record.peers if peer else ''

    def is_near_host(self, host: str) -> bool:
        """Tell whether a host is known and in this host's region."""
        peer = self._peers.get(host)
        return peer is not None and self.is_near(peer)

    def is_near(self, peer: Peer) -> bool:
        """Tell whether the host is in this host's region."""
        return peer.record.region == self._region

    def all(self) -> list[Peer]:
        """Return all other hosts."""
        return list(self._peers.values())

    def find(self, host: str) -> Peer | None:
        """Return a host, or None if it is gone."""
        return self._peers.get(host)

    def is_heard(self, peer: Peer, now_s: float) -> bool:
        """Tell whether the host's beats come."""
        if self.is_near(peer):
            timeout_s = min(
                _MAX_TIMEOUT_S, _NEAR_TIMEOUT_INTERVALS * self.heartbeat_interval_s
            )
        else:
            timeout_s = _FAR_TIMEOUT_INTERVALS * self.far_heartbeat_interval_s
        return now_s - peer.heard_s <= timeout_s

    def latest_heartbeats(self, now_s: float) -> list[HostHeartbeat]:
        """Return the latest beat of each host that is heard."""
        return [
            peer.heartbeat
            for peer in self._peers.values()
            if peer.heartbeat is not None and self.is_heard(peer, now_s)
        ]

    def serving_records(self, now_s: float) -> list[HostRecord]:
        """Return the hosts that may be named to callers."""
        is_any_heard = bool(self.latest_heartbeats(now_s))
        return [
            peer.record
            for peer in self._peers.values()
            if not peer.is_leaving
            and (
                self.is_heard(peer, now_s)
                or (not is_any_heard and now_s - peer.heard_s <= _ISOLATED_TIMEOUT_S)
            )
        ]

    def silent_hosts(self, silent_s: float, now_s: float) -> list[str]:
        """Return the hosts that have not been heard for this long."""
        return [
            name
            for name, peer in self._peers.items()
            if now_s - max(peer.heard_s, peer.first_listed_s) > silent_s
        ]

    def forget(self, host: str) -> None:
        """Drop a host whose record was removed."""
        self._peers.pop(host, None)
        self._update_intervals()

    def update_records(self, records: dict[str, HostRecord], now_s: float) -> None:
        """Take the records of all other hosts."""
        for name, record in records.items():
            peer = self._peers.setdefault(name, Peer(record, now_s))
            peer.record = record
            peer.is_listed = True
        for name, peer in self._peers.items():
            peer.is_listed = name in records
        self._update_intervals()

    def prune(self, now_s: float) -> None:
        """Drop hosts that are neither listed nor heard."""
        for name, peer in list(self._peers.items()):
            if not peer.is_listed and not self.is_heard(peer, now_s):
                self.forget(name)
                log.info('host_gone', host=name)

    def record_heartbeat(self, heartbeat: HostHeartbeat, now_s: float) -> None:
        """Take a beat; a host that isn't listed yet is heard again when it is."""
        peer = self._peers.get(heartbeat.host)
        if peer is None or len(heartbeat.revisions) != len(TOPICS):
            return
        previous = peer.heartbeat
        is_same_run = previous is not None and previous.instance == heartbeat.instance
        if is_same_run and heartbeat.number <= previous.number:
            return
        if not is_same_run or not self.is_heard(peer, now_s):
            log.info('host_heard', host=heartbeat.host, instance=heartbeat.instance)
        peer.heard_s = now_s
        peer.heartbeat = heartbeat

    def _update_intervals(self) -> None:
        near = sum(1 for peer in self._peers.values() if self.is_near(peer))
        far = len(self._peers) - near
        self.heartbeat_interval_s = HEARTBEAT_INTERVAL_S * max(
            1.0, near / _NEAR_HOSTS_AT_BASE_INTERVAL
        )
        self.far_heartbeat_interval_s = _FAR_HEARTBEAT_INTERVAL_S * max(
            1.0, far / _FAR_HOSTS_AT_BASE_INTERVAL
        )
