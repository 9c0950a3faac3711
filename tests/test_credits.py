"""Test that credits limit what other failure domains may send."""

import anyio
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cicadadoor.decisions.credits import (
    CreditIssuer,
    CreditPool,
    RecentPeakLoad,
    headroom,
)
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.queueing import FairRequestQueue
from cicadadoor.links.forward_messages import ForwardRequest
from cicadadoor.links.steering_messages import BackendUpdate
from tests.utils.gates import (
    FakeNetwork,
    GateUnderTest,
    Settings,
    domain_deployment,
    view_of,
)
from tests.utils.manual_timer import ManualTimer

SLOTS = 10
SENDERS = ('x', 'y')
DOMAINS = {'m-1': ('m', 1), 'm-2': ('m', 1), 'n-1': ('n', 1)}


class TwoDomainsOverflow(RuleBasedStateMachine):
    """Let two domains overflow into one gate over an unreliable network.

    Grants and forwarded requests may be lost, delayed, repeated or reordered. The
    senders' load measurements are not used, so stale ones can't cause overload.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.issuer = CreditIssuer(2.0)
        self.own_load = RecentPeakLoad()
        self.own_in_use = 0
        self.forwarded_in_use = 0
        self.redeemed = []
        self.pools = {name: CreditPool() for name in SENDERS}
        self.grants = []
        self.forwards = []

    @rule(sender=st.sampled_from(SENDERS), wanted=st.integers(1, 40))
    def ask(self, sender, wanted):
        free = headroom(
            SLOTS,
            self.own_in_use + self.forwarded_in_use,
            self.own_load.peak(self.now_s),
        )
        grant_id = f'g{len(self.grants)}'
        count = self.issuer.issue(
            grant_id, 's', (sender, 'n'), wanted, free, self.now_s
        )
        self.grants.append((sender, grant_id, count, self.now_s))

    @precondition(lambda machine: machine.grants)
    @rule(choice=st.integers(0, 1000))
    def deliver_grant(self, choice):
        sender, grant_id, count, sent_s = self.grants[choice % len(self.grants)]
        self.pools[sender].add('s', 'r', grant_id, count, sent_s, 2.0)

    @rule(sender=st.sampled_from(SENDERS))
    def send(self, sender):
        credit = self.pools[sender].take('s', ['r'], self.now_s)
        if credit is not None:
            self.forwards.append((sender, credit.credit_id))

    @precondition(lambda machine: machine.forwards)
    @rule(choice=st.integers(0, 1000), is_wrong_holder=st.booleans())
    def arrive(self, choice, is_wrong_holder):
        sender, credit_id = self.forwards[choice % len(self.forwards)]
        holder = 'z' if is_wrong_holder else sender
        if self.issuer.redeem(credit_id, 's', holder, self.now_s):
            assert holder == sender
            self.redeemed.append(credit_id)
            if self.own_in_use + self.forwarded_in_use < SLOTS:
                self.forwarded_in_use += 1

    @rule(sender=st.sampled_from(SENDERS), repeats=st.integers(1, 2))
    def return_surplus(self, sender, repeats):
        for credit in self.pools[sender].take_surplus('s', 0, self.now_s):
            for _ in range(repeats):
                self.issuer.release(credit.credit_id, sender)

    @rule()
    def own_request(self):
        if self.own_in_use + self.forwarded_in_use < SLOTS:
            self.own_in_use += 1
            self.own_load.note(self.own_in_use, self.now_s)

    @rule(is_own=st.booleans())
    def finish(self, is_own):
        if is_own and self.own_in_use:
            self.own_in_use -= 1
            self.own_load.note(self.own_in_use, self.now_s)
        elif not is_own and self.forwarded_in_use:
            self.forwarded_in_use -= 1

    @rule(delay_s=st.floats(0, 3))
    def wait(self, delay_s):
        self.now_s += delay_s

    @invariant()
    def stays_within_slots(self):
        promised = self.forwarded_in_use + self.issuer.outstanding('s', self.now_s)
        assert promised <= headroom(SLOTS, 0, 0)
        assert self.own_in_use + self.forwarded_in_use <= SLOTS
        assert len(self.redeemed) == len(set(self.redeemed))


TwoDomainsOverflow.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)
TestTwoDomainsOverflow = TwoDomainsOverflow.TestCase


class Gates:
    """Run one gate in each domain over a network that can inject faults."""

    def __init__(self) -> None:
        self.timer = ManualTimer()
        self.network = FakeNetwork()
        view = view_of(domain_deployment(DOMAINS))
        self.by_domain = {}
        for domain, (region, _) in DOMAINS.items():
            address = f'127.0.0.1:{2000 + len(self.by_domain)}'
            gate_settings = Settings(domain, region, domain, gate_peers=address)
            gate = GateUnderTest(self.timer, self.network, gate_settings, view)
            self.by_domain[domain] = gate

    async def start(self) -> None:
        for gate in self.by_domain.values():
            await gate.start()
        for gate in self.by_domain.values():
            others = [other for other in self.by_domain.values() if other is not gate]
            await gate.learn_gates(*others)

    async def ask_for_credits(self, gate) -> None:
        for _ in range(30):
            gate.router.try_acquire(gate.request())
        await self.timer.advance(0.06)
        await gate.kernel.run_spawned()


def run_gates(check) -> None:
    """Run a check over three gates."""

    async def run() -> None:
        gates = Gates()
        await gates.start()
        await check(gates)

    anyio.run(run)


def redeem(gate, sender, target):
    """Redeem the credit of a target at the receiving gate."""
    message = ForwardRequest(
        sender_instance=sender.state.instance,
        request_id='r',
        service='kursbuchung',
        organisation='guild-a',
        key_hash='',
        method='GET',
        path='/',
        query='',
        headers={},
        body=b'',
        client_ip='127.0.0.1',
        left_ms=1000,
        is_owner=False,
        credit_id=target.credit_id,
    )
    return gate.credits.redeem(message)


class TestOverflow:
    """Guard against requests that cross domains without a valid credit."""

    def test_nearest_domain_first_then_other_regions(self):
        async def check(gates):
            sender = gates.by_domain['m-1']
            assert len(sender.acquire_all()) == 8
            await gates.ask_for_credits(sender)
            overflow = sender.acquire_all()
            domains = [target.gate.failure_domain for target in overflow]
            # Each receiver keeps a fifth of its eight slots for its own load.
            assert domains[:6] == ['m-2' for _ in range(6)]
            assert domains[6:] == ['n-1' for _ in range(6)]
            receiver = gates.by_domain['m-2']
            assert redeem(receiver, sender, overflow[0]) is None
            again = redeem(receiver, sender, overflow[0])
            assert again.kind is ErrorKind.CREDIT_REFUSED
            other = gates.by_domain['n-1']
            assert redeem(receiver, other, overflow[1]) is not None
            gates.timer.jump(2.1)
            assert redeem(receiver, sender, overflow[2]) is not None

        run_gates(check)

    @pytest.mark.parametrize('fault', ['lose_requests', 'lose_answers', 'duplicate'])
    def test_faults_only_lose_credits(self, fault):
        async def check(gates):
            sender = gates.by_domain['m-1']
            sender.acquire_all()
            setattr(gates.network, fault, True)
            await gates.ask_for_credits(sender)
            overflow = sender.acquire_all()
            receiver = gates.by_domain['m-2']
            given = receiver.credits._issuer.outstanding(
                'kursbuchung', gates.timer.now_s()
            )
            assert given <= 6
            assert len(overflow) <= 12
            setattr(gates.network, fault, False)
            gates.timer.jump(2.5)
            await gates.ask_for_credits(sender)
            assert len(sender.acquire_all()) == 12

        run_gates(check)

    @pytest.mark.parametrize(
        ('orders', 'domains'),
        [
            ({'held_regions': ['n']}, {'m-2'}),
            ({'held_regions': ['m']}, {'m-2'}),
            ({'held_services': ['kursbuchung']}, {'m-2'}),
            ({'drained_domains': ['m-2']}, {'n-1'}),
        ],
    )
    def test_holds_and_drains_stop_overflow(self, orders, domains):
        """A hold has priority over any automatic decision, even of a single gate."""

        async def check(gates):
            for gate in gates.by_domain.values():
                await gate.link.deliver(BackendUpdate(**orders))
            sender = gates.by_domain['m-1']
            sender.acquire_all()
            await gates.ask_for_credits(sender)
            assert {
                target.gate.failure_domain for target in sender.acquire_all()
            } == domains

        run_gates(check)

    def test_receiver_with_a_full_return_link_grants_no_credits(self):
        async def check(gates):
            sender = gates.by_domain['m-1']
            receiver = gates.by_domain['n-1']
            receiver.links.charge_response('m', 10**10)
            sender.acquire_all()
            await gates.ask_for_credits(sender)
            domains = {target.gate.failure_domain for target in sender.acquire_all()}
            assert domains == {'m-2'}

        run_gates(check)

    def test_request_over_the_link_budget_is_not_sent(self):
        async def check(gates):
            sender = gates.by_domain['m-1']
            sender.acquire_all()
            await gates.ask_for_credits(sender)
            near = [sender.router.try_acquire(sender.request()) for _ in range(6)]
            assert {target.gate.failure_domain for target in near} == {'m-2'}
            sender.links.charge_response('n', 10**10)
            refused = sender.router.try_acquire(sender.request())
            assert refused.kind is ErrorKind.LINK_BUDGET_EXCEEDED

        run_gates(check)

    def test_unused_credits_are_returned(self):
        async def check(gates):
            sender = gates.by_domain['m-1']
            receiver = gates.by_domain['m-2']
            taken = sender.acquire_all()
            await gates.ask_for_credits(sender)
            for target in taken:
                sender.router.release(target, Failure(ErrorKind.BACKEND_SHED, ''), 1)
            for _ in range(20):
                await gates.timer.advance(0.06)
                await sender.kernel.run_spawned()
            now_s = gates.timer.now_s()
            assert receiver.credits._issuer.outstanding('kursbuchung', now_s) == 0

        run_gates(check)


class LowRateCaller:
    """Send single requests to a gate whose domain has no usable backend server."""

    def __init__(self, gates) -> None:
        self.gates = gates
        self.gate = gates.by_domain['m-1']
        self.queue = FairRequestQueue()

    async def start(self) -> None:
        await self.queue.start(self.gate.kernel)
        drained = BackendUpdate(drained=['kb-m-1-0', 'kb-m-1-1'])
        await self.gate.link.deliver(drained)

    async def pass_time(self, duration_s) -> None:
        """Deliver messages 10 ms after they are sent."""
        for _ in range(round(duration_s / 0.01)):
            await self.gates.timer.advance(0.01)
            await self.gate.kernel.run_spawned()
            await anyio.wait_all_tasks_blocked()

    async def call(self, left_s=10.0, limit_s=1.0):
        """Return the target or failure of one request, and how long it waited."""
        start_s = self.gates.timer.now_s()
        request = self.gate.request()
        request.received_s = start_s
        request.deadline_s = start_s + left_s
        outcomes = []

        async def acquire() -> None:
            outcomes.append(await self.queue.acquire(request))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(acquire)
            await anyio.wait_all_tasks_blocked()
            while not outcomes and self.gates.timer.now_s() < start_s + limit_s:
                await self.pass_time(0.01)
            tasks.cancel_scope.cancel()
        assert outcomes, f'no outcome within {limit_s} s'
        return outcomes[0], self.gates.timer.now_s() - start_s


class TestLowRate:
    """Guard against refusals of a caller that uses no credit before it is returned."""

    def run_caller(self, check) -> None:
        async def run(gates):
            caller = LowRateCaller(gates)
            await caller.start()
            await check(gates, caller)

        run_gates(run)

    @pytest.mark.parametrize('interval_s', [0.05, 0.1, 0.15, 1, 5])
    def test_all_requests_cross(self, interval_s):
        async def check(gates, caller):
            for _ in range(20):
                target, waited_s = await caller.call()
                assert not isinstance(target, Failure), target
                receiver = gates.by_domain[target.gate.failure_domain]
                assert redeem(receiver, caller.gate, target) is None
                assert waited_s <= 0.1
                await caller.pass_time(max(0, interval_s - waited_s))

        self.run_caller(check)

    def test_idle_caller_takes_no_room(self):
        """A caller at a low rate must not hold credits that others could use."""

        async def check(gates, caller):
            target, _ = await caller.call()
            receiver = gates.by_domain[target.gate.failure_domain]
            assert redeem(receiver, caller.gate, target) is None
            await caller.pass_time(0.3)
            issuer = receiver.credits._issuer
            assert issuer.outstanding('kursbuchung', gates.timer.now_s()) == 0

        self.run_caller(check)

    def test_refusal_comes_soon_if_no_gate_has_room(self):
        async def check(gates, caller):
            for domain in ('m-2', 'n-1'):
                gates.by_domain[domain].acquire_all()
            refused, waited_s = await caller.call()
            assert refused.kind is ErrorKind.NO_BACKEND_SERVER
            assert waited_s <= 0.2

        self.run_caller(check)

    @pytest.mark.parametrize('fault', ['lose_requests', 'lose_answers'])
    def test_refusal_comes_soon_if_no_gate_answers(self, fault):
        async def check(gates, caller):
            setattr(gates.network, fault, True)
            refused, waited_s = await caller.call()
            assert refused.kind is ErrorKind.NO_BACKEND_SERVER
            assert waited_s <= 0.7

        self.run_caller(check)

    def test_deadline_ends_the_wait(self):
        async def check(gates, caller):
            refused, waited_s = await caller.call(left_s=0.03)
            assert isinstance(refused, Failure)
            assert waited_s <= 0.1

        self.run_caller(check)

    def test_hold_refuses_at_once(self):
        async def check(gates, caller):
            held = BackendUpdate(
                version=1,
                drained=['kb-m-1-0', 'kb-m-1-1'],
                drained_domains=['m-2'],
                held_regions=['m'],
            )
            await caller.gate.link.deliver(held)
            refused, waited_s = await caller.call()
            assert refused.kind is ErrorKind.NO_BACKEND_SERVER
            assert waited_s == 0

        self.run_caller(check)
