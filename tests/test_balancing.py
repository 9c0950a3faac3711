"""Test the selection of a backend server, its limits, and ejection."""

import random
from types import SimpleNamespace

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadadoor.decisions.balancing import (
    LATENCY_MAX_AGE_S,
    REPORT_MAX_AGE_S,
    Candidate,
    ServerLoad,
    choose,
    seat_share,
)
from cicadadoor.decisions.ejection import EjectionTable
from cicadadoor.decisions.link_budget import LinkBudget
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.attempts import AttemptRunner
from cicadadoor.gate.request import CANCELLED, SteeredResponse
from cicadadoor.links.steering_messages import BackendUpdate
from tests.utils.gates import (
    FakeNetwork,
    GateUnderTest,
    Settings,
    domain_deployment,
    view_of,
)
from tests.utils.manual_timer import ManualTimer

NAMES = ['a', 'b', 'c', 'd']


def run_gate(check, **deployment) -> None:
    """Run a check against one gate of a one-domain deployment."""

    async def run() -> None:
        timer = ManualTimer()
        view = view_of(domain_deployment({'m-1': ('m', 1)}, **deployment))
        gate = GateUnderTest(timer, FakeNetwork(), Settings('h', 'm', 'm-1'), view)
        await gate.start()
        await check(gate, timer)

    anyio.run(run)


class TestSeatShare:
    """Guard against two gates using the same slot, and against unused slots."""

    @settings(derandomize=True, max_examples=200)
    @given(st.integers(0, 60), st.integers(1, 20), st.text(max_size=5))
    def test_shares_add_up(self, total, seat_count, name):
        shares = [
            seat_share(total, [seat], seat_count, name) for seat in range(seat_count)
        ]
        assert sum(shares) == total
        assert max(shares) - min(shares) <= 1
        assert seat_share(total, range(seat_count), seat_count, name) == total
        assert seat_share(total, [seat_count], seat_count, name) == 0


class TestServerSelection:
    """Guard against overload of a server that reports a wrong load."""

    def make_candidates(self, count=4, slots=8):
        return [Candidate(f's{number}', slots, ServerLoad()) for number in range(count)]

    def test_misleading_report_does_not_overload(self):
        """A server that always reports 0 must not get more than its share."""
        candidates = self.make_candidates()
        rng = random.Random(1)
        for step in range(24):
            for each in candidates:
                is_misreporting = each.name == 's0'
                each.load.note_report(0 if is_misreporting else 1, step)
            choose(candidates, step, rng).load.in_flight += 1
        assert max(each.load.in_flight for each in candidates) < 8

    def test_outdated_report_is_ignored(self):
        candidates = self.make_candidates(count=2)
        candidates[0].load.note_report(1, 0)
        late_s = REPORT_MAX_AGE_S
        scores = [each.load.score(8, 0, late_s) for each in candidates]
        assert scores[0] == scores[1]

    def test_slow_server_gets_fewer_requests(self):
        candidates = self.make_candidates(count=3, slots=100)
        for each, took_s in zip(candidates, (0.1, 0.1, 1), strict=True):
            each.load.note_latency(took_s, 0)
        for _ in range(150):
            choose(candidates, 0, random.Random(_)).load.in_flight += 1
        in_flight = [each.load.in_flight for each in candidates]
        assert in_flight[2] < min(in_flight[:2]) / 2

    def test_cold_server_ramps_up_and_is_used_when_no_other_is_free(self):
        candidates = self.make_candidates(count=2, slots=10)
        cold = candidates[1].load
        cold.ramp_from_s = 0
        rng = random.Random(1)
        for _ in range(12):
            choose(candidates, 0.1, rng).load.in_flight += 1
        assert cold.in_flight == 2
        for _ in range(8):
            choose(candidates, 0.1, rng).load.in_flight += 1
        assert cold.in_flight == 10
        assert choose(candidates, 0.1, rng) is None


