"""Exchange heartbeats with the other hosts."""

import math
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import anyio
import msgspec

from cicadadoor.decisions.readers import is_reader
from cicadadoor.entry.decoding import decode_heartbeat
from cicadadoor.entry.heartbeat_sender import HeartbeatSender
from cicadadoor.entry.heartbeats import TOPICS, HostHeartbeat
from cicadadoor.entry.mirror import Mirror
from cicadadoor.entry.model import HostRecord, Topic
from cicadadoor.entry.peers import HEARTBEAT_INTERVAL_S, PeerTable
from cicadadoor.entry.state import EntryState
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('membership')

_LEAVING_HEARTBEAT_TIMEOUT_S = 0.5
# A tick that is this late means that the process was suspended.
_SUSPENSION_THRESHOLD_S = 1.0
# Hosts that start together are not listed at first, so the list of hosts is reread at
# most this often because of them.
_REREAD_INTERVAL_S = 1.0


class HeartbeatPart(Service):
    """Add fields to this host's heartbeats and process those of other hosts."""

    def add_fields(self, fields: dict[str, object]) -> None:
        """Add fields to the next heartbeat."""

    def on_heartbeats(self, heartbeats: list[HostHeartbeat]) -> None:
        """Process the latest heartbeats of live hosts, once per heartbeat interval."""

    def on_tick(self, heartbeats: list[HostHeartbeat]) -> None:
        """Process heartbeats on each tick, if the next interval would be too late."""

    def on_unlisted_heartbeat(self, heartbeat: HostHeartbeat) -> None:
        """Process the heartbeat of a host that this one has not read of, on arrival."""


