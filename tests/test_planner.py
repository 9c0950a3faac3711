"""Test shifts and drains with each kind of fault at each call to the store."""

import anyio
import msgspec
import pytest

from cicadadoor.config import chunks
from cicadadoor.config.acceptance import Submitter
from cicadadoor.config.operations import (
    Approval,
    Drain,
    DrainState,
    Hold,
    Scope,
    Shift,
    ShiftState,
)
from cicadadoor.decisions.shift_steps import (
    LastWeightChange,
    Measurements,
    check_complete,
)
from cicadadoor.decisions.weights import steering_of, weight_of
from cicadadoor.object_store.writes import ObjectWriter
from tests.utils.faulty_calls import FAULTS
from tests.utils.planning import TTL_S, Planning

CAP = 0.25
RUN_S = 60


def run(check, **arguments):
    """Run a check over a fresh store and return its result."""

    async def prepared():
        planning = Planning()
        await planning.start()
        return await check(planning, **arguments)

    return anyio.run(prepared)


async def weight_at_source(planning, service='kursbuchung', region='m'):
    """Return the remaining weight of a region."""
    steering = steering_of(await planning.weights())
    return sum(
        weight_of(pieces, region)
        for (name, _), pieces in steering.items()
        if name == service
    )


async def check_steps(planning, expected):
    """Assert the size limit of each step and the minimum time between steps."""
    moves = await planning.steps()
    assert max(moves, default=0) <= CAP + 1e-9
    assert sum(moves) <= expected + 1e-9
    changed_s = []
    before = planning.initial_weights
    for stored, at_s in zip(
        planning.store.roots, planning.store.root_times, strict=True
    ):
        after = await planning.weights(stored)
        if after != before:
            changed_s.append(at_s)
        before = after
    gaps = [
        later - earlier
        for earlier, later in zip(changed_s, changed_s[1:], strict=False)
    ]
    assert min(gaps, default=TTL_S) >= TTL_S


async def run_whole_shift(planning, fault='', call=0):
    """Run a shift to its end with a fault at one call."""
    await planning.shift()
    if fault:
        planning.store.faults[call] = fault
        planning.store.on_pause = lambda: run_second_planner(planning)
    await planning.run(RUN_S)
    await check_steps(planning, 1)
    shift = (await planning.operations(Shift).find('s')).operation
    assert shift.state is ShiftState.DONE, (fault, call, shift)
    assert shift.steps_done == 4
    assert await weight_at_source(planning) < 1e-9
    return planning.store.calls


async def run_second_planner(planning):
    """Run another planner while the first one is paused."""
    planning.store.faults.clear()
    await planning.run(16)


class TestShiftFaults:
    """Guard against duplicate steps, steps over the limit and stuck shifts."""

    @pytest.mark.parametrize('fault', FAULTS)
    def test_every_fault_at_every_call(self, fault):
        calls = run(run_whole_shift)
        for call in range(1, min(calls, 90)):
            run(run_whole_shift, fault=fault, call=call)

    def test_two_planners_do_not_repeat_a_step(self):
        async def check(planning):
            await planning.shift()
            first = await planning.planner()
            second = await planning.planner()
            for planner in (first, second):
                planner._lease.hold = always_held
            for _ in range(40):
                planning.timer.jump(1)
                contexts = [await first.read(), await second.read()]
                await second.advance(contexts[1])
                await first.advance(contexts[0])
            await check_steps(planning, 1)
            assert await weight_at_source(planning) < 1e-9

        run(check)

    def test_planner_between_two_reads_of_another(self):
        """A step of another planner must not be mistaken for replaced weights."""

        async def check(planning, call):
            await planning.shift()
            first = await planning.planner()
            second = await planning.planner()
            for planner in (first, second):
                planner._lease.hold = always_held
            planning.store.on_pause = second.tick
            for _ in range(45):
                planning.timer.jump(1)
                await second.read()
                planning.store.faults = {planning.store.calls + call: 'pause'}
                await first.tick()
            await check_steps(planning, 1)
            shift = (await planning.operations(Shift).find('s')).operation
            assert shift.state is ShiftState.DONE, (call, shift)

        for call in range(1, 16):
            run(check, call=call)

    def test_paused_planner_writes_nothing_after_a_takeover(self):
        """The measurements may be outdated even if the weights are unchanged."""

        async def check(planning):
            await planning.shift()
            paused = await planning.planner()
            await planning.run(4, paused)
            planning.loads.missing = {'n-1-0': 'n-1'}
            context = await paused.read()
            planning.loads.missing = {}
            context = await paused.read()
            planning.loads.busy['n'] = 19
            await planning.run(20)
            context.read_s = planning.timer.now_s()
            before = len(await planning.steps())
            await paused.advance(context)
            assert len(await planning.steps()) == before

        run(check)

    def test_outdated_plan_is_not_written(self):
        async def check(planning):
            await planning.shift()
            planner = await planning.planner()
            await planning.run(4, planner)
            context = await planner.read()
            planning.timer.jump(5)
            before = len(await planning.steps())
            await planner.advance(context)
            assert len(await planning.steps()) == before

        run(check)

    def test_shift_pauses_during_an_outage_and_continues_afterwards(self):
        async def check(planning):
            await planning.shift()
            planner = await planning.planner()
            await planning.run(5, planner)
            planning.store.is_down = True
            before = len(await planning.steps())
            await planning.run(30, planner)
            assert len(await planning.steps()) == before
            planning.store.is_down = False
            await planning.run(40, planner)
            assert await weight_at_source(planning) < 1e-9

        run(check)


