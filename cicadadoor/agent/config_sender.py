"""Keep the gate of this host at the newest generation."""

from cicadadoor.agent.state import AgentState
from cicadadoor.agent.sync import ConfigSync
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.config_parts import Generation, parts_of
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.messages import GateReport
from cicadadoor.timer import TimerService


class ConfigSender(Service):
    """Send each new generation, and again when the gate reports an older one."""

    name = 'config_sender'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._sync: ConfigSync
        self._link: DaemonLink
        self._gate_instance = ''
        self._gate_digests: dict[str, str] = {}
        self._sent_generation = 0

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to new generations and to the gate's reports."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._sync = kernel.find('sync')
        self._link = kernel.find('daemon_link')
        self._link.on(GateReport, self._take_report)
        self._sync.subscribe(self._send)

    async def _take_report(self, report: GateReport) -> None:
        self._state.gate_report = report
        self._state.gate_report_s = self._timer.now_s()
        generation = self._sync.generation
        if generation is None or report.generation >= generation.number:
            return
        is_new_gate = report.sender_instance != self._gate_instance
        self._gate_instance = report.sender_instance
        if is_new_gate or report.generation == 0:
            self._gate_digests = {}
        await self._send(generation)

    async def _send(self, generation: Generation) -> None:
        base = self._sent_generation
        for part in parts_of(generation, self._gate_digests, base):
            failure = await self._link.send(part)
            if failure is not None:
                self._gate_digests = {}
                return
        self._gate_digests = generation.section_digests
        self._sent_generation = generation.number
