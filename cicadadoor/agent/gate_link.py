"""Send configuration and grants to the gate of this host."""

from cicadadoor.agent.state import AgentState
from cicadadoor.agent.sync import ConfigSync
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.config_parts import Generation, parts_of
from cicadadoor.links.messages import Codec, GateReport, Message
from cicadadoor.links.transport import MessageStamp, PairLink
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('gate_link')


class GateLink(Service):
    """Keep the gate at the newest generation that the agent has."""

    name = 'gate_link'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._sync: ConfigSync
        self._link: PairLink
        self._gate_instance = ''
        self._gate_digests: dict[str, str] = {}
        self._sent_generation = 0

    async def start(self, kernel: Kernel) -> None:
        """Listen for the gate."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._sync = kernel.find('sync')
        self._link = PairLink(MessageStamp(self._state.instance), Codec(GateReport))
        self._link.listen(self._state.settings.agent_link)
        self._sync.subscribe(self._send_generation)
        kernel.spawn(self._receive)

    async def stop(self, grace_s: float) -> None:
        """Close the link."""
        self._link.close()

    async def send(self, message: Message) -> None:
        """Send a message; a lost one is made good after the next report."""
        failure = await self._link.send(message)
        if failure is not None:
            log.debug('gate_message_not_sent', reason=failure.reason)

    async def _receive(self) -> None:
        while (message := await self._link.receive()) is not None:
            if isinstance(message, GateReport):
                await self._take_report(message)

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
        await self._send_generation(generation)

    async def _send_generation(self, generation: Generation) -> None:
        base = self._sent_generation
        for part in parts_of(generation, self._gate_digests, base):
            failure = await self._link.send(part)
            if failure is not None:
                log.debug('config_not_sent', reason=failure.reason)
                self._gate_digests = {}
                return
        self._gate_digests = generation.section_digests
        self._sent_generation = generation.number
