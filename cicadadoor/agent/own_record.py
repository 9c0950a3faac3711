"""Maintain the membership record of this host."""

import msgspec

from cicadadoor.agent.state import AgentState
from cicadadoor.links.membership_messages import (
    SHORT_DIGEST_LENGTH,
    MemberRecord,
    Sighting,
)
from cicadadoor.links.messages import GateInfo
from cicadadoor.timer import TimerService

GATE_VALID_S = 10.0
_MS_PER_S = 1000


class OwnRecord:
    """Hold the record; raise its incarnation whenever it changes."""

    def __init__(self, state: AgentState, timer: TimerService) -> None:
        settings = state.settings
        self._state = state
        self._timer = timer
        self.record = MemberRecord(
            host=settings.host,
            instance=state.instance,
            # Higher than that of the previous process, which peers may still hold.
            incarnation=int(timer.wall_s() * _MS_PER_S),
            peer_address=str(settings.agent_peers),
            failure_domain=settings.failure_domain,
            region=settings.region,
        )

    def refresh(self) -> None:
        """Update the record from the last report of the gate."""
        gate = self._live_gate()
        if gate != self.record.gate:
            self._replace(gate, self.record.incarnation + 1)

    def refute(self, incarnation: int, instance: str) -> None:
        """Supersede the record of an earlier process of this host."""
        is_other = instance != self.record.instance
        if is_other and incarnation > self.record.incarnation:
            self._replace(self.record.gate, incarnation + 1)

    def sighting(self) -> Sighting:
        """Return the generation that the gate uses; 0 without a recent report."""
        report = self._state.gate_report
        is_heard = self._live_gate() is not None
        return Sighting(
            self.record.host,
            self.record.incarnation,
            0,
            report.generation if is_heard else 0,
            report.digest[:SHORT_DIGEST_LENGTH] if is_heard else '',
        )

    def _live_gate(self) -> GateInfo | None:
        report = self._state.gate_report
        age_s = self._timer.now_s() - self._state.gate_report_s
        return report.gate if report and age_s < GATE_VALID_S else None

    def _replace(self, gate: GateInfo | None, incarnation: int) -> None:
        self.record = msgspec.structs.replace(
            self.record,
            gate=gate,
            incarnation=incarnation,
        )
