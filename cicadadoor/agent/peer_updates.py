"""Send the gate of this host the list of other gates that it can reach."""

from cicadadoor.agent.membership import Membership
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.messages import AgentAlive, GateReport, PeerUpdate
from cicadadoor.timer import TimerService

_PERIOD_S = 1.0
_GATES_PER_DOMAIN = 4


class PeerUpdates(Service):
    """Send the gates of this failure domain and some of each other one."""

    name = 'peer_updates'

    def __init__(self) -> None:
        self._timer: TimerService
        self._membership: Membership
        self._link: DaemonLink
        self._sent: PeerUpdate | None = None
        self._gate_instance = ''

    async def start(self, kernel: Kernel) -> None:
        """Schedule updates, and detect new gate processes."""
        self._timer = kernel.find('timer')
        self._membership = kernel.find('membership')
        self._link = kernel.find('daemon_link')
        self._link.on(GateReport, self._handle_report)
        self._timer.subscribe('peer_updates', _PERIOD_S, self.send)

    async def send(self) -> None:
        """Send the live gates if they changed, otherwise a keep-alive."""
        now_s = self._timer.now_s()
        gates = [
            member.record.gate
            for member in self._membership.members.alive(now_s)
            if member.record.gate is not None
        ]
        for summary in self._membership.domains.valid(now_s):
            gates.extend(summary.gates[:_GATES_PER_DOMAIN])
        update = PeerUpdate(gates=gates)
        if update == self._sent:
            await self._link.send(AgentAlive())
            return
        failure = await self._link.send(update)
        self._sent = update if failure is None else None

    async def _handle_report(self, report: GateReport) -> None:
        if report.gate.instance != self._gate_instance:
            self._gate_instance = report.gate.instance
            self._sent = None