async def always_held() -> bool:
    """Stand in for a lease that is always held."""
    return True


class TestStepConditions:
    """Guard against a step that the measurements do not allow."""

    @pytest.mark.parametrize(
        ('loads', 'reason'),
        [
            ({'age_s': 6}, 'measurements_stale'),
            ({'missing': {'n-1-0': 'n-1'}}, 'measurements_stale'),
            ({'settled': 0}, 'not_ready'),
            ({'busy': {'m': 4, 'n': 17.5, 'o': 1}}, 'no_capacity'),
            # Half of the load of the busiest other region has to fit as well.
            ({'busy': {'m': 4, 'n': 9, 'o': 18}}, 'no_capacity'),
            ({'bytes_per_s': 4e10}, 'link_budget_exceeded'),
        ],
    )
    def test_step_is_refused(self, loads, reason):
        async def check(planning):
            await planning.shift()
            for name, content in loads.items():
                setattr(planning.loads, name, content)
            await planning.run(20)
            assert not await planning.steps()
            shift = (await planning.operations(Shift).find('s')).operation
            assert shift.waits_for.startswith(reason)

        run(check)

    @pytest.mark.parametrize(('age_s', 'waits'), [(1.5, False), (3.5, True)])
    def test_measurement_has_to_be_newer_than_the_step(self, age_s, waits):
        """A report from before the step shows capacity that is in use by now."""
        measurements = Measurements({}, {}, age_s, 7, [])
        refusal = check_complete(LastWeightChange(7, 100), 0, TTL_S, measurements, 105)
        assert (refusal is not None) is waits

    def test_step_shrinks_to_what_fits(self):
        async def check(planning):
            await planning.shift()
            planning.loads.busy = {'m': 12, 'n': 10.1, 'o': 1}
            await planning.run(5)
            assert [round(move, 3) for move in await planning.steps()] == [0.125]

        run(check)

    def test_replaced_weights_stop_the_shift(self):
        """A shift must not continue silently after a submission reset the weights."""

        async def check(planning):
            await planning.shift()
            planner = await planning.planner()
            await planning.run(5, planner)
            accepted = (await planner.read()).accepted
            writer = ObjectWriter(planning.inner, 'operator')
            content = chunks.encode(planning.initial_weights)
            submitter = Submitter(planning.inner, writer)
            changed = {'weights': content}
            await submitter.submit_changes(accepted, changed, 'operator', 0)
            await planning.run(20, planner)
            shift = (await planning.operations(Shift).find('s')).operation
            assert shift.state is ShiftState.STOPPED

        run(check)


class TestOperatorPrecedence:
    """Guard against an automatic step after an operator's change was accepted."""

    @pytest.mark.parametrize('operation', ['hold_region', 'hold_service', 'reject'])
    def test_operator_change_at_every_call(self, operation):
        async def check(planning, call):
            await planning.shift()
            weights_after_change = []

            async def operate():
                if operation == 'reject':
                    shifts = planning.operations(Shift)
                    present = await shifts.find('s')
                    changed = await shifts.change(
                        's',
                        present.stored.version,
                        lambda shift: msgspec.structs.replace(
                            shift, state=ShiftState.REJECTED
                        ),
                    )
                    assert not hasattr(changed, 'reason'), changed
                else:
                    await set_hold(planning, operation)
                assert await planning.operations(Hold).fence() is None
                weights_after_change.append(await planning.weights())

            planning.store.faults[call] = 'pause'
            planning.store.on_pause = operate
            await planning.run(25)
            if weights_after_change:
                assert await planning.weights() == weights_after_change[0], call
            return bool(weights_after_change)

        reached = [run(check, call=call) for call in range(1, 80)]
        assert sum(reached) > 60

    def test_hold_stops_a_drain_at_every_call(self):
        async def check(planning, call):
            # Without load, the only failure domain of the region may be drained.
            planning.loads.busy['m'] = 0
            await planning.drain(Scope.FAILURE_DOMAIN, 'm-1', DrainState.SHIFTING)
            states = []

            async def operate():
                await set_hold(planning, 'hold_region')
                assert await planning.operations(Hold).fence() is None
                drain = await planning.operations(Drain).find('d')
                states.append(drain.operation.state)

            planning.store.faults[call] = 'pause'
            planning.store.on_pause = operate
            await planning.run(8)
            drain = (await planning.operations(Drain).find('d')).operation
            if states:
                assert drain.state is states[0], call
            return drain.state

        reached = [run(check, call=call) for call in range(1, 40)]
        assert set(reached) == {
            DrainState.SHIFTING,
            DrainState.LEAVING,
            DrainState.DONE,
        }


