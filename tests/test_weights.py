"""Test how many callers a change of weights moves, and that gates keep to the cap."""

import anyio
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadadoor.config.model import RegionWeight
from cicadadoor.decisions.weights import (
    WeightRamp,
    move_towards,
    move_weight,
    moved_share,
    weight_of,
)
from cicadadoor.gate import state as state_module
from cicadadoor.gate.state import GateState
from tests.utils.gates import FakeKernel, Settings, domain_deployment, view_of
from tests.utils.manual_timer import ManualTimer

REGIONS = ('a', 'b', 'c')


@st.composite
def rules(draw):
    """Draw weights that add up to 1."""
    parts = draw(st.lists(st.integers(0, 20), min_size=1, max_size=5))
    total = sum(parts) or 1
    regions = [draw(st.sampled_from(REGIONS)) for _ in parts]
    return tuple(
        RegionWeight(region=region, weight=part / total)
        for region, part in zip(regions, parts, strict=True)
    )


class TestMoved:
    """Guard against a cap on weights that ignores callers moved by boundaries."""

    def test_shifted_boundary_counts(self):
        """Shifting 0.1 of weight from a to c by boundaries moves 0.2 of the callers."""
        before = weights(a=0.5, b=0.3, c=0.2)
        after = weights(a=0.4, b=0.3, c=0.3)
        assert abs(moved_share(before, after, 'a') - 0.2) < 1e-9
        assert (
            abs(moved_share(before, move_weight(before, 'a', 'c', 0.1), 'a') - 0.1)
            < 1e-9
        )

    @settings(derandomize=True, max_examples=300)
    @given(rules(), st.sampled_from(REGIONS), st.sampled_from(REGIONS), st.floats(0, 1))
    def test_take_moves_exactly_the_amount(self, before, source, target, amount):
        after = move_weight(before, source, target, amount)
        wanted = 0.0 if source == target else min(amount, weight_of(before, source))
        assert abs(moved_share(before, after, 'a') - wanted) < 1e-6
        if wanted:
            gain = weight_of(after, target) - weight_of(before, target)
            assert abs(gain - wanted) < 1e-6

    @settings(derandomize=True, max_examples=300)
    @given(rules(), rules(), st.floats(0.05, 1))
    def test_approach_stays_under_the_cap_and_arrives(self, before, after, cap):
        present = before
        for _ in range(25):
            following = move_towards(present, after, 'a', cap)
            assert moved_share(present, following, 'a') <= cap + 1e-6
            present = following
        assert moved_share(present, after, 'a') < 1e-6


class TestRamp:
    """Guard against a gate that makes several missed steps at once."""

    def test_cut_off_gate_catches_up_in_capped_steps(self):
        ramp = WeightRamp(6)
        key = ('s', 'a')
        ramp.set_target({key: weights(a=1)}, 0.1)
        present = ramp.advance(0)[key]
        assert ramp.is_settled
        ramp.set_target({key: weights(a=0.6, b=0.4)}, 0.1)
        moves = []
        for second in range(100, 140):
            following = ramp.advance(second)[key]
            if following != present:
                moves.append((second, round(moved_share(present, following, 'a'), 6)))
            present = following
        assert moves == [(100, 0.1), (106, 0.1), (112, 0.1), (118, 0.1)]
        assert ramp.is_settled

    def test_first_weights_are_used_at_once(self):
        ramp = WeightRamp(6)
        ramp.set_target({('s', 'a'): weights(b=1)}, 0.1)
        assert ramp.advance(0)[('s', 'a')] == weights(b=1)


class TestGateAdoption:
    """Guard against an accepted shift above the cap, whatever fault caused it."""

    def test_over_cap_is_logged_and_ramped(self, monkeypatch):
        warnings = []
        monkeypatch.setattr(
            state_module.log.__class__,
            'warning',
            lambda log, event, **fields: warnings.append(event),
        )

        async def run() -> None:
            timer = ManualTimer()
            kernel = FakeKernel()
            kernel.register(timer)
            state = GateState(Settings('h', 'm', 'm-1'))
            await state.start(kernel)
            deployment = domain_deployment({'m-1': ('m', 1), 'n-1': ('n', 1)})
            state.activate(view_of(deployment))
            over_cap = view_of(deployment, 2)
            rule = (RegionWeight(region='n', weight=1.0),)
            over_cap.steering = {key: rule for key in over_cap.steering}
            steps = {'s': 1}
            changed = tuple(
                msgspec.structs.replace(each, weights=rule)
                for each in over_cap.weights.rules
            )
            over_cap.weights = msgspec.structs.replace(
                over_cap.weights,
                rules=changed,
                shift_steps=steps,
            )
            state.activate(over_cap)
            in_use = state.view.steering['kursbuchung', 'm']
            assert abs(weight_of(in_use, 'n') - 0.1) < 1e-9
            assert state.settled_generation == 1
            await timer.advance(70)
            in_use = state.view.steering['kursbuchung', 'm']
            assert weight_of(in_use, 'n') == 1
            assert state.settled_generation == 2

        anyio.run(run)
        assert warnings == ['shift_over_cap']


def weights(**parts: float):
    """Build weights from keyword arguments."""
    return tuple(
        RegionWeight(region=region, weight=part) for region, part in parts.items()
    )
