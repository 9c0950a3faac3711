"""Put configuration that the agent sends in force, and report what is in use."""

from cicadadoor.config.view import SectionCache
from cicadadoor.errors import Failure
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.config_parts import Assembler, Generation
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.messages import ConfigUpdate, GateReport
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('config')

_REPORT_PERIOD_S = 0.5


class ConfigReceiver(Service):
    """Apply configuration updates; the gate goes on without the agent."""

    name = 'config_receiver'

    def __init__(self) -> None:
        self._state: GateState
        self._link: DaemonLink
        self._generation: Generation | None = None
        self._assembler = Assembler()
        self._sections = SectionCache()

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to configuration updates and report periodically."""
        self._state = kernel.find('state')
        self._link = kernel.find('daemon_link')
        self._link.on(ConfigUpdate, self._apply)
        timer: TimerService = kernel.find('timer')
        timer.subscribe('gate_report', _REPORT_PERIOD_S, self.report)

    async def _apply(self, update: ConfigUpdate) -> None:
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
            await self.report()

    async def report(self) -> None:
        """Tell the agent what is in use."""
        view = self._state.view
        report = GateReport(
            gate=self._state.info(),
            generation=view.generation if view else 0,
            digest=view.digest if view else '',
            in_flight=self._state.in_flight,
            counters=self._state.counters,
        )
        await self._link.send(report)
