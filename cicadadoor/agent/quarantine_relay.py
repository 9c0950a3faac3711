"""Distribute quarantined request fingerprints to the gates of a failure domain."""

from cicadadoor.agent.membership import Membership
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.messages import Ack, Message
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.links.quarantine_messages import CrashReport, QuarantineUpdate

_ANSWER_TIMEOUT_S = 1.0


class QuarantineRelay(Service):
    """Forward the quarantines of this host's gate to the other gates of its domain."""

    name = 'quarantine_relay'

    def __init__(self) -> None:
        self._membership: Membership
        self._peers: PeerHub
        self._link: DaemonLink
        self._kernel: Kernel

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to the gate's reports and to updates from other agents."""
        self._kernel = kernel
        self._membership = kernel.find('membership')
        self._peers = kernel.find('peers')
        self._link = kernel.find('daemon_link')
        self._link.on(CrashReport, self._broadcast)
        self._peers.on(QuarantineUpdate, self._forward_to_gate)

    async def _broadcast(self, report: CrashReport) -> None:
        update = QuarantineUpdate(convictions=report.convictions)
        for address in self._membership.domain_addresses():
            self._kernel.spawn(self._send, address, update, on_fault=OnFault.CONTINUE)

    async def _send(self, address: str, update: QuarantineUpdate) -> None:
        await self._peers.ask(address, update, _ANSWER_TIMEOUT_S)

    async def _forward_to_gate(self, message: Message) -> Message:
        await self._link.send(message)
        return Ack()