async def set_hold(planning, operation):
    """Set a hold on the source region or the service."""
    scope, target = Scope.REGION, 'm'
    if operation == 'hold_service':
        scope, target = Scope.SERVICE, 'kursbuchung'
    hold = Hold(
        author='bob',
        changed_by='bob',
        change='held',
        wall_s=0,
        scope=scope,
        target=target,
    )
    await planning.operations(Hold).create('h', hold)


class TestApproval:
    """Guard against a manual step that differs from the approved one."""

    def test_each_step_waits_for_approval_and_states_its_forecast(self):
        async def check(planning):
            await planning.shift(approval=Approval.MANUAL)
            planner = await planning.planner()
            shifts = planning.operations(Shift)
            for number in (1, 2):
                await planning.run(10, planner)
                present = await shifts.find('s')
                assert present.operation.state is ShiftState.PROPOSED
                assert present.operation.proposal.number == number
                assert present.operation.proposal.forecast.limit == 18
                assert len(await planning.steps()) == number - 1
                await shifts.change('s', present.stored.version, approve)
                # A small change of load must not invalidate the approval.
                planning.loads.busy['n'] += 0.1
                await planning.run(1, planner)
                assert len(await planning.steps()) == number

        run(check)

    def test_other_weights_need_another_approval(self):
        async def check(planning):
            await planning.shift(approval=Approval.MANUAL)
            planner = await planning.planner()
            await planning.run(10, planner)
            shifts = planning.operations(Shift)
            present = await shifts.find('s')
            await shifts.change('s', present.stored.version, approve)
            planning.loads.busy = {'m': 12, 'n': 10.1, 'o': 1}
            await planning.run(1, planner)
            after = (await shifts.find('s')).operation
            assert after.state is ShiftState.PROPOSED
            assert not await planning.steps()

        run(check)


def approve(shift):
    """Approve the proposed step."""
    return msgspec.structs.replace(shift, state=ShiftState.APPROVED)


async def run_whole_drain(planning, scope, target, state, fault='', call=0):
    """Run a drain to its end with a fault at one call."""
    await planning.drain(scope, target, state)
    if fault:
        planning.store.faults[call] = fault
        planning.store.on_pause = lambda: run_second_planner(planning)
    await planning.run(RUN_S)
    await check_steps(planning, 2)
    drain = (await planning.operations(Drain).find('d')).operation
    assert drain.state is DrainState.DONE, (fault, call, drain)
    return planning.store.calls


class TestDrains:
    """Guard against drains that end too early, get stuck, or cut off traffic."""

    @pytest.mark.parametrize('fault', FAULTS)
    @pytest.mark.parametrize(
        ('scope', 'target', 'state'),
        [
            (Scope.BACKEND_SERVER, 'kb-m-1-0', DrainState.LEAVING),
            (Scope.REGION, 'm', DrainState.SHIFTING),
        ],
    )
    def test_every_fault_at_every_call(self, scope, target, state, fault):
        drain_fields = {'scope': scope, 'target': target, 'state': state}
        calls = run(run_whole_drain, **drain_fields)
        for call in range(1, min(calls, 60), 1 if scope is Scope.REGION else 2):
            run(run_whole_drain, fault=fault, call=call, **drain_fields)

    @pytest.mark.parametrize(
        ('loads', 'left'),
        [
            ({'in_flight': {'kb-m-1-0': 3}}, 'in flight: 3'),
            ({'orders_version': 1}, 'not confirmed'),
            ({'missing': {'m-1-0': 'm-1'}}, 'no report from'),
        ],
    )
    def test_deadline_reports_what_is_left(self, loads, left):
        async def check(planning):
            for name, content in loads.items():
                setattr(planning.loads, name, content)
            server = (Scope.BACKEND_SERVER, 'kb-m-1-0', DrainState.LEAVING)
            await planning.drain(*server, within_s=10)
            await planning.run(8)
            drains = planning.operations(Drain)
            assert (await drains.find('d')).operation.state is DrainState.LEAVING
            await planning.run(15)
            drain = (await drains.find('d')).operation
            assert drain.state is DrainState.FAILED
            assert drain.left.startswith(left)

        run(check)

    @pytest.mark.parametrize(
        ('scope', 'target'),
        [(Scope.REGION, 'm'), (Scope.FAILURE_DOMAIN, 'm-1')],
    )
    def test_target_without_capacity_elsewhere_is_not_drained(self, scope, target):
        async def check(planning):
            planning.loads.busy = {'m': 15, 'n': 17, 'o': 17}
            await planning.drain(scope, target, DrainState.SHIFTING, within_s=10)
            await planning.run(25)
            drain = (await planning.operations(Drain).find('d')).operation
            assert drain.state is DrainState.ABANDONED
            assert drain.left
            assert not await planning.steps()

        run(check)
