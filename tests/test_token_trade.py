"""Test that tokens and shares pass between gates within rate and burst."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cicadadoor.config.model import Organisation
from cicadadoor.decisions.buckets import ShareBucket, TimedShare, TokenBucket
from cicadadoor.decisions.gate_limits import (
    LOAN_MARGIN_S,
    LOAN_S,
    AdmissionResult,
    GateLimits,
)
from cicadadoor.decisions.token_trade import TokenTrade
from cicadadoor.links.share_messages import SeatGrant, ShareGrant

NAME = 'guild-a'
GATES = 4
_gates = st.integers(0, GATES - 1)


class TradingGate:
    """Hold a gate that owns one of the seats."""

    def __init__(self, seat: int, size: tuple[float, int], now_s: float) -> None:
        self.seat = seat
        self.size = size
        self.starts = 0
        self.start(now_s)

    def start(self, now_s: float) -> None:
        """Replace the process, which takes over the seat."""
        self.starts += 1
        self.instance = f'{self.seat}/{self.starts}'
        self.limits = GateLimits(self.instance, now_s)
        self.trade = TokenTrade(self.instance, self.limits)
        organisation = Organisation(
            name=NAME, rate_per_s=self.size[0], burst=self.size[1]
        )
        self.limits.configure({NAME: organisation}, 0.5, GATES, now_s)
        self.limits.grant_seats(
            SeatGrant(
                gate_instance=self.instance,
                claims={self.seat: self.instance},
                keeps_until_s=now_s + 10_000,
                serial=1,
            ),
            now_s,
        )


class Trading(RuleBasedStateMachine):
    """Interleave requests, token exchanges, losses, restarts and a lease."""

    size = (10, 24)

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.gates = [TradingGate(seat, self.size, self.now_s) for seat in range(GATES)]
        self.oracle = TokenBucket(*self.size, self.now_s, self.size[1])
        self.asked: list[tuple] = []
        self.answered: list[tuple] = []
        self.lease_until_s = 0.0

    @rule(delay_s=st.sampled_from((0.1, 1, 3, LOAN_S, 7)))
    def wait(self, delay_s):
        """Let time pass."""
        self.now_s += delay_s

    @rule(gate=_gates, count=st.integers(1, 30))
    def request(self, gate, count):
        """Send requests to one gate."""
        limits = self.gates[gate].limits
        for _ in range(count):
            if limits.admit(NAME, self.now_s) is AdmissionResult.ADMITTED:
                assert self.oracle.take(self.now_s, 1 - 1e-6)

    @rule(gate=_gates, other=_gates)
    def ask(self, gate, other):
        """Send token requests, which are in transit from now on."""
        trade = self.gates[gate].trade
        is_asking = any(pending[0] is trade for pending in self.asked + self.answered)
        wishes = () if gate == other or is_asking else trade.wishes(self.now_s)
        for wish in wishes:
            self.asked.append((trade, wish, self.now_s, other))

    @rule(is_twice=st.booleans())
    def deliver_question(self, is_twice):
        """Deliver the oldest token request, once or twice."""
        if not self.asked:
            return
        trade, wish, sent_s, other = self.asked.pop(0)
        giver = self.gates[other].trade
        given = giver.give(wish, 'asker', self.now_s)
        if is_twice:
            giver.give(wish, 'asker', self.now_s)
        self.answered.append((trade, wish, sent_s, given))

    @rule(is_lost=st.booleans())
    def deliver_answer(self, is_lost):
        """Deliver or lose the oldest answer."""
        if not self.answered:
            return
        trade, wish, sent_s, given = self.answered.pop(0)
        trade.settle(wish, None if is_lost else given, sent_s, self.now_s)

    @rule(gate=_gates)
    def restart(self, gate):
        """Kill a gate; its successor gets the seat at once."""
        self.gates[gate].start(self.now_s)

    @rule(gate=_gates)
    def lease(self, gate):
        """Lease the whole floating share, if the last lease has expired."""
        if self.now_s < self.lease_until_s:
            return
        self.lease_until_s = self.now_s + 4
        holder = self.gates[gate]
        holder.limits.grant_lease(
            ShareGrant(
                gate_instance=holder.instance,
                organisation=NAME,
                fraction=0.5,
                deadline_s=self.lease_until_s,
                serial=int(self.now_s),
            ),
            self.now_s,
        )

    @invariant()
    def shares_are_within_the_whole(self):
        """Check that no share is in use twice, which would exceed the rate."""
        total = 0.0
        for gate in self.gates:
            bucket = gate.limits.account(NAME, self.now_s).bucket
            bucket.refill(self.now_s)
            total += bucket.share()
        leased = 0.5 if self.now_s < self.lease_until_s else 0
        assert total <= 0.5 + leased + 1e-9


class SmallTrading(Trading):
    """Use a seat floor below one token, so that floors are lent."""

    size = (2, 6)


_SETTINGS = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
TestTrading = Trading.TestCase
TestTrading.settings = _SETTINGS
TestSmallTrading = SmallTrading.TestCase
TestSmallTrading.settings = _SETTINGS


class TestReservation:
    """Guard against tokens in transit that exceed the burst with full buckets."""

    def test_tokens_in_transit_have_room(self):
        """Giver and receiver may be full again before the tokens arrive."""
        giver, receiver = (ShareBucket(10, 20, 0) for _ in range(2))
        for bucket in (giver, receiver):
            bucket.set_floor(0.5, 0)
        assert receiver.take(1) and not receiver.take(1, 10)
        receiver.reserve(receiver.room(1), 1)
        giver.lend(5, TimedShare(0, 0), 1)
        spent = sum(giver.take(9) + receiver.take(9) for _ in range(10))
        receiver.settle(6, 5, TimedShare(0, 0), 9)
        spent += sum(receiver.take(9) for _ in range(10))
        assert spent <= 20

    def test_giver_loses_what_it_gives(self):
        """Tokens that the giver keeps would be spent twice."""
        bucket = ShareBucket(10, 20, 0)
        bucket.set_floor(0.5, 0)
        bucket.refill(100)
        bucket.lend(5, TimedShare(0, 0), 100)
        assert bucket.take(100, 5) and not bucket.take(100)

    def test_lent_share_is_not_used_before_the_loan_ends(self):
        """A share that returns early would count for giver and borrower at once."""
        bucket = ShareBucket(10, 20, 0)
        bucket.set_floor(0.5, 0)
        bucket.lend(0, TimedShare(0.5, LOAN_S + LOAN_MARGIN_S), 0)
        assert not bucket.take(LOAN_S + LOAN_MARGIN_S)
        assert bucket.take(LOAN_S + LOAN_MARGIN_S + 0.5)


class TestLoan:
    """Guard against a floor that the lender or its successor uses while lent."""

    @pytest.mark.parametrize('is_restarted', [False, True])
    def test_shares_add_up_until_the_loan_ends(self, is_restarted):
        """A lender's successor starts at once and does not know of the loan."""
        trading = SmallTrading()
        trading.wait(LOAN_S + LOAN_MARGIN_S)
        trading.request(0, 1)
        trading.ask(0, 1)
        trading.wait(0.1)
        trading.deliver_question(is_twice=False)
        trading.wait(0.1)
        trading.deliver_answer(is_lost=False)
        borrower = trading.gates[0].limits.account(NAME, trading.now_s).bucket
        assert borrower.share() > 0.5 / GATES
        if is_restarted:
            trading.restart(1)
        for _ in range(100):
            trading.shares_are_within_the_whole()
            trading.wait(0.1)
