"""Compare strategies to split an organisation's limits: `python -m measure.limits`.

The decision modules run on a simulated clock with fixed seeds, without processes and
sockets.
"""

import random
from collections.abc import Iterator

import msgspec

from cicadadoor.config.model import Organisation
from cicadadoor.decisions import shares
from cicadadoor.decisions.buckets import TokenBucket
from cicadadoor.decisions.gate_limits import AdmissionResult, GateLimits
from cicadadoor.decisions.token_trade import TokenTrade
from cicadadoor.links.share_messages import SeatGrant, ShareGrant
from measure.results import Results

GATES = 11
STEP_S = 0.05
WARM_UP_S = 20.0
RUN_S = 60.0
LEASE_DURATION_S = 10.0
RENEW_PERIOD_S = 3.0
TRADE_PERIOD_S = 0.2
SEED = 7
FLOOR_FRACTION = 0.5
# Rates of eight organisations, a few of them large.
RATES = (400, 200, 100, 50, 25, 12, 6, 3)
# Each organisation sends this fraction of its rate.
SENT_FRACTION = 0.7
# Fraction of an organisation's requests that arrive at only two gates.
CONCENTRATED_FRACTION = 0.8

STRATEGIES = ('equal_split', 'floors_only', 'floors_shares_transfer')
SCENARIOS = ('skewed', 'one_at_five_times', 'partition', 'platform_outage')


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the results of one strategy in one scenario."""

    scenario: str
    strategy: str
    requests: int
    admitted: int
    wrongful_refusals: int
    wrongful_fraction: float
    worst_organisation: str
    worst_served_fraction: float
    over_limit: int


class _Counts:
    __slots__ = ('admitted', 'reference_admitted', 'over', 'requests', 'wrongful')

    def __init__(self) -> None:
        self.requests = 0
        self.admitted = 0
        self.reference_admitted = 0
        self.over = 0
        self.wrongful = 0


class Simulation:
    """Run one strategy through one scenario."""

    def __init__(self, strategy: str, scenario: str) -> None:
        self._strategy = strategy
        self._scenario = scenario
        # A separate generator, so that each strategy gets the same arrivals.
        self._arrival_random = random.Random(SEED)
        self._trade_random = random.Random(SEED)
        self._organisations = {
            f'organisation-{number}': Organisation(
                name=f'organisation-{number}', rate_per_s=rate, burst=max(4, rate // 2)
            )
            for number, rate in enumerate(RATES)
        }
        fraction = 1 if strategy == 'equal_split' else FLOOR_FRACTION
        self._gates = [GateLimits(f'gate-{number}', 0) for number in range(GATES)]
        self._trades = [
            TokenTrade(f'gate-{number}', gate)
            for number, gate in enumerate(self._gates)
        ]
        for number, gate in enumerate(self._gates):
            gate.configure(self._organisations, fraction, GATES, 0)
            grant = SeatGrant(
                gate_instance=f'gate-{number}',
                claims={number: f'claim-{number}'},
                keeps_until_s=WARM_UP_S + RUN_S + 1,
                serial=1,
            )
            gate.grant_seats(grant, 0)
        # Receives all requests; a gate should admit what this bucket admits.
        self._reference_buckets = _full_buckets(self._organisations)
        # Receives only admitted requests; a refusal here means the limit was exceeded.
        self._limit_buckets = _full_buckets(self._organisations)
        self._counts = {name: _Counts() for name in self._organisations}
        self._wanted: dict[str, dict[int, float]] = {
            name: {} for name in self._organisations
        }

    def run(self) -> Outcome:
        """Run the simulation and count the requests after the warm-up."""
        steps = int((WARM_UP_S + RUN_S) / STEP_S)
        for step in range(1, steps + 1):
            now_s = step * STEP_S
            if self._strategy == STRATEGIES[-1]:
                self._run_exchanges(step, now_s)
            for name, gate in self._arrivals():
                self._handle_request(name, gate, now_s)
        return self._outcome()

    def _arrivals(self) -> Iterator[tuple[str, int]]:
        for number, organisation in enumerate(self._organisations.values()):
            sent = SENT_FRACTION
            if self._scenario == 'one_at_five_times' and number == 1:
                sent = 5
            mean = organisation.rate_per_s * sent * STEP_S
            for _ in range(_sample_count(mean, self._arrival_random)):
                yield organisation.name, self._choose_gate(number)

    def _choose_gate(self, number: int) -> int:
        # Most callers of an organisation use the same two gates.
        if self._arrival_random.random() < CONCENTRATED_FRACTION:
            return (number * 3 + self._arrival_random.randrange(2)) % GATES
        return self._arrival_random.randrange(GATES)

    def _handle_request(self, name: str, gate: int, now_s: float) -> None:
        admission = self._gates[gate].admit(name, now_s)
        is_admitted = admission is AdmissionResult.ADMITTED
        by_reference = self._reference_buckets[name].take(now_s)
        is_over = is_admitted and not self._limit_buckets[name].take(now_s)
        counts = self._counts[name]
        counts.over += is_over
        if now_s <= WARM_UP_S:
            return
        counts.requests += 1
        counts.admitted += is_admitted
        counts.reference_admitted += by_reference
        counts.wrongful += by_reference and not is_admitted

    def _reaches(self, one: int, other: int, now_s: float) -> bool:
        is_partitioned = self._scenario == 'partition' and now_s > WARM_UP_S
        return not is_partitioned or (one < GATES // 2) == (other < GATES // 2)

    def _run_exchanges(self, step: int, now_s: float) -> None:
        if step % int(TRADE_PERIOD_S / STEP_S) == 0:
            for requester in range(GATES):
                self._trade_tokens(requester, now_s)
        is_down = now_s > WARM_UP_S and self._scenario in {
            'platform_outage',
            'partition',
        }
        if step % int(RENEW_PERIOD_S / STEP_S) == 0:
            for number, gate in enumerate(self._gates):
                for demand in gate.measure(now_s):
                    wanted = self._wanted[demand.organisation]
                    wanted[number] = demand.wanted_per_s
            if not is_down:
                self._renew_leases(step, now_s)

    def _trade_tokens(self, requester: int, now_s: float) -> None:
        giver = self._trade_random.randrange(GATES)
        if giver == requester or not self._reaches(requester, giver, now_s):
            return
        for wish in self._trades[requester].wishes(now_s):
            given = self._trades[giver].give(wish, f'gate-{requester}', now_s)
            self._trades[requester].settle(wish, given, now_s, now_s)

    def _renew_leases(self, step: int, now_s: float) -> None:
        # Simplified: all leases change at once, without the agents' hand-over.
        for name, organisation in self._organisations.items():
            floor = shares.floor_part(organisation.burst, FLOOR_FRACTION)
            parts = shares.allocate(
                {
                    str(gate): wanted_per_s
                    for gate, wanted_per_s in self._wanted[name].items()
                },
                organisation.rate_per_s * (1 - floor),
                shares.min_lease(organisation.burst, FLOOR_FRACTION, floor / GATES),
            )
            for number, gate in enumerate(self._gates):
                grant = ShareGrant(
                    gate_instance=f'gate-{number}',
                    organisation=name,
                    fraction=parts.get(str(number), 0) * (1 - floor),
                    deadline_s=now_s + LEASE_DURATION_S,
                    serial=step,
                )
                gate.grant_lease(grant, now_s)

    def _outcome(self) -> Outcome:
        served = {
            name: counts.admitted / max(1, counts.reference_admitted)
            for name, counts in self._counts.items()
        }
        worst = min(served, key=served.__getitem__)
        requests = sum(counts.requests for counts in self._counts.values())
        wrongful = sum(counts.wrongful for counts in self._counts.values())
        return Outcome(
            scenario=self._scenario,
            strategy=self._strategy,
            requests=requests,
            admitted=sum(counts.admitted for counts in self._counts.values()),
            wrongful_refusals=wrongful,
            wrongful_fraction=round(wrongful / requests, 4),
            worst_organisation=worst,
            worst_served_fraction=round(served[worst], 4),
            over_limit=sum(counts.over for counts in self._counts.values()),
        )


def compare() -> list[Outcome]:
    """Run each strategy through each scenario."""
    return [
        Simulation(strategy, scenario).run()
        for scenario in SCENARIOS
        for strategy in STRATEGIES
    ]


def _full_buckets(organisations: dict[str, Organisation]) -> dict[str, TokenBucket]:
    return {
        name: TokenBucket(each.rate_per_s, each.burst, 0, each.burst)
        for name, each in organisations.items()
    }


def _sample_count(mean: float, random_source: random.Random) -> int:
    # Bernoulli trials with a mean below one each give a Poisson-like count.
    trials = max(1, int(mean * 4))
    return sum(random_source.random() < mean / trials for _ in range(trials))


def measure(results: Results) -> None:
    """Report each strategy in each scenario."""
    for outcome in compare():
        figures = msgspec.to_builtins(outcome)
        case = f'{figures.pop("scenario")} {figures.pop("strategy")}'
        results.add('limits', case, **figures)


if __name__ == '__main__':
    collected = Results()
    measure(collected)
    collected.print_table()
