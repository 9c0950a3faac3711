"""Track the other hosts: their records and their latest heartbeats."""

import math
import zlib
from functools import lru_cache

import msgspec

from cicadadoor.entry.model import HostRecord, Topic
from cicadadoor.telemetry import logs

log = logs.logger('membership')

# The number of heartbeats grows with the square of the number of hosts. Beyond these
# numbers of hosts in the own region (near) and in other regions (far), the intervals
# grow instead.
HEARTBEAT_INTERVAL_S = 0.25
_NEAR_HOSTS_AT_BASE_INTERVAL = 8
_FAR_HEARTBEAT_INTERVAL_S = 1.0
_FAR_HOSTS_AT_BASE_INTERVAL = 16
# Heartbeat intervals without a heartbeat after which a host counts as silent; several,
# since links lose packets.
_NEAR_TIMEOUT_INTERVALS = 6
_FAR_TIMEOUT_INTERVALS = 3.5
# Directory answers may contain a host for up to 6 s after it has ended.
_MAX_TIMEOUT_S = 5.0
# A host that hears no other host assumes that it is itself isolated, and still returns
# the others to callers for this time.
_ISOLATED_TIMEOUT_S = 4.5
TOPICS = tuple(Topic)
_NAME_HASH_CACHE_SIZE = 16_384


class HostHeartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Report to other hosts that this one is alive, and its state.

    `revisions` and `digests` are in the order of the topics. `demand` holds requests
    per second by organisation. `in_flight` counts this host's requests at each backend
    server. `unreachable` holds the seconds since each backend server last failed to
    answer. `crashes` counts, by request fingerprint, the connections to backend servers
    that broke while such a request ran. `learned` is a flat list of pairs: a backend
    server and an object that it has just loaded; it is sent only within the region.
    `is_served` is whether the store answers the sender. Names are sent as `name_hash`,
    since traffic between regions is billed.
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
        """Return the revision of the sender's copy of a topic."""
        return self.revisions[TOPICS.index(topic)]

    def digest(self, topic: Topic) -> int:
        """Return the digest of the sender's copy of a topic."""
        return self.digests[TOPICS.index(topic)]


@lru_cache(_NAME_HASH_CACHE_SIZE)
def name_hash(name: str) -> int:
    """Return the number that replaces a name in heartbeats."""
    return zlib.crc32(name.encode())


class Peer:
    """Hold the state of another host; times are on the boot clock."""

    __slots__ = ('heartbeat', 'heard_s', 'is_listed', 'first_listed_s', 'record')

    def __init__(self, record: HostRecord, now_s: float) -> None:
        self.record = record
        self.is_listed = True
        self.first_listed_s = now_s
        self.heard_s = -math.inf
        self.heartbeat: HostHeartbeat | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether the host announced that it is about to stop."""
        return self.heartbeat is not None and self.heartbeat.is_leaving

    @property
    def is_served(self) -> bool:
        """Return whether the host is not leaving and the store answers it."""
        return (
            self.heartbeat is not None
            and self.heartbeat.is_served
            and not self.is_leaving
        )


class PeerTable:
    """Hold the listed hosts, and determine which of them are live."""

    def __init__(self, region: str) -> None:
        self._region = region
        self._peers: dict[str, Peer] = {}
        # Time between heartbeats to hosts of the own region, and to those of others.
        self.heartbeat_interval_s = HEARTBEAT_INTERVAL_S
        self.far_heartbeat_interval_s = _FAR_HEARTBEAT_INTERVAL_S

    def __len__(self) -> int:
        """Return the number of other hosts, including silent ones."""
        return len(self._peers)

    def address(self, host: str) -> str:
        """Return the peer address of a host, or an empty string if it is gone."""
        peer = self._peers.get(host)
        return peer.record.peers if peer else ''

    def is_near_host(self, host: str) -> bool:
        """Return whether a host is known and in this host's region."""
        peer = self._peers.get(host)
        return peer is not None and self.is_near(peer)

    def is_near(self, peer: Peer) -> bool:
        """Return whether the peer is in this host's region."""
        return peer.record.region == self._region

    def all(self) -> list[Peer]:
        """Return all other hosts."""
        return list(self._peers.values())

    def find(self, host: str) -> Peer | None:
        """Return a host, or None if it is gone."""
        return self._peers.get(host)

    def is_heard(self, peer: Peer, now_s: float) -> bool:
        """Return whether the last heartbeat of the host is recent enough."""
        if self.is_near(peer):
            timeout_s = min(
                _MAX_TIMEOUT_S, _NEAR_TIMEOUT_INTERVALS * self.heartbeat_interval_s
            )
        else:
            timeout_s = _FAR_TIMEOUT_INTERVALS * self.far_heartbeat_interval_s
        return now_s - peer.heard_s <= timeout_s

    def latest_heartbeats(self, now_s: float) -> list[HostHeartbeat]:
        """Return the latest heartbeat of each live host."""
        return [
            peer.heartbeat
            for peer in self._peers.values()
            if peer.heartbeat is not None and self.is_heard(peer, now_s)
        ]

    def serving_records(self, now_s: float) -> list[HostRecord]:
        """Return the records of the other hosts that callers may use."""
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
        """Return the names of the hosts that have not been heard for this long."""
        return [
            name
            for name, peer in self._peers.items()
            if now_s - max(peer.heard_s, peer.first_listed_s) > silent_s
        ]

    def forget(self, host: str) -> None:
        """Remove a host whose record is gone."""
        self._peers.pop(host, None)
        self._update_intervals()

    def update_records(self, records: dict[str, HostRecord], now_s: float) -> None:
        """Replace the records of all other hosts."""
        for name, record in records.items():
            peer = self._peers.setdefault(name, Peer(record, now_s))
            peer.record = record
            peer.is_listed = True
        for name, peer in self._peers.items():
            peer.is_listed = name in records
        self._update_intervals()

    def prune(self, now_s: float) -> None:
        """Remove hosts that are neither listed nor heard."""
        for name, peer in list(self._peers.items()):
            if not peer.is_listed and not self.is_heard(peer, now_s):
                self.forget(name)
                log.info('host_gone', host=name)

    def record_heartbeat(self, heartbeat: HostHeartbeat, now_s: float) -> None:
        """Record a heartbeat; ignore it if it is outdated or its host is not listed."""
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
