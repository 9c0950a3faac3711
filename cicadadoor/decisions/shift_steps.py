"""Plan one step of a shift, or return why none is possible now."""

import msgspec

from cicadadoor.config.model import Weights
from cicadadoor.config.operations import Forecast, Shift, Step
from cicadadoor.decisions.weights import (
    TOLERANCE,
    largest_move,
    move_weight,
    steering_of,
    weight_of,
)
from cicadadoor.errors import ErrorKind, Failure

MAX_AGE_S = 5.0
# Share of a region's slots that a step may plan to use.
USABLE_SHARE = 0.9
LINK_USABLE_SHARE = 0.8
# Moved requests cost this much more until the caches are warm.
COLD_CACHE_COST = 0.25
# A step that exceeds the capacity is tried again at these fractions of its size.
_STEP_FRACTIONS = (1.0, 0.5, 0.25, 0.125)


class RegionLoad:
    """Hold the load of one service in one region, in slots in use on average."""

    __slots__ = ('busy', 'bytes_per_s', 'slots')

    def __init__(
        self,
        busy: float = 0,
        slots: float = 0,
        bytes_per_s: float = 0,
    ) -> None:
        self.busy = busy
        self.slots = slots
        self.bytes_per_s = bytes_per_s


class Measurements:
    """Hold the reports of all gates; `missing` lists those without a recent report.

    `age_s` is the age of the oldest report, and `settled_generation` the lowest
    generation whose weights are fully in use.
    """

    __slots__ = ('age_s', 'link_bytes_per_s', 'loads', 'missing', 'settled_generation')

    def __init__(
        self,
        loads: dict[tuple[str, str], RegionLoad],
        link_bytes_per_s: dict[tuple[str, str], float],
        age_s: float,
        settled_generation: int,
        missing: list[str],
    ) -> None:
        self.loads = loads
        self.link_bytes_per_s = link_bytes_per_s
        self.age_s = age_s
        self.settled_generation = settled_generation
        self.missing = missing

    def load(self, service: str, region: str) -> RegionLoad:
        """Return the load of a service in a region."""
        return self.loads.get((service, region)) or RegionLoad()


class LastWeightChange:
    """Hold the last change of weights that the next step has to wait for."""

    __slots__ = ('generation', 'seen_s')

    def __init__(self, generation: int, seen_s: float) -> None:
        self.generation = generation
        self.seen_s = seen_s


class PlannedStep:
    """Hold a step and the complete weights section that applies it."""

    __slots__ = ('step', 'weights')

    def __init__(self, step: Step, weights: Weights) -> None:
        self.step = step
        self.weights = weights


def check_complete(
    last: LastWeightChange,
    interval_s: float,
    answer_ttl_s: float,
    measurements: Measurements,
    now_s: float,
) -> Failure | None:
    """Return None once the last change took effect and was measured afterwards."""
    settled_s = last.seen_s + answer_ttl_s
    if now_s < max(settled_s, last.seen_s + interval_s):
        return Failure(ErrorKind.NOT_READY, 'the last step is still taking effect')
    stale = check_fresh(measurements)
    if stale is not None:
        return stale
    if measurements.settled_generation < last.generation:
        return Failure(
            ErrorKind.NOT_READY,
            f'not every gate uses the weights of generation {last.generation} yet',
        )
    if now_s - measurements.age_s <= settled_s:
        return Failure(ErrorKind.NOT_READY, 'no load measured since the last step')
    return None


def check_fresh(measurements: Measurements) -> Failure | None:
    """Return MEASUREMENTS_STALE if load reports are missing or too old."""
    if measurements.missing:
        names = ', '.join(measurements.missing)
        return Failure(
            ErrorKind.MEASUREMENTS_STALE, f'no recent load report from {names}'
        )
    if measurements.age_s > MAX_AGE_S:
        return Failure(
            ErrorKind.MEASUREMENTS_STALE,
            f'the oldest load report is {measurements.age_s:.1f} s old; at most '
            f'{MAX_AGE_S} s are allowed',
        )
    return None


def plan_step(
    name: str,
    shift: Shift,
    weights: Weights,
    measurements: Measurements,
    link_capacity: dict[tuple[str, str], float],
) -> PlannedStep | Failure | None:
    """Return the next step, None if nothing is left to move, or the refusal."""
    left = {
        rule.home_region: weight_of(rule.weights, shift.source)
        for rule in weights.rules
        if rule.service == shift.service
    }
    movable = {
        home: weight - shift.keep_weight
        for home, weight in left.items()
        if weight - shift.keep_weight > TOLERANCE
    }
    if not movable:
        return None
    largest = min(shift.step_size, weights.max_step)
    if largest <= 0:
        return Failure(
            ErrorKind.CAP_EXCEEDED,
            f'a step of size {largest} moves nothing; set step_size and max_step '
            'above 0',
        )
    refusal: Failure | None = None
    for fraction in _STEP_FRACTIONS:
        amounts = {
            home: min(each, largest * fraction) for home, each in movable.items()
        }
        share = max(amount / left[home] for home, amount in amounts.items())
        forecast = _forecast(shift, measurements, share)
        refusal = _check_capacity(shift, forecast)
        if refusal is None:
            refusal = _check_links(shift, measurements, share, link_capacity)
        if refusal is None:
            return _build_step(name, shift, weights, amounts, forecast)
    return refusal