class TestOutdatedLatency:
    """Guard against a server that gets no requests after one slow response."""

    def run_requests(self, until_s, slow_s) -> list[tuple[float, str]]:
        """Return the time and the server of requests that are sent each 0.075 s.

        The first response of the slow server takes 45.7 ms, its later ones about
        `slow_s`. Those of the other server take about 3 ms.
        """
        candidates = [Candidate(name, 8, ServerLoad()) for name in ('slow', 'fast')]
        candidates[0].load.note_latency(0.0457, 0)
        candidates[1].load.note_latency(0.003, 0)
        mean_s = {'slow': slow_s, 'fast': 0.003}
        rng = random.Random(1)
        sent = []
        for step in range(1, int(until_s / 0.075)):
            now_s = step * 0.075
            chosen = choose(candidates, now_s, rng)
            took_s = mean_s[chosen.name] * rng.uniform(0.5, 1.5)
            chosen.load.note_latency(took_s, now_s + took_s)
            sent.append((now_s, chosen.name))
        return sent

    def test_server_with_one_slow_response_gets_its_part_again(self):
        sent = self.run_requests(until_s=60, slow_s=0.003)
        first_s = next(now_s for now_s, name in sent if name == 'slow')
        assert first_s < LATENCY_MAX_AGE_S + 1
        late = [name for now_s, name in sent if now_s > LATENCY_MAX_AGE_S + 1]
        assert 0.4 < late.count('slow') / len(late) < 0.6

    def test_small_differences_do_not_starve_a_server(self):
        sent = self.run_requests(until_s=60, slow_s=0.004)
        late = [name for now_s, name in sent if now_s > LATENCY_MAX_AGE_S + 1]
        assert 0.3 < late.count('slow') / len(late) < 0.6

    def test_server_that_stays_slow_is_only_tried_now_and_then(self):
        sent = self.run_requests(until_s=60, slow_s=0.0457)
        tried_s = [now_s for now_s, name in sent if name == 'slow']
        assert tried_s[0] >= LATENCY_MAX_AGE_S
        assert 5 <= len(tried_s) <= 60 / LATENCY_MAX_AGE_S

    def test_gate_tries_the_server_again(self):
        """Sampling times must reach the decision through the gate's clock."""

        async def check(gate, timer):
            answer = SteeredResponse(status=200, headers=[])
            gate.servers.record_result('kb-m-1-0', answer, 0.0457)
            gate.servers.record_result('kb-m-1-1', answer, 0.003)
            used = []
            for _ in range(100):
                timer.jump(0.1)
                target = gate.router.try_acquire(gate.request())
                gate.router.release(target, answer, 0.003)
                used.append(target.server.name)
            assert 'kb-m-1-0' not in used[:45]
            assert 'kb-m-1-0' in used[45:]

        run_gate(check, servers=2)


class TestEjection:
    """Guard against use of bad servers, and against ejection of all servers."""

    @pytest.mark.parametrize(
        ('bad', 'expected'),
        [(1, 1), (2, 2), (3, 2), (4, 0)],
    )
    def test_ejected_share_is_capped_and_none_is_ejected_if_all_fail(
        self, bad, expected
    ):
        table = EjectionTable()
        for now_s, name in enumerate(NAMES[:bad]):
            for _ in range(3):
                table.note_result(name, is_bad=True, now_s=now_s)
        assert table.ejected(NAMES) == frozenset(NAMES[:expected])
        assert not table.ejected(NAMES[:1])

    def test_readmission_needs_a_probe_and_takes_longer_each_time(self):
        table = EjectionTable()
        for start_s, wait_s in ((0, 5), (100, 10), (200, 20)):
            for _ in range(3):
                table.note_result('a', is_bad=True, now_s=start_s)
            early_s = start_s + wait_s - 0.1
            assert not table.note_probe('a', is_good=True, now_s=early_s)
            assert not table.note_probe('a', is_good=False, now_s=start_s + wait_s)
            assert table.ejected(NAMES) == {'a'}
            assert table.note_probe('a', is_good=True, now_s=start_s + wait_s)
            assert not table.ejected(NAMES)


