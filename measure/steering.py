"""Compare balancing policies and shift variants in simulations with fixed seeds.

Run `python -m measure.steering`; each result is one JSON line.
"""

import heapq
import random
from collections.abc import Callable

from cicadadoor.config.model import RegionWeight, SteeringRule, Weights
from cicadadoor.config.operations import Approval, Shift
from cicadadoor.decisions import shift_steps
from cicadadoor.decisions.balancing import Candidate, ServerLoad, choose, seat_share
from cicadadoor.decisions.shift_steps import LastWeightChange, Measurements, RegionLoad
from cicadadoor.decisions.weights import weight_of
from measure.results import Results

SEED = 20_261
SERVERS = 12
SLOTS = 8
GATES = 4
MEAN_SERVICE_TIME_S = 0.1
SLOW_SERVER_FACTOR = 2.0
ARRIVALS_PER_S = 0.7 * SERVERS * SLOTS / MEAN_SERVICE_TIME_S
BALANCING_DURATION_S = 30.0
REPORT_PERIOD_S = 1.0


class Gate:
    """Hold one gate's view of the backend servers."""

    def __init__(self, number: int, random_source: random.Random) -> None:
        self.number = number
        self.random = random_source
        self.last_number = number
        self.candidates = [
            Candidate(
                f's{server}',
                seat_share(SLOTS, [number], GATES, f's{server}'),
                ServerLoad(),
            )
            for server in range(SERVERS)
        ]


Policy = Callable[[Gate, float], int | None]


def pick_random(gate: Gate, now_s: float) -> int:
    """Choose a random server."""
    return gate.random.randrange(SERVERS)


def pick_round_robin(gate: Gate, now_s: float) -> int:
    """Choose the servers in turn."""
    gate.last_number += 1
    return gate.last_number % SERVERS


def pick_reported(gate: Gate, now_s: float) -> int:
    """Choose a server with the lowest reported load."""
    least = min(each.load.reported for each in gate.candidates)
    best = [
        number
        for number, each in enumerate(gate.candidates)
        if each.load.reported == least
    ]
    return gate.random.choice(best)


def pick_two_choices(gate: Gate, now_s: float) -> int | None:
    """Choose as the gate does, or return None if the gate has no free slot."""
    chosen = choose(gate.candidates, now_s, gate.random)
    return None if chosen is None else gate.candidates.index(chosen)


POLICIES: dict[str, Policy] = {
    'random': pick_random,
    'round_robin': pick_round_robin,
    'reported_load': pick_reported,
    'two_choices': pick_two_choices,
}


def measure_balancing(results: Results) -> None:
    """Compare the peak of requests in flight at one server with its slots."""
    for name, policy in POLICIES.items():
        for misreporting_servers in (0, 2):
            simulation = BalancingSimulation(policy, misreporting_servers)
            simulation.run()
            results.add(
                'balancing',
                f'{name}, {"misleading" if misreporting_servers else "honest"} load',
                seed=SEED,
                slots=SLOTS,
                peak_in_flight=max(simulation.peak),
                over_slots_share=simulation.over_slots / simulation.arrived,
                refused_share=simulation.refused / simulation.arrived,
            )


class BalancingSimulation:
    """Simulate several gates that send requests to servers, one of which is slow.

    The first `misreporting_servers` of them always report a load of 0. A server accepts
    every request, even beyond its slots.
    """

    def __init__(self, policy: Policy, misreporting_servers: int) -> None:
        self._policy = policy
        self._misreporting_servers = misreporting_servers
        self._random = random.Random(SEED)
        self._gates = [
            Gate(number, random.Random(SEED + number)) for number in range(GATES)
        ]
        self._in_flight = [0 for _ in range(SERVERS)]
        self.peak = [0 for _ in range(SERVERS)]
        self.arrived = 0
        self.over_slots = 0
        self.refused = 0
        self._ends: list[tuple[float, int, int, float]] = []

    def run(self) -> None:
        """Run for `BALANCING_DURATION_S` of simulated time."""
        now_s = 0.0
        next_report_s = 0.0
        while now_s < BALANCING_DURATION_S:
            now_s += self._random.expovariate(ARRIVALS_PER_S)
            self._finish_until(now_s)
            if now_s >= next_report_s:
                next_report_s += REPORT_PERIOD_S
                self._report(now_s)
            self._arrive(now_s)

    def _arrive(self, now_s: float) -> None:
        self.arrived += 1
        gate = self._random.choice(self._gates)
        server = self._policy(gate, now_s)
        if server is None:
            self.refused += 1
            return
        self.peak[server] = max(self.peak[server], self._in_flight[server] + 1)
        self._in_flight[server] += 1
        self.over_slots += int(self._in_flight[server] > SLOTS)
        gate.candidates[server].load.in_flight += 1
        slowdown = SLOW_SERVER_FACTOR if server == SERVERS - 1 else 1.0
        # Requests beyond the slots share them.
        slowdown *= max(1.0, self._in_flight[server] / SLOTS)
        took_s = self._random.expovariate(1 / MEAN_SERVICE_TIME_S) * slowdown
        heapq.heappush(self._ends, (now_s + took_s, server, gate.number, took_s))

    def _finish_until(self, now_s: float) -> None:
        while self._ends and self._ends[0][0] <= now_s:
            _, server, gate, took_s = heapq.heappop(self._ends)
            self._in_flight[server] -= 1
            candidate = self._gates[gate].candidates[server]
            load = candidate.load
            load.in_flight -= 1
            load.note_latency(took_s)

    def _report(self, now_s: float) -> None:
        for server, in_flight in enumerate(self._in_flight):
            reported_load = (
                0 if server < self._misreporting_servers else in_flight / SLOTS
            )
            for gate in self._gates:
                gate.candidates[server].load.note_report(reported_load, now_s)