class Membership(Service):
    """Send heartbeats, and receive those of other hosts."""

    name = 'membership'
    # Each step of the shutdown has its own time limit.
    leave_timeout_s = math.inf

    def __init__(self) -> None:
        self._state: EntryState
        self._mirror: Mirror
        self._timer: TimerService
        self.peers: PeerTable
        self._sender: HeartbeatSender
        self._parts: list[HeartbeatPart] = []
        self._heartbeat_number = 0
        self._last_heartbeat_s = 0.0
        self._last_reread_s = -math.inf
        # Set when the copy has changed since the last heartbeat to hosts of the region.
        self._has_unsent_changes = False
        # Set when a host is listed that may not know this one yet.
        self._has_new_peers = False

    async def start(self, kernel: Kernel) -> None:
        """Open the socket and start to send heartbeats."""
        self._state = kernel.find('state')
        self._mirror = kernel.find('mirror')
        self._timer = kernel.find('timer')
        settings = self._state.settings
        self.peers = PeerTable(settings.region, settings.failure_domain)
        self._sender = HeartbeatSender(
            settings.host, settings.failure_domain, self.peers, self._timer
        )
        self._sender.socket = await anyio.create_udp_socket(
            family=socket.AF_INET,
            local_host=settings.peers.host_ip,
            local_port=settings.peers.port,
        )
        self._last_heartbeat_s = self._timer.now_s()
        self._mirror.subscribe(self._on_change)
        kernel.spawn(self._listen, on_fault=OnFault.RESTART)
        self._timer.subscribe('beat', HEARTBEAT_INTERVAL_S, self._tick)

    def add_part(self, part: HeartbeatPart) -> None:
        """Register a service that adds to heartbeats and processes them."""
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
            capacity=settings.capacity,
        )

    @property
    def host_count(self) -> int:
        """Return how many hosts share limits, including silent and unlisted ones."""
        listed_count = len(self._mirror.records(Topic.HOSTS))
        return max(listed_count, 1 + len(self.peers) + len(self.peers.unlisted))

    @property
    def is_listed(self) -> bool:
        """Return whether this host is in the list of hosts, as it has read it.

        Hosts that publish their records later than this one then find it in the list,
        and those that have published earlier are in it: the host count is complete. A
        host that leaves has removed its record, but is still counted by the others.
        """
        return self._state.is_leaving or (
            self._state.settings.host in self._mirror.records(Topic.HOSTS)
        )

    @property
    def is_isolated(self) -> bool:
        """Return whether fewer than half of the other hosts are heard."""
        return 2 * len(self.peers.heard(self._timer.now_s())) < len(self.peers)

    @property
    def is_domain_reader(self) -> bool:
        """Return whether this host reads fresh store data for its failure domain."""
        settings = self._state.settings
        now_s = self._timer.now_s()
        others = [
            peer.record.host
            for peer in self.peers.all()
            if peer.record.failure_domain == settings.failure_domain
            and self.peers.is_heard(peer, now_s)
            and peer.is_served
        ]
        return is_reader(settings.host, others, is_served=self._mirror.is_served)

    def live_heartbeats(self) -> list[HostHeartbeat]:
        """Return the latest heartbeat of each live host."""
        return self.peers.latest_heartbeats(self._timer.now_s())

    def host_names(self) -> list[str]:
        """Return the names of all hosts that share limits, this one first."""
        others = [peer.record.host for peer in self.peers.all()]
        return [self._state.settings.host, *others]

    def serving_hosts(self) -> list[HostRecord]:
        """Return the records of the hosts that callers may use."""
        own = [] if self._state.is_leaving else [self.own_record]
        return own + self.peers.serving_records(self._timer.now_s())

    async def leave(self) -> None:
        """Announce the shutdown to all hosts, and serve callers for `leave_s`."""
        self._state.is_leaving = True
        until_s = self._timer.now_s() + self._state.settings.leave_s
        # A socket whose send buffer stays full must not delay the stop.
        with anyio.move_on_after(_LEAVING_HEARTBEAT_TIMEOUT_S):
            await self._send_heartbeat()
        await self._timer.sleep(max(0.0, until_s - self._timer.now_s()))

    async def stop(self, grace_s: float) -> None:
        """Close the socket."""
        await self._sender.socket.aclose()

    async def _tick(self) -> None:
        now_s = self._timer.now_s()
        heartbeats = self.live_heartbeats()
        for part in self._parts:
            _call_part(part.on_tick, heartbeats)
        elapsed_s = now_s - self._last_heartbeat_s
        if elapsed_s < self.peers.heartbeat_interval_s - HEARTBEAT_INTERVAL_S / 2:
            if self._has_unsent_changes:
                await self._send_heartbeat()
            return
        self._last_heartbeat_s = now_s
        if elapsed_s - self.peers.heartbeat_interval_s > _SUSPENSION_THRESHOLD_S:
            self._reread_after_suspension(elapsed_s)
        else:
            heard = {peer.record.host for peer in self.peers.heard(now_s)}
            self.peers.runs.log_silent(heard, now_s)
        self.peers.prune(now_s)
        for part in self._parts:
            _call_part(part.on_heartbeats, heartbeats)
        await self._send_heartbeat()

    def _reread_after_suspension(self, away_s: float) -> None:
        # Records that were read before the suspension may be out of date.
        log.warning('was_suspended', away_s=round(away_s, 3))
        for topic in Topic:
            self._mirror.reread(topic)

    async def _send_heartbeat(self) -> None:
        self._heartbeat_number += 1
        positions = [self._mirror.position(topic) for topic in TOPICS]
        fields: dict[str, object] = {
            'revisions': tuple(position.revision for position in positions),
            'eras': tuple(position.era for position in positions),
            'digests': tuple(self._mirror.copy(topic).digest for topic in TOPICS),
            'is_served': self._mirror.is_served,
        }
        for part in self._parts:
            _call_part(part.add_fields, fields)
        heartbeat = HostHeartbeat(
            host=self._state.settings.host,
            instance=self._state.instance,
            number=self._heartbeat_number,
            is_leaving=self._state.is_leaving,
            **fields,
        )
        is_urgent = self._state.is_leaving or self._has_new_peers
        self._has_unsent_changes = False
        self._has_new_peers = False
        await self._sender.send(heartbeat, is_urgent=is_urgent)

    async def _listen(self) -> None:
        # The socket is closed when the process stops.
        with suppress(anyio.ClosedResourceError):
            async for encoded, address in self._sender.socket:
                host_ip, port = address
                if self._receive(encoded, f'{host_ip}:{port}'):
                    await self._sender.forward(encoded)

    def _receive(self, encoded: bytes, sender: str) -> bool:
        """Record a heartbeat; return whether to pass it on within the domain."""
        try:
            heartbeat = decode_heartbeat(encoded)
        except (msgspec.MsgspecError, RecursionError) as error:
            log.warning('heartbeat_malformed', error=error)
            return False
        now_s = self._timer.now_s()
        is_new = self.peers.record_heartbeat(heartbeat, now_s)
        if self.peers.find(heartbeat.host) is None:
            for part in self._parts:
                _call_part(part.on_unlisted_heartbeat, heartbeat)
            self._reread_hosts(heartbeat.host, now_s)
        is_summary = is_new and bool(heartbeat.members)
        # A summary from elsewhere has been passed on by the host that received it.
        return is_summary and sender == self.peers.address(heartbeat.host)

    def _reread_hosts(self, unlisted_host: str, now_s: float) -> None:
        if now_s - self._last_reread_s < _REREAD_INTERVAL_S:
            return
        self._last_reread_s = now_s
        log.info('unlisted_host_heard', host=unlisted_host)
        self._mirror.reread(Topic.HOSTS)

    def _on_change(self, topic: Topic) -> None:
        self._has_unsent_changes = self._has_unsent_changes or self.is_domain_reader
        if topic is not Topic.HOSTS:
            return
        others = {
            name: record
            for name, record in self._mirror.records(topic).items()
            if isinstance(record, HostRecord) and name != self._state.settings.host
        }
        known_count = len(self.peers)
        self.peers.update_records(others, self._timer.now_s())
        if len(self.peers) > known_count:
            # A host that has read an older list counts this one once it hears it.
            self._has_new_peers = True
            self._has_unsent_changes = True


def _call_part(method: Callable[[Any], None], argument: Any) -> None:
    # An error in one part must not stop the heartbeats: other hosts would consider this
    # host gone.
    try:
        method(argument)
    except Exception:
        log.exception('beat_part_failed', part=method.__qualname__)
