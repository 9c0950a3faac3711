"""Know which other hosts are alive."""

from cicadadoor.agent.state import AgentState
from cicadadoor.agent.sync import ConfigSync
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.messages import GateInfo, Heartbeat, Message, PeerUpdate
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.timer import TimerService

HEARTBEAT_PERIOD_S = 1.0
DEAD_AFTER_S = 10.0
_ANSWER_TIMEOUT_S = 0.8


class Member:
    """Hold the last heartbeat of a host and when it was heard."""

    __slots__ = ('heard_s', 'heartbeat')

    def __init__(self, heartbeat: Heartbeat, heard_s: float) -> None:
        self.heartbeat = heartbeat
        self.heard_s = heard_s


class Membership(Service):
    """Exchange heartbeats with peers and tell the gate which gates are heard."""

    name = 'membership'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._sync: ConfigSync
        self._peers: PeerHub
        self._link: DaemonLink
        self._kernel: Kernel
        self._members: dict[str, Member] = {}

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to heartbeats and send them periodically."""
        self._kernel = kernel
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._sync = kernel.find('sync')
        self._peers = kernel.find('peers')
        self._link = kernel.find('daemon_link')
        self._peers.on(Heartbeat, self._answer, Heartbeat)
        self._timer.subscribe('heartbeat', HEARTBEAT_PERIOD_S, self._beat)

    def heard(self) -> list[Heartbeat]:
        """Return the last heartbeat of each host that is alive."""
        oldest_s = self._timer.now_s() - DEAD_AFTER_S
        return [
            member.heartbeat
            for member in self._members.values()
            if member.heard_s >= oldest_s
        ]

    async def _answer(self, request: Message) -> Message:
        self._note(request)
        return self._heartbeat()

    async def _beat(self) -> None:
        addresses = {str(address) for address in self._state.settings.seed_peers}
        addresses.update(heartbeat.peer_address for heartbeat in self.heard())
        addresses.discard(str(self._state.settings.agent_peers))
        for address in addresses:
            self._kernel.spawn(self._ask, address)
        gates = [beat.gate for beat in self.heard() if beat.gate is not None]
        await self._link.send(PeerUpdate(gates=gates))

    async def _ask(self, address: str) -> None:
        answer = await self._peers.ask(address, self._heartbeat(), _ANSWER_TIMEOUT_S)
        if isinstance(answer, Heartbeat):
            self._note(answer)

    def _note(self, heartbeat: Heartbeat) -> None:
        if heartbeat.host != self._state.settings.host:
            now_s = self._timer.now_s()
            self._members[heartbeat.host] = Member(heartbeat, now_s)

    def _heartbeat(self) -> Heartbeat:
        settings = self._state.settings
        generation = self._sync.generation
        return Heartbeat(
            host=settings.host,
            peer_address=str(settings.agent_peers),
            failure_domain=settings.failure_domain,
            region=settings.region,
            generation=generation.number if generation else 0,
            digest=generation.digest if generation else '',
            gate=self._live_gate(),
        )

    def _live_gate(self) -> GateInfo | None:
        report = self._state.gate_report
        age_s = self._timer.now_s() - self._state.gate_report_s
        return report.gate if report and age_s < DEAD_AFTER_S else None
