"""Keep the agent running while its gate shuts down."""

import math

from cicadadoor.agent.state import AgentState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.messages import GateReport
from cicadadoor.timer import TimerService

# Long enough for a gate that was stopped at the same time to report it.
_INITIAL_WAIT_S = 1.0
_POLL_S = 0.1
# A gate reports twice a second; without reports for this long it has ended.
GATE_TIMEOUT_S = 2.0


class GateWatch(Service):
    """Delay the agent's stop until a gate that is shutting down has ended.

    Peers learn of the gate's shutdown through this agent. If the gate keeps running,
    the agent stops without waiting, because the gate works without it.
    """

    name = 'gate_watch'
    # Needs no timeout: the wait ends when the gate exits or stops reporting.
    leave_timeout_s = math.inf

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that hold the gate's reports."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')

    async def leave(self) -> None:
        """Wait until no gate that is shutting down needs this agent."""
        await self._timer.sleep(_INITIAL_WAIT_S)
        while self._gate_is_leaving():
            await self._timer.sleep(_POLL_S)

    def _gate_is_leaving(self) -> bool:
        report = self._state.gate_report
        if report is None or not _is_leaving(report):
            return False
        return self._timer.now_s() - self._state.gate_report_s < GATE_TIMEOUT_S


def _is_leaving(report: GateReport) -> bool:
    # A gate without a configuration takes no callers either, but is not leaving.
    return report.generation > 0 and not report.gate.takes_callers