def check_step(name: str, before: Weights, after: Weights) -> Failure | None:
    """Return CAP_EXCEEDED unless `after` is one step of the shift from `before`."""
    wanted_steps = dict(before.shift_steps)
    wanted_steps[name] = wanted_steps.get(name, 0) + 1
    if after.shift_steps != wanted_steps or after.max_step != before.max_step:
        return Failure(
            ErrorKind.CAP_EXCEEDED,
            f'the change is not exactly one step of shift {name!r}',
        )
    return check_move(before, after, 1)


def check_move(before: Weights, after: Weights, steps: int) -> Failure | None:
    """Return CAP_EXCEEDED if a rule moves more than `steps` steps may move.

    The cap is that of the weights in force, not that of the change itself.
    """
    share, moved_rule = largest_move(
        steering_of(before),
        steering_of(after),
    )
    if moved_rule is None or share <= steps * before.max_step + TOLERANCE:
        return None
    service, home = moved_rule
    return Failure(
        ErrorKind.CAP_EXCEEDED,
        f'{share:.4f} of the callers of {home!r} would move for {service!r}; '
        f'at most {before.max_step} may move in each of {steps} steps',
    )


def steps_between(before: Weights, after: Weights) -> int:
    """Return the number of shift steps between two accepted weights sections."""
    return sum(
        max(0, number - before.shift_steps.get(name, 0))
        for name, number in after.shift_steps.items()
    )


def _forecast(shift: Shift, measurements: Measurements, share: float) -> Forecast:
    source = measurements.load(shift.service, shift.source)
    target = measurements.load(shift.service, shift.target)
    moved_load = source.busy * share
    return Forecast(
        receiver_load=target.busy,
        moved_load=moved_load * (1 + COLD_CACHE_COST),
        failure_share=_failure_share(shift, measurements, moved_load),
        limit=target.slots * USABLE_SHARE,
        age_s=measurements.age_s,
    )


def _failure_share(
    shift: Shift,
    measurements: Measurements,
    moved_load: float,
) -> float:
    # If another region fails, its load spreads over the rest in proportion to slots.
    service_loads = {
        region: load
        for (service, region), load in measurements.loads.items()
        if service == shift.service
    }
    all_slots = sum(load.slots for load in service_loads.values())
    own_slots = measurements.load(shift.service, shift.target).slots
    largest = 0.0
    for region, load in service_loads.items():
        others = all_slots - load.slots
        if region == shift.target or others <= 0:
            continue
        moved_away_load = moved_load if region == shift.source else 0.0
        largest = max(largest, (load.busy - moved_away_load) * own_slots / others)
    return largest


def _check_capacity(shift: Shift, forecast: Forecast) -> Failure | None:
    needed = forecast.receiver_load + forecast.moved_load + forecast.failure_share
    if needed <= forecast.limit:
        return None
    return Failure(
        ErrorKind.NO_CAPACITY,
        f'{shift.target} would need {needed:.1f} of {forecast.limit:.1f} slots: own '
        f'{forecast.receiver_load:.1f}, moved {forecast.moved_load:.1f}, failure of '
        f'another region {forecast.failure_share:.1f}',
    )


def _check_links(
    shift: Shift,
    measurements: Measurements,
    share: float,
    link_capacity: dict[tuple[str, str], float],
) -> Failure | None:
    # Callers near the source reach the target over the link between the two regions.
    moved_bytes = measurements.load(shift.service, shift.source).bytes_per_s * share
    for link in ((shift.source, shift.target), (shift.target, shift.source)):
        usable = link_capacity.get(link, 0) * LINK_USABLE_SHARE
        needed = measurements.link_bytes_per_s.get(link, 0) + moved_bytes
        if needed > usable:
            return Failure(
                ErrorKind.LINK_BUDGET_EXCEEDED,
                f'link {link[0]} to {link[1]} would carry {needed:.0f} of '
                f'{usable:.0f} usable bytes/s',
            )
    return None


def _build_step(
    name: str,
    shift: Shift,
    weights: Weights,
    amounts: dict[str, float],
    forecast: Forecast,
) -> PlannedStep | Failure:
    rules = []
    before = {}
    after = {}
    for rule in weights.rules:
        changed = rule.weights
        if rule.service == shift.service and rule.home_region in amounts:
            home = rule.home_region
            changed = move_weight(
                rule.weights, shift.source, shift.target, amounts[home]
            )
            before[home] = rule.weights
            after[home] = changed
        rules.append(msgspec.structs.replace(rule, weights=changed))
    number = weights.shift_steps.get(name, 0) + 1
    planned = msgspec.structs.replace(
        weights,
        rules=tuple(rules),
        shift_steps={**weights.shift_steps, name: number},
    )
    refusal = check_step(name, weights, planned)
    if refusal is not None:
        return refusal
    step = Step(number=number, before=before, after=after, forecast=forecast)
    return PlannedStep(step, planned)
