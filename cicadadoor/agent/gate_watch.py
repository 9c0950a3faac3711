"""Keep the agent up while its gate leaves."""

import math

from cicadadoor.agent.state import AgentState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.messages import GateReport
from cicadadoor.timer import TimerService

# A gate that was told to stop at the same time has reported it by then.
_INITIAL_WAIT_S = 1.0
_POLL_S = 0.1
# A gate reports twice a second; after this it is taken as gone.
GATE_TIMEOUT_S = 2.0


class GateWatch(Service):
    """Tell peers of the gate's departure until the gate has gone.

    A gate that stays is left alone: it goes on without the agent.
    """

    name = 'gate_watch'
    # A gate that ends or falls silent is waited for no longer.
    leave_timeout_s = math.inf

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService

    async def start(self, kernel: Kernel) -> None:
        """Find the gate's reports."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')

    async def leave(self) -> None:
        """Return when no gate that is about to end needs this agent."""
        await self._timer.sleep(_INITIAL_WAIT_S)
        while self._gate_is_leaving():
            await self._timer.sleep(_POLL_S)

    def _gate_is_leaving(self) -> bool:
        report = self._state.gate_report
        if report is None or not _is_leaving(report):
            return False
        return self._timer.now_s() - self._state.gate_report_s < GATE_TIMEOUT_S


def _is_leaving(report: GateReport) -> bool:
    # A gate without a configuration takes no callers either.
    return report.generation > 0 and not report.gate.takes_callers
