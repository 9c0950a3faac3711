"""Advance shifts step by step."""

from typing import Any

import msgspec

from cicadadoor.agent.plan_context import PlanContext, StoredOperation
from cicadadoor.agent.state import AgentState
from cicadadoor.config import chunks
from cicadadoor.config.acceptance import ROOT_KIND, Submitter, read_root
from cicadadoor.config.merge import WEIGHTS_SECTION
from cicadadoor.config.operations import (
    Approval,
    Shift,
    ShiftState,
    Step,
    find_blocking_hold,
)
from cicadadoor.decisions import shift_steps
from cicadadoor.decisions.shift_steps import PlannedStep
from cicadadoor.decisions.weights import moved_share
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.object_store.base import StoredObject
from cicadadoor.object_store.writes import ObjectWriter
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('planner')

_MS_PER_S = 1000
# Added to the lifetime of look-up answers. A gate moves to new weights in steps that
# are at least the same sum apart.
_TTL_MARGIN_S = 1.0
# A plan based on older data is discarded, as the planner may have been paused.
MAX_PLAN_AGE_S = 2.0


class ShiftRunner:
    """Plan, propose and write the steps of shifts."""

    def __init__(
        self,
        state: AgentState,
        timer: TimerService,
        writer: ObjectWriter,
    ) -> None:
        self._state = state
        self._timer = timer
        self._writer = writer
        self._author = f'planner at {state.settings.host}'

    async def advance(
        self, stored_shift: StoredOperation[Shift], context: PlanContext
    ) -> bool:
        """Advance a shift; return whether the root may have changed."""
        shift = stored_shift.operation
        if not shift.is_open:
            return False
        written = context.weights.shift_steps.get(stored_shift.name, 0)
        if written == shift.steps_done + 1:
            # A planner wrote the weights but ended before it updated the shift.
            await self._record_step(stored_shift, shift.proposal)
            return False
        if written != shift.steps_done:
            if await self._is_current(context):
                await self._stop(stored_shift, written)
            return False
        planned = self.plan(stored_shift.name, _limit_to_proposal(shift), context)
        if planned is None:
            await self._update(
                stored_shift, 'all steps are done', state=ShiftState.DONE
            )
            return False
        if isinstance(planned, Failure):
            await self._record_wait(stored_shift, planned)
            return False
        if shift.approval is Approval.MANUAL and not _is_approved(shift, planned):
            await self._propose(stored_shift, planned.step)
            return False
        return await self._execute_step(stored_shift, planned, context)

    def plan(
        self,
        name: str,
        shift: Shift,
        context: PlanContext,
    ) -> PlannedStep | Failure | None:
        """Return the next step, None after the last one, or why it has to wait."""
        hold = find_blocking_hold(
            context.holds,
            service=shift.service,
            regions={shift.source, shift.target},
        )
        if hold is not None:
            return Failure(
                ErrorKind.OPERATION_HELD,
                f'{hold.scope.value} {hold.target} is held by {hold.author}',
            )
        if shift.service not in context.last_changes:
            return Failure(ErrorKind.UNKNOWN_SERVICE, f'no service {shift.service!r}')
        interval_s = shift.interval_s if shift.steps_done else 0.0
        refusal = self.check_settled(shift.service, interval_s, context)
        if refusal is not None:
            return refusal
        return shift_steps.plan_step(
            name,
            shift,
            context.weights,
            context.measurements,
            context.link_capacity(),
        )

    def check_settled(
        self,
        service: str,
        interval_s: float,
        context: PlanContext,
    ) -> Failure | None:
        """Return None once earlier weight changes have settled, else why to wait."""
        now_s = self._timer.now_s()
        ttl_s = self._state.settings.answer_ttl_ms / _MS_PER_S + _TTL_MARGIN_S
        own = shift_steps.check_complete(
            context.last_weight_change(service),
            interval_s,
            ttl_s,
            context.measurements,
            now_s,
        )
        if own is not None:
            return own
        return shift_steps.check_complete(
            context.latest_weight_change(),
            0,
            ttl_s,
            context.measurements,
            now_s,
        )

    async def write(
        self,
        name: str,
        planned: PlannedStep,
        context: PlanContext,
    ) -> Failure | None:
        """Write the weights of a step unless the root has changed since it was read."""
        refusal = shift_steps.check_step(name, context.weights, planned.weights)
        if refusal is not None:
            return refusal
        writer = _AgeCheckedWriter(self._state, self._timer, context.read_s)
        submitter = Submitter(self._state.store, writer)
        accepted = await submitter.submit_changes(
            context.accepted,
            {WEIGHTS_SECTION: chunks.encode(planned.weights)},
            self._author,
            self._timer.wall_s(),
        )
        if isinstance(accepted, Failure):
            return accepted
        log.info(
            'shift_step',
            shift=name,
            step=planned.step.number,
            generation=accepted.root.generation,
        )
        return None

    async def _is_current(self, context: PlanContext) -> bool:
        # Another planner may have written a step between the reads of the root and
        # of the shift, which would look like replaced weights.
        current = await read_root(self._state.store)
        if isinstance(current, Failure):
            return False
        return current.stored.version == context.accepted.stored.version

    async def _execute_step(
        self,
        stored_shift: StoredOperation[Shift],
        planned: PlannedStep,
        context: PlanContext,
    ) -> bool:
        refusal = await self.write(stored_shift.name, planned, context)
        if refusal is not None:
            log.warning(
                'shift_step_failed', shift=stored_shift.name, reason=refusal.reason
            )
            return True
        await self._record_step(stored_shift, planned.step)
        return True

    async def _record_step(
        self, stored_shift: StoredOperation[Shift], step: Step | None
    ) -> None:
        shift = stored_shift.operation
        number = shift.steps_done + 1
        await self._update(
            stored_shift,
            f'step {number} is made',
            state=ShiftState.ACTIVE,
            steps_done=number,
            last_step=step,
            proposal=None,
            earliest_next_wall_s=self._timer.wall_s() + shift.interval_s,
            waits_for='',
        )

    async def _propose(self, stored_shift: StoredOperation[Shift], step: Step) -> None:
        current = stored_shift.operation.proposal
        is_same = current is not None and _is_same_change(current, step)
        if is_same and stored_shift.operation.state is not ShiftState.ACTIVE:
            return
        await self._update(
            stored_shift,
            f'step {step.number} is proposed',
            state=ShiftState.PROPOSED,
            proposal=step,
            waits_for='approval',
        )

    async def _record_wait(
        self, stored_shift: StoredOperation[Shift], reason: Failure
    ) -> None:
        # Measured values vary constantly, so only a new kind of reason is written.
        if stored_shift.operation.waits_for.partition(':')[0] == reason.kind.value:
            return
        log.info('shift_waits', shift=stored_shift.name, reason=reason.reason)
        waits_for = f'{reason.kind.value}: {reason.reason}'
        await self._update(stored_shift, f'waits, {waits_for}', waits_for=waits_for)

    async def _stop(self, stored_shift: StoredOperation[Shift], written: int) -> None:
        shift = stored_shift.operation
        reason = (
            f'the accepted weights are at step {written}, not {shift.steps_done}; '
            'they were replaced by a submission'
        )
        log.warning('shift_stopped', shift=stored_shift.name, reason=reason)
        await self._update(stored_shift, reason, state=ShiftState.STOPPED, waits_for='')

    async def _update(
        self, stored_shift: StoredOperation[Shift], change: str, **fields: Any
    ) -> None:
        changed = msgspec.structs.replace(
            stored_shift.operation,
            changed_by=self._author,
            change=change,
            wall_s=self._timer.wall_s(),
            **fields,
        )
        stored = await self._writer.update(
            stored_shift.stored, msgspec.json.encode(changed)
        )
        if isinstance(stored, Failure):
            # Either an operator changed the shift first, or the next round repairs it.
            log.info('shift_not_updated', shift=stored_shift.name, reason=stored.reason)