REGIONS = ('a', 'b', 'c')
CAPACITY = 100.0
INITIAL_LOADS = {'a': 45.0, 'b': 38.0, 'c': 8.0}
MAX_STEP = 0.1
TTL_S = 5.0
REPORT_LAG_S = 2.0
COLD_S = 10.0
COLD_EXTRA_LOAD = 0.5
DRAINED_SHARE = 0.999
SHIFT_DURATION_S = 400
TICK_S = 0.5
CAPPED_BY_MOVE = 'capped by what moved'
CAPPED_BY_REQUEST = 'capped by request'
UNCAPPED = 'uncapped'


class ShiftSimulation:
    """Simulate a shift from region a to b with cached look-ups and cold caches.

    Callers follow new weights evenly over the time-to-live of a look-up. Moved load
    costs more until the caches are warm; measurements lag by `REPORT_LAG_S`.
    """

    def __init__(self, variant: str) -> None:
        self._variant = variant
        self._weights = Weights(
            rules=(
                SteeringRule(
                    service='s',
                    home_region='a',
                    weights=(RegionWeight(region='a', weight=1.0),),
                ),
            ),
            max_step=1.0 if variant == UNCAPPED else MAX_STEP,
        )
        self._history: list[tuple[float, float]] = [(-1000.0, 0.0)]
        self._last = LastWeightChange(0, -1000.0)
        self._shift = Shift(
            author='measure',
            changed_by='measure',
            change='',
            wall_s=0,
            service='s',
            source='a',
            target='b',
            step_size=self._weights.max_step,
            interval_s=0,
            approval=Approval.AUTOMATIC,
        )
        self.peak_share = 0.0
        self.drained_s: float | None = None
        self.least_headroom = 1.0

    def run(self) -> None:
        """Run for `SHIFT_DURATION_S` of simulated time."""
        for tick in range(int(SHIFT_DURATION_S / TICK_S)):
            now_s = tick * TICK_S
            self._plan(now_s)
            load = self._load('b', now_s)
            self.peak_share = max(self.peak_share, load / CAPACITY)
            failover_load = max(self._load('a', now_s), self._load('c', now_s)) / 2
            headroom = (CAPACITY - load - failover_load) / CAPACITY
            self.least_headroom = min(self.least_headroom, headroom)
            moved, _ = self._moved_and_cold_shares(now_s)
            if self.drained_s is None and moved > DRAINED_SHARE:
                self.drained_s = now_s

    def _plan(self, now_s: float) -> None:
        measured_s = now_s - REPORT_LAG_S
        loads = {
            ('s', region): RegionLoad(self._load(region, measured_s), CAPACITY)
            for region in REGIONS
        }
        links = {('a', 'b'): 1e9, ('b', 'a'): 1e9}
        measurements = Measurements(loads, {}, REPORT_LAG_S, 0, [])
        if self._variant == CAPPED_BY_MOVE:
            if shift_steps.check_complete(self._last, 0, TTL_S, measurements, now_s):
                return
        elif not now_s.is_integer():
            return
        planned = shift_steps.plan_step(
            'shift',
            self._shift,
            self._weights,
            measurements,
            links,
        )
        if isinstance(planned, shift_steps.PlannedStep):
            self._weights = planned.weights
            self._last = LastWeightChange(0, now_s)
            share = weight_of(self._weights.rules[0].weights, 'b')
            self._history.append((now_s, share))
        elif self._variant == UNCAPPED and planned is not None:
            self._weights = self._weights_all_moved()
            self._history.append((now_s, 1.0))

    def _weights_all_moved(self) -> Weights:
        rule = SteeringRule(
            service='s',
            home_region='a',
            weights=(RegionWeight(region='b', weight=1.0),),
        )
        return Weights(rules=(rule,), max_step=1.0)

    def _moved_and_cold_shares(self, now_s: float) -> tuple[float, float]:
        """Return the share of callers that moved, and the share with cold caches."""
        moved = 0.0
        cold = 0.0
        before = 0.0
        for at_s, share in self._history:
            elapsed_s = max(0.0, now_s - at_s)
            part = share - before
            before = share
            moved_part = part * min(1.0, elapsed_s / TTL_S)
            warm = part * min(1.0, max(0.0, elapsed_s - COLD_S) / TTL_S)
            moved += moved_part
            cold += moved_part - warm
        return moved, cold

    def _load(self, region: str, now_s: float) -> float:
        moved, cold = self._moved_and_cold_shares(now_s)
        if region == 'a':
            return INITIAL_LOADS['a'] * (1 - moved)
        if region == 'c':
            return INITIAL_LOADS['c']
        return INITIAL_LOADS['b'] + INITIAL_LOADS['a'] * (
            moved + cold * COLD_EXTRA_LOAD
        )


def measure_shifts(results: Results) -> None:
    """Measure peak load, time to drain and headroom for the failure of a region."""
    for variant in (UNCAPPED, CAPPED_BY_REQUEST, CAPPED_BY_MOVE):
        simulation = ShiftSimulation(variant)
        simulation.run()
        results.add(
            'shift',
            variant,
            peak_load_over_capacity=simulation.peak_share,
            drained_s=simulation.drained_s,
            least_headroom_at_failure=simulation.least_headroom,
        )


def measure(results: Results) -> None:
    """Run all steering simulations."""
    measure_balancing(results)
    measure_shifts(results)


if __name__ == '__main__':
    measure(Results())
