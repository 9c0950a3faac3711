"""Send the heartbeats of a host, and the summaries of its failure domain."""

import math
from collections.abc import Iterable

import anyio
import msgspec
from msgspec import structs

from cicadadoor.decisions.domain_summaries import contacts, reporters
from cicadadoor.entry.heartbeats import HostHeartbeat, summarise
from cicadadoor.entry.peers import HEARTBEAT_INTERVAL_S, Peer, PeerTable
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('membership')

_MAX_DATAGRAM_BYTES = 60_000
# Time between the summaries to domains of the own region, and to those of others. A
# receiver hears of a change after one such interval and one between heartbeats.
_SUMMARY_INTERVAL_S = 0.75
_FAR_SUMMARY_INTERVAL_S = 1.5


class HeartbeatSender:
    """Decide which hosts get a heartbeat or a summary, and send them."""

    def __init__(
        self, host: str, failure_domain: str, peers: PeerTable, timer: TimerService
    ) -> None:
        self._host = host
        self._failure_domain = failure_domain
        self._peers = peers
        self._timer = timer
        self._encoder = msgspec.msgpack.Encoder()
        # The socket allows one sender at a time.
        self._lock = anyio.Lock()
        self.socket: anyio.abc.UDPSocket
        self._last_far_s = -math.inf
        self._last_summary_s = -math.inf
        self._far_summary_count = 0

    async def send(self, heartbeat: HostHeartbeat, *, is_urgent: bool = False) -> None:
        """Send a heartbeat to the hosts that are due one, or if urgent to all."""
        if is_urgent:
            self._last_far_s = -math.inf
            self._last_summary_s = -math.inf
        near = self._encoder.encode(heartbeat)
        if self._peers.uses_summaries:
            own_domain = filter(self._peers.is_in_own_domain, self._peers.all())
            await self._send_to(own_domain, near)
            await self._send_summary(heartbeat)
            return
        await self._send_to(filter(self._peers.is_near, self._peers.all()), near)
        if self._is_due(self._last_far_s, self._peers.far_heartbeat_interval_s):
            self._last_far_s = self._timer.now_s()
            far = self._encoder.encode(structs.replace(heartbeat, learned=()))
            await self._send_to(self._far_peers(), far)

    async def forward(self, encoded: bytes) -> None:
        """Pass on the summary of another failure domain to the hosts of the own one."""
        own_domain = filter(self._peers.is_in_own_domain, self._peers.all())
        await self._send_to(own_domain, encoded)

    async def _send_summary(self, own: HostHeartbeat) -> None:
        now_s = self._timer.now_s()
        others = [
            peer.heartbeat
            for peer in self._peers.heard(now_s)
            if peer.heartbeat is not None and self._peers.is_in_own_domain(peer)
        ]
        staying = [each.host for each in others if not each.is_leaving]
        if self._host not in reporters([self._host, *staying]):
            return
        if not self._is_due(self._last_summary_s, _SUMMARY_INTERVAL_S):
            return
        self._last_summary_s = now_s
        summary = summarise(own, others)
        near_peers, far_peers = self._summary_contacts(now_s)
        await self._send_to(near_peers, self._encoder.encode(summary))
        if self._is_due(self._last_far_s, _FAR_SUMMARY_INTERVAL_S):
            self._last_far_s = now_s
            self._far_summary_count += 1
            far = self._encoder.encode(structs.replace(summary, learned=()))
            await self._send_to(far_peers, far)

    def _summary_contacts(self, now_s: float) -> tuple[list[Peer], list[Peer]]:
        """Return the hosts that get a summary in this region and in others.

        In other regions the reporters take turns, since traffic there is billed.
        """
        by_domain: dict[str, list[Peer]] = {}
        for peer in self._peers.all():
            by_domain.setdefault(peer.record.failure_domain, []).append(peer)
        by_domain.pop(self._failure_domain, None)
        near: list[Peer] = []
        far: list[Peer] = []
        for peers in by_domain.values():
            chosen = self._domain_contacts(peers, now_s)
            if self._peers.is_near(chosen[0]):
                near.extend(chosen)
            else:
                far.append(chosen[self._far_summary_count % len(chosen)])
        return near, far

    def _domain_contacts(self, peers: list[Peer], now_s: float) -> list[Peer]:
        by_name = {peer.record.host: peer for peer in peers}
        live = [
            name
            for name, peer in by_name.items()
            if self._peers.is_heard(peer, now_s)
            and not self._peers.is_leaving(peer, now_s)
        ]
        chosen = contacts(live, list(by_name), self._far_summary_count)
        return [by_name[name] for name in chosen]

    def _far_peers(self) -> list[Peer]:
        return [peer for peer in self._peers.all() if not self._peers.is_near(peer)]

    def _is_due(self, last_s: float, interval_s: float) -> bool:
        elapsed_s = self._timer.now_s() - last_s
        return elapsed_s > interval_s - HEARTBEAT_INTERVAL_S / 2

    async def _send_to(self, peers: Iterable[Peer], encoded: bytes) -> None:
        if len(encoded) > _MAX_DATAGRAM_BYTES:
            log.warning('heartbeat_too_large', size_bytes=len(encoded))
            return
        async with self._lock:
            for peer in peers:
                await self._send_one(encoded, peer.record.peers)

    async def _send_one(self, encoded: bytes, address: str) -> None:
        host_ip, _, port = address.rpartition(':')
        try:
            await self.socket.sendto(encoded, host_ip, int(port))
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            log.warning('heartbeat_not_sent', peer=address, error=error)