class _AgeCheckedWriter(ObjectWriter):
    """Reject replacing the root once the plan exceeds its maximum age."""

    def __init__(self, state: AgentState, timer: TimerService, read_s: float) -> None:
        super().__init__(state.store, state.instance)
        self._timer = timer
        self._read_s = read_s

    async def update(
        self,
        current: StoredObject,
        body: bytes,
    ) -> StoredObject | Failure:
        """Replace the body; MEASUREMENTS_STALE for the root if the plan is too old."""
        age_s = self._timer.now_s() - self._read_s
        if current.kind == ROOT_KIND and age_s > MAX_PLAN_AGE_S:
            return Failure(
                ErrorKind.MEASUREMENTS_STALE,
                f'plan is {age_s:.1f} s old, at most {MAX_PLAN_AGE_S} s are allowed',
            )
        return await super().update(current, body)


def _is_approved(shift: Shift, planned: PlannedStep) -> bool:
    if shift.state is not ShiftState.APPROVED or shift.proposal is None:
        return False
    return _is_same_change(shift.proposal, planned.step)


def _is_same_change(one: Step, other: Step) -> bool:
    if one.number != other.number:
        return False
    return one.before == other.before and one.after == other.after


def _limit_to_proposal(shift: Shift) -> Shift:
    """Limit the step size to that of the proposal an operator was asked to approve."""
    if shift.proposal is None:
        return shift
    size = max(
        moved_share(before, shift.proposal.after[home], home)
        for home, before in shift.proposal.before.items()
    )
    return msgspec.structs.replace(shift, step_size=min(shift.step_size, size))