class TestRouterBounds:
    """Guard against more requests at a backend server than its slots."""

    def test_no_more_than_slots(self):
        async def check(gate, timer):
            taken = gate.acquire_all()
            assert len(taken) == 8
            refused = gate.router.try_acquire(gate.request())
            assert refused.kind is ErrorKind.NO_CAPACITY
            gate.router.release(taken[0], SteeredResponse(status=200, headers=[]), 0.1)
            assert len(gate.acquire_all()) == 1

        run_gate(check)

    @pytest.mark.parametrize(
        ('answer', 'took_s', 'is_ejected'),
        [
            (Failure(ErrorKind.OUTCOME_UNKNOWN, 'died'), 0.1, True),
            (SteeredResponse(status=502, headers=[]), 0.1, True),
            (SteeredResponse(status=500, headers=[]), 0.1, False),
            (Failure(ErrorKind.ANSWER_TIMED_OUT, 'late'), 5, True),
            (Failure(ErrorKind.ANSWER_TIMED_OUT, 'short deadline'), 0.01, False),
            (Failure(ErrorKind.BACKEND_SHED, 'shed'), 0.1, False),
            (CANCELLED, 0.1, False),
        ],
    )
    def test_only_the_servers_own_faults_eject_it(self, answer, took_s, is_ejected):
        """Cancelled requests and short deadlines must not eject servers."""

        async def check(gate, timer):
            name = 'kb-m-1-0'
            for _ in range(3):
                gate.servers.record_result(name, answer, took_s)
            usable = gate.servers.usable(gate.request().service)
            assert (name not in [each.name for each in usable]) is is_ejected
            await gate.link.deliver(BackendUpdate(held_servers=[name]))
            usable = gate.servers.usable(gate.request().service)
            assert name in [each.name for each in usable]

        run_gate(check, servers=3)


class StreamingForwarder:
    """Return a streamed response, as for a body that is too long to buffer."""

    async def forward(self, request, server) -> SteeredResponse:
        """Return a response whose body has not been read yet."""

        async def stream():
            yield b'long'

        return SteeredResponse(status=200, headers=[], stream=stream())


def _ignore(*arguments) -> None:
    """Stand in for a service that this test does not cover."""


class TestStreams:
    """Guard against a slot that is released while the server still sends."""

    def test_slot_is_taken_until_the_stream_is_closed(self):
        async def check(gate, timer):
            attempts = AttemptRunner()
            attempts._kernel = gate.kernel
            attempts._state = gate.state
            attempts._timer = timer
            attempts._queue = gate.router
            attempts._keys = SimpleNamespace(abort_on_withdrawal=_ignore)
            attempts._quarantine = SimpleNamespace(
                record_start=_ignore, record_end=_ignore
            )
            attempts._forwarder = StreamingForwarder()
            request = gate.request()
            target = gate.router.try_acquire(request)
            answer, _ = await attempts._attempt(request, target)
            assert gate.servers.in_flight()[target.server.name] == 1
            await answer.close()
            await gate.kernel.run_spawned()
            assert gate.servers.in_flight()[target.server.name] == 0

        run_gate(check)


class TestLinkBudget:
    """Guard against deferrable traffic that fills a link."""

    def test_deferrable_is_refused_first_and_answers_may_overdraw(self):
        budget = LinkBudget(1000, 0)
        taken = [budget.try_take(50, 0, is_deferrable=True) for _ in range(10)]
        assert sum(taken) == 5
        assert not budget.is_open(0, is_deferrable=True)
        assert budget.try_take(50, 0, is_deferrable=False)
        budget.charge(1200, 0)
        assert not budget.is_open(0.9, is_deferrable=False)
        assert budget.is_open(1.1, is_deferrable=False)

    @settings(derandomize=True, max_examples=100)
    @given(st.lists(st.tuples(st.integers(0, 400), st.floats(0, 1)), max_size=50))
    def test_requests_stay_within_rate_and_burst(self, steps):
        budget = LinkBudget(1000, 0)
        now_s = 0.0
        sent = 0
        for size_bytes, wait_s in steps:
            now_s += wait_s
            if budget.try_take(size_bytes, now_s, is_deferrable=False):
                sent += size_bytes
        assert sent <= budget.burst_bytes + 1000 * now_s + 1e-6
