"""Track the other hosts: their records and their latest heartbeats."""

import math

from cicadadoor.decisions.domain_summaries import uses_summaries
from cicadadoor.entry.heartbeats import TOPICS, HostHeartbeat, name_hash
from cicadadoor.entry.host_runs import HostRuns
from cicadadoor.entry.model import HostRecord
from cicadadoor.entry.reported_hosts import (
    SUMMARY_TIMEOUT_S,
    SummaryTable,
    UnlistedHosts,
)
from cicadadoor.telemetry import logs

log = logs.logger('membership')

# The number of heartbeats grows with the square of the number of hosts. Beyond these
# numbers of hosts in the own region (near; with summaries, in the own failure domain)
# and in other regions (far), the intervals grow instead.
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


class Peer:
    """Hold the state of another host; times are on the boot clock."""

    __slots__ = (
        'heartbeat',
        'heard_s',
        'is_listed',
        'first_listed_s',
        'name_hash',
        'record',
    )

    def __init__(self, record: HostRecord, now_s: float) -> None:
        self.record = record
        self.name_hash = name_hash(record.host)
        self.is_listed = True
        self.first_listed_s = now_s
        self.heard_s = -math.inf
        self.heartbeat: HostHeartbeat | None = None

    @property
    def was_heard(self) -> bool:
        """Return whether the host has been heard at least once."""
        return self.heard_s > -math.inf

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

    def __init__(self, region: str, failure_domain: str) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._peers: dict[str, Peer] = {}
        self._summaries = SummaryTable()
        self.unlisted = UnlistedHosts()
        self.runs = HostRuns()
        # Whether domains exchange summaries instead of heartbeats.
        self.uses_summaries = False
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

    def is_in_own_domain(self, peer: Peer) -> bool:
        """Return whether the peer is in this host's failure domain."""
        return peer.record.failure_domain == self._failure_domain

    def all(self) -> list[Peer]:
        """Return all other hosts."""
        return list(self._peers.values())

    def find(self, host: str) -> Peer | None:
        """Return a host, or None if it is gone."""
        return self._peers.get(host)

    def is_heard(self, peer: Peer, now_s: float) -> bool:
        """Return whether the host, or a reporter of its domain, shows that it lives."""
        if not self.is_in_own_domain(peer):
            summaries = self._summaries.fresh(peer.record.failure_domain, now_s)
            if summaries:
                return any(peer.name_hash in each.members for each in summaries)
        return now_s - peer.heard_s <= self._timeout_s(peer)

    def is_leaving(self, peer: Peer, now_s: float) -> bool:
        """Return whether the host is about to stop, as far as is known."""
        if not self.is_in_own_domain(peer):
            summaries = self._summaries.fresh(peer.record.failure_domain, now_s)
            if summaries:
                return any(peer.name_hash in each.leaving for each in summaries)
        return peer.is_leaving

    def latest_heartbeats(self, now_s: float) -> list[HostHeartbeat]:
        """Return the latest heartbeats of live hosts, or the summaries of domains."""
        found = self._summaries.latest(now_s)
        domains = self._summaries.fresh_domains(now_s)
        found.extend(
            peer.heartbeat
            for peer in self._peers.values()
            if peer.heartbeat is not None
            and peer.record.failure_domain not in domains
            and self.is_heard(peer, now_s)
        )
        return found

    def heard(self, now_s: float) -> list[Peer]:
        """Return the live hosts."""
        members_of = self._summaries.members(now_s)
        members_of.pop(self._failure_domain, None)
        found = []
        for peer in self._peers.values():
            members = members_of.get(peer.record.failure_domain)
            if members is None:
                is_heard = now_s - peer.heard_s <= self._timeout_s(peer)
            else:
                is_heard = peer.name_hash in members
            if is_heard:
                found.append(peer)
        return found

    def serving_records(self, now_s: float) -> list[HostRecord]:
        """Return the records of the other hosts that callers may use."""
        heard = self.heard(now_s)
        if not heard:
            # This host is probably the one that is cut off.
            heard = [
                peer
                for peer in self._peers.values()
                if now_s - peer.heard_s <= _ISOLATED_TIMEOUT_S
            ]
        return [peer.record for peer in heard if not self.is_leaving(peer, now_s)]

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
        self.unlisted.discard(records)
        self._update_intervals()

    def prune(self, now_s: float) -> None:
        """Remove hosts that are neither listed nor heard."""
        self.unlisted.prune(now_s)
        for name, peer in list(self._peers.items()):
            if not peer.is_listed and not self.is_heard(peer, now_s):
                self.forget(name)
                log.info('host_gone', host=name)

    def record_heartbeat(self, heartbeat: HostHeartbeat, now_s: float) -> bool:
        """Record a heartbeat, or ignore it if it is outdated; return which of them.

        A host that is not listed is only counted among those that share limits.
        """
        if len(heartbeat.revisions) != len(TOPICS):
            return False
        peer = self._peers.get(heartbeat.host)
        if peer is None:
            self.unlisted.record_heartbeat(heartbeat.host, now_s)
            return False
        previous = peer.heartbeat
        is_same_run = previous is not None and previous.instance == heartbeat.instance
        if is_same_run and heartbeat.number <= previous.number:
            return False
        if not is_same_run or not self.is_heard(peer, now_s):
            log.info('host_heard', host=heartbeat.host, instance=heartbeat.instance)
        self.runs.record(heartbeat, now_s)
        peer.heard_s = now_s
        peer.heartbeat = heartbeat
        if heartbeat.members and not self.is_in_own_domain(peer):
            self._summaries.record(peer.record.failure_domain, heartbeat, now_s)
            for member in self._peers.values():
                if member.name_hash in heartbeat.members:
                    member.heard_s = now_s
                    if member is not peer:
                        self.runs.discard(member.record.host)
        return True

    def _timeout_s(self, peer: Peer) -> float:
        if self.uses_summaries and not self.is_in_own_domain(peer):
            return SUMMARY_TIMEOUT_S
        if self.is_near(peer):
            return min(
                _MAX_TIMEOUT_S, _NEAR_TIMEOUT_INTERVALS * self.heartbeat_interval_s
            )
        return _FAR_TIMEOUT_INTERVALS * self.far_heartbeat_interval_s

    def _update_intervals(self) -> None:
        self.uses_summaries = uses_summaries(1 + len(self._peers))
        is_near = self.is_in_own_domain if self.uses_summaries else self.is_near
        near = sum(1 for peer in self._peers.values() if is_near(peer))
        far = 0 if self.uses_summaries else len(self._peers) - near
        self.heartbeat_interval_s = HEARTBEAT_INTERVAL_S * max(
            1.0, near / _NEAR_HOSTS_AT_BASE_INTERVAL
        )
        self.far_heartbeat_interval_s = _FAR_HEARTBEAT_INTERVAL_S * max(
            1.0, far / _FAR_HOSTS_AT_BASE_INTERVAL
        )
