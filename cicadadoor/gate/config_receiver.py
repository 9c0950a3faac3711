"""Apply the configuration that the agent sends, and report the active one."""

from cicadadoor.config.view import SectionCache
from cicadadoor.decisions.withdrawn_keys import fingerprint, is_key_hash
from cicadadoor.errors import Failure
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.config_messages import WithdrawalUpdate
from cicadadoor.links.config_parts import GenerationAssembler
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.messages import ConfigUpdate, GateReport
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('config')

_REPORT_PERIOD_S = 0.5
_MAX_RESENT_KEYS = 10_000


class ConfigReceiver(Service):
    """Apply configuration updates; the last one stays active without the agent."""

    name = 'config_receiver'

    def __init__(self) -> None:
        self._state: GateState
        self._link: DaemonLink
        self._section_digests: dict[str, str] = {}
        self._assembler = GenerationAssembler()
        self._sections = SectionCache()
        self._received_keys: set[str] = set()
        self._digested_count = -1
        self._digest = ''

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to configuration updates and report periodically."""
        self._state = kernel.find('state')
        self._link = kernel.find('daemon_link')
        self._link.on(WithdrawalUpdate, self._apply_withdrawals)
        self._link.on(ConfigUpdate, self._apply)
        timer: TimerService = kernel.find('timer')
        timer.subscribe('gate_report', _REPORT_PERIOD_S, self.report)

    async def _apply_withdrawals(self, update: WithdrawalUpdate) -> None:
        state = self._state
        state.withdrawn_keys.update(filter(is_key_hash, update.key_hashes))
        self._received_keys.update(update.key_hashes)
        if not update.is_complete:
            return
        missing = sorted(state.withdrawn_keys - self._received_keys)
        self._received_keys = set()
        if missing:
            # The agent lost these keys when it restarted.
            await self._link.send(
                WithdrawalUpdate(key_hashes=missing[:_MAX_RESENT_KEYS])
            )
        if not state.knows_withdrawals:
            state.knows_withdrawals = True
            log.info('withdrawals_known', count=len(state.withdrawn_keys))

    async def _apply(self, update: ConfigUpdate) -> None:
        if not self._state.knows_withdrawals:
            log.info('config_update_before_withdrawals', generation=update.generation)
            return
        complete = self._assembler.add(
            update,
            self._state.view.generation if self._state.view else 0,
            self._section_digests,
        )
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
        if self._state.activate(view):
            self._section_digests = complete.section_digests
            await self.report()

    async def report(self) -> None:
        """Report the active configuration and the load to the agent."""
        view = self._state.view
        report = GateReport(
            gate=self._state.info(),
            generation=view.generation if view else 0,
            digest=view.digest if view else '',
            in_flight=self._state.in_flight,
            counters=self._state.counters,
            withdrawals=self._withdrawals_digest(),
        )
        await self._link.send(report)

    def _withdrawals_digest(self) -> str:
        if not self._state.knows_withdrawals:
            return ''
        keys = self._state.withdrawn_keys
        if len(keys) != self._digested_count:
            # Keys are never removed from the set, so its size shows a change.
            self._digested_count = len(keys)
            self._digest = fingerprint(keys)
        return self._digest
