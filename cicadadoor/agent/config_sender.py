"""Send the newest configuration generation to the gate of this host."""

import anyio

from cicadadoor.agent.state import AgentState
from cicadadoor.agent.sync import ConfigSync
from cicadadoor.agent.withdrawals import Withdrawals
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.links.config_messages import ConfigDelta
from cicadadoor.links.config_parts import Generation, build_updates
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.messages import GateReport
from cicadadoor.timer import TimerService

# A report that the gate sent before it received an update must not cause a resend.
_RESEND_AFTER_S = 1.0
_KNOWN_GENERATIONS = 16


class ConfigSender(Service):
    """Send each new generation, and resend when the gate reports an older one."""

    name = 'config_sender'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._sync: ConfigSync
        self._withdrawals: Withdrawals
        self._link: DaemonLink
        # Section digests of recent generations, by generation digest. The digest that a
        # gate reports tells which sections it has.
        self._known: dict[str, dict[str, str]] = {}
        self._sent_digest = ''
        self._sent_s = float('-inf')
        self._wake = anyio.Event()

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to new generations and to the gate's reports."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._sync = kernel.find('sync')
        self._withdrawals = kernel.find('withdrawals')
        self._link = kernel.find('daemon_link')
        self._link.on(GateReport, self._handle_report)
        self._sync.subscribe(self._handle_generation)
        kernel.spawn(self._run, on_fault=OnFault.RESTART)

    async def _handle_report(self, report: GateReport) -> None:
        self._state.gate_report = report
        self._state.gate_report_s = self._timer.now_s()
        if report.generation >= self._sync.number:
            return
        if self._timer.now_s() - self._sent_s < _RESEND_AFTER_S:
            return
        self._sent_digest = report.digest
        self._wake.set()

    async def _handle_generation(
        self,
        generation: Generation,
        delta: ConfigDelta | None,
    ) -> None:
        self._wake.set()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            generation = self._sync.generation
            if generation is not None:
                await self._send(generation)

    async def _send(self, generation: Generation) -> None:
        if not self._sent_digest:
            # A starting gate needs the withdrawn keys before the configuration.
            await self._withdrawals.send_all_to_gate()
        known_digests = self._known.get(self._sent_digest, {})
        for part in build_updates(generation, known_digests, 0):
            if await self._link.send(part) is not None:
                # Unknown until the next report of the gate.
                self._sent_digest = ''
                return
        self._sent_s = self._timer.now_s()
        self._sent_digest = generation.digest
        self._known[generation.digest] = generation.section_digests
        while len(self._known) > _KNOWN_GENERATIONS:
            self._known.pop(next(iter(self._known)))
