"""Take configuration and grants from the agent of this host, and report to it."""

from cicadadoor.config.view import SectionCache
from cicadadoor.errors import Failure
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.config_parts import Assembler, Generation
from cicadadoor.links.messages import (
    Codec,
    ConfigUpdate,
    GateReport,
    Message,
)
from cicadadoor.links.transport import MessageStamp, PairLink
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('agent_link')

_REPORT_PERIOD_S = 0.5


class AgentLink(Service):
    """Apply what the agent sends; the gate goes on without it."""

    name = 'agent_link'

    def __init__(self) -> None:
        self._state: GateState
        self._link: PairLink
        self._generation: Generation | None = None
        self._assembler = Assembler()
        self._sections = SectionCache()

    async def start(self, kernel: Kernel) -> None:
        """Connect to the agent, now or when it is there."""
        self._state = kernel.find('state')
        timer: TimerService = kernel.find('timer')
        self._link = PairLink(MessageStamp(self._state.instance), Codec(ConfigUpdate))
        self._link.dial(self._state.settings.agent_link)
        kernel.spawn(self._receive)
        timer.subscribe('gate_report', _REPORT_PERIOD_S, self._report)

    async def stop(self, grace_s: float) -> None:
        """Close the link."""
        self._link.close()

    async def _receive(self) -> None:
        while (message := await self._link.receive()) is not None:
            self._apply(message)

    def _apply(self, message: Message) -> None:
        if isinstance(message, ConfigUpdate):
            self._apply_config(message)

    def _apply_config(self, update: ConfigUpdate) -> None:
        complete = self._assembler.add(update, self._generation)
        if complete is None:
            return
        if isinstance(complete, Failure):
            log.info('config_update_ignored', reason=complete.reason)
            return
        view = self._sections.build(
            complete.number,
            complete.section_digests,
            complete.contents,
        )
        if isinstance(view, Failure):
            log.warning('config_update_malformed', reason=view.reason)
            return
        if self._state.adopt(view):
            self._generation = complete

    async def _report(self) -> None:
        view = self._state.view
        report = GateReport(
            generation=view.generation if view else 0,
            digest=view.digest if view else '',
            in_flight=self._state.in_flight,
            counters=self._state.counters,
        )
        failure = await self._link.send(report)
        if failure is not None:
            log.debug('report_not_sent', reason=failure.reason)
