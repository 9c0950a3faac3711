"""Test at-most-once execution with faults between gates, agent and backend server."""

import anyio
import pytest

from cicadadoor.agent.claims import IdempotencyClaims
from cicadadoor.decisions import prefixes
from cicadadoor.errors import ERROR_RESPONSES, ErrorKind, Executed, Failure
from cicadadoor.gate.claims import ClaimClient
from cicadadoor.gate.directory import GateDirectory
from cicadadoor.gate.forward_server import ForwardServer
from cicadadoor.gate.idempotency import IdempotencyKeys
from cicadadoor.gate.peer_forwarding import PeerForwarder
from cicadadoor.gate.request import SteeredRequest, SteeredResponse
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Service
from cicadadoor.links.claim_messages import ClaimRequest
from cicadadoor.links.messages import PeerUpdate
from cicadadoor.object_store.memory import MemoryObjectStore
from tests.utils.deployments import small_deployment
from tests.utils.gates import (
    FakeHub,
    FakeKernel,
    FakeLink,
    FakeNetwork,
    Settings,
    view_of,
)
from tests.utils.manual_timer import ManualTimer


class StubService(Service):
    """Stub a service with the given members."""

    def __init__(self, name, **members) -> None:
        self.name = name
        for member, content in members.items():
            setattr(self, member, content)


class ClaimAgent:
    """Simulate an agent that claims keys in a store, with injected faults."""

    def __init__(self, link, store) -> None:
        self.link = link
        self.is_unreachable = False
        self.loses_answer = False
        self.claims = IdempotencyClaims()
        self.claims._state = StubService('state', store=store, instance='agent')
        self.claims._timer = ManualTimer()

    async def handle_claim(self, message: ClaimRequest) -> None:
        """Answer a claim, unless a fault is active."""
        if self.is_unreachable:
            return
        answer = await self.claims.claim(message)
        if not self.loses_answer:
            await self.link.deliver(answer)


class ClaimLink(FakeLink):
    """Deliver claims to the fake agent."""

    agent = None

    async def send(self, message) -> None:
        """Record the message and deliver claims to the agent."""
        await super().send(message)
        if isinstance(message, ClaimRequest):
            await self.agent.handle_claim(message)


class Gate:
    """Run the at-most-once services of one gate over a fake network."""

    def __init__(self, host, network, timer, store, table_bytes=1_000_000) -> None:
        self.timer = timer
        self.kernel = FakeKernel()
        self.state = GateState(Settings(host, 'muenchen', 'muenchen-1'))
        address = str(self.state.settings.gate_peers)
        self.link = ClaimLink()
        self.agent = ClaimAgent(self.link, store)
        self.link.agent = self.agent
        self.idempotency_keys = IdempotencyKeys(table_bytes)
        self.outcomes = []
        self.runs = 0
        self.release = None
        self.services = (
            timer,
            self.state,
            self.link,
            FakeHub(network, self.state.instance, address),
            StubService('lookup', set_hosts=lambda hosts: None),
            StubService(
                'credits',
                charge_response=lambda message, answer: None,
                take_response_region=lambda message: None,
            ),
            StubService('link_budgets'),
            StubService('pipeline', run_forwarded=self.run_forwarded),
            GateDirectory(),
            PeerForwarder(),
            ClaimClient(),
            self.idempotency_keys,
            ForwardServer(),
        )

    async def start(self):
        """Start all services."""
        for service in self.services:
            self.kernel.register(service)
        for service in self.services[1:]:
            await service.start(self.kernel)
        self.state.activate(view_of(small_deployment({'muenchen-1': ('muenchen', 2)})))
        return self

    async def set_known_gates(self, *gates):
        """Replace the gates that this gate knows."""
        await self.link.deliver(PeerUpdate(gates=[gate.state.info() for gate in gates]))

    def request(self, key, body=b'', left_s=1.0, **fields):
        """Build a non-idempotent request."""
        return SteeredRequest(
            request_id='r',
            method=fields.pop('method', 'POST'),
            path='/enrol',
            query='',
            headers={'idempotency-key': key},
            body=body,
            client_ip='127.0.0.1',
            received_s=self.timer.now_s(),
            deadline_s=self.timer.now_s() + left_s,
            service=self.state.view.services['kursbuchung'],
            route=None,
            organisation=None,
            key_hash='',
            **fields,
        )

    async def run_forwarded(self, message):
        """Run a request that another gate forwarded to the key's owner."""
        request = self.request(
            message.headers['idempotency-key'],
            message.body,
            claim_id=message.claim_id,
        )
        return await self.idempotency_keys.run(
            request, self.dispatch, is_forwarded=True
        )

    async def dispatch(self, request):
        """Return the scripted outcome, and count the run unless it states `no`."""
        if self.release is not None:
            await self.release.wait()
        outcome = self.outcomes.pop(0) if self.outcomes else None
        if outcome is None:
            outcome = SteeredResponse(status=200, headers=[], body=b'booked')
        if not isinstance(outcome, Failure) or outcome.run is not Executed.NO:
            self.runs += 1
        return outcome

    async def send(self, key, **fields):
        """Send a request as a caller of this gate."""
        return await self.idempotency_keys.run(
            self.request(key, **fields), self.dispatch
        )

    def new_key(self):
        """Return a new key with a prefix of this gate."""
        return f'{self.idempotency_keys.issue_prefix("kursbuchung")}nonce'


class GatePair:
    """Run two gates with a shared clock, network and store."""

    async def start(self):
        """Start both gates."""
        self.timer = ManualTimer()
        self.network = FakeNetwork()
        self.store = MemoryObjectStore()
        self.owner = await self.gate('owner')
        self.other = await self.gate('another')
        await self.owner.set_known_gates(self.other)
        await self.other.set_known_gates(self.owner)
        return self

    async def gate(self, host, **options):
        """Start a gate."""
        return await Gate(host, self.network, self.timer, self.store, **options).start()

    @property
    def runs(self):
        """Count all executions."""
        return self.owner.runs + self.other.runs


def run_scenario(scenario):
    """Run a test coroutine with two started gates."""

    async def main():
        await scenario(await GatePair().start())

    anyio.run(main)


def run_of(answer):
    """Return whether the request ran according to the answer."""
    return answer.run


async def lose_request(pair):
    pair.network.lose_requests = True


async def lose_answer(pair):
    pair.network.lose_answers = True


async def duplicate(pair):
    pair.network.duplicate = True


async def forget_owner(pair):
    await pair.other.set_known_gates()


async def replace_owner(pair):
    pair.owner = await pair.gate('owner')


async def no_fault(pair):
    """Inject no fault."""


FAULTS = (lose_request, lose_answer, duplicate, forget_owner, replace_owner, no_fault)


class TestFaultMatrix:
    """Guard against a second execution, and against a false `run=no`."""

    @pytest.mark.parametrize('is_opaque', [False, True])
    @pytest.mark.parametrize('second', FAULTS)
    @pytest.mark.parametrize('first', FAULTS)
    def test_repeat_through_another_gate(self, first, second, is_opaque):
        """Inject each fault into the first attempt and into its repeat."""

        async def scenario(pair):
            key = 'opaque' if is_opaque else pair.owner.new_key()
            if is_opaque:
                await pair.owner.send(key)
            earlier_owner = pair.owner
            for fault in (first, second):
                for name in ('lose_requests', 'lose_answers', 'duplicate'):
                    setattr(pair.network, name, False)
                await fault(pair)
                answer = await pair.other.send(key)
                runs = earlier_owner.runs + pair.other.runs
                assert runs <= 1
                assert answer.run is not Executed.NO
                if isinstance(answer, SteeredResponse):
                    assert runs == 1
            assert pair.owner is earlier_owner or not pair.owner.runs

        run_scenario(scenario)

    @pytest.mark.parametrize('kind', list(ErrorKind))
    def test_every_kind_of_failure(self, kind):
        """The key must stay usable only after a failure with `run=no`."""

        async def scenario(pair):
            key = pair.owner.new_key()
            pair.owner.outcomes = [Failure(kind, 'scripted')]
            first = await pair.other.send(key)
            assert first.run is ERROR_RESPONSES[kind].run
            again = await pair.other.send(key)
            if first.run is Executed.NO:
                assert again.body == b'booked'
            else:
                assert (again.kind, again.run) == (kind, first.run)
            assert pair.runs == 1

        run_scenario(scenario)

    @pytest.mark.parametrize('fault', ['is_unreachable', 'loses_answer'])
    def test_claim_without_an_answer(self, fault):
        """A request whose claim gets no answer must neither run nor block its key."""

        async def scenario(pair):
            setattr(pair.owner.agent, fault, True)
            refused = await pair.owner.send('opaque', left_s=0.05)
            assert refused.kind is ErrorKind.CLAIM_UNAVAILABLE
            assert (refused.run, pair.runs) == (Executed.NO, 0)
            setattr(pair.owner.agent, fault, False)
            answer = await pair.other.send('opaque')
            assert answer.body == b'booked'
            assert (await pair.owner.send('opaque')).body == b'booked'
            assert pair.runs == 1

        run_scenario(scenario)

    def test_claim_of_an_expired_record_stays_unknown(self):
        """A claim that fails after the record expired must not free the key."""

        async def scenario(pair):
            await pair.owner.send('opaque')
            pair.timer.jump(prefixes.REMEMBERED_S + 1)
            pair.owner.agent.is_unreachable = True
            await pair.owner.send('opaque', left_s=0.05)
            pair.owner.agent.is_unreachable = False
            for gate in (pair.owner, pair.other):
                assert run_of(await gate.send('opaque')) is Executed.UNKNOWN
            assert pair.runs == 1

        run_scenario(scenario)


class TestKeys:
    """Guard against keys that match other requests or outlive their record."""

    def test_concurrent_repeats_wait(self):
        """Concurrent callers of a key get one response, or IDEMPOTENCY_IN_PROGRESS."""

        async def scenario(pair):
            key = pair.owner.new_key()
            pair.owner.release = anyio.Event()
            answers = []

            async def send(gate, left_s):
                answers.append(await gate.send(key, left_s=left_s))

            async with anyio.create_task_group() as tasks:
                for gate in (pair.owner, pair.owner, pair.other):
                    tasks.start_soon(send, gate, 30)
                await anyio.wait_all_tasks_blocked()
                await send(pair.owner, 0.05)
                assert answers[0].kind is ErrorKind.IDEMPOTENCY_IN_PROGRESS
                pair.owner.release.set()
            assert {answer.body for answer in answers[1:]} == {b'booked'}
            assert pair.runs == 1

        run_scenario(scenario)

    @pytest.mark.parametrize('change', ['body', 'service', 'signature', 'prefix'])
    def test_wrong_keys_are_refused(self, change):
        """A key must not return the response to a different request."""

        async def scenario(pair):
            key = pair.owner.new_key()
            await pair.owner.send(key)
            body = b''
            if change == 'body':
                body = b'other'
            elif change == 'service':
                key = f'{pair.owner.idempotency_keys.issue_prefix("schulakten")}nonce'
            elif change == 'signature':
                parts = key.split('.')
                key = '.'.join((*parts[:4], '0' * 32, 'nonce'))
            else:
                key = 'cd1.broken'
            for gate in (pair.owner, pair.other):
                answer = await gate.send(key, body=body)
                assert answer.kind in {
                    ErrorKind.IDEMPOTENCY_KEY_REUSED,
                    ErrorKind.IDEMPOTENCY_KEY_INVALID,
                }
                assert answer.run is Executed.NO
            assert pair.runs == 1

        run_scenario(scenario)

    @pytest.mark.parametrize(
        ('age_s', 'unused', 'used'),
        [
            (prefixes.LIFETIME_S + 1, Executed.NO, Executed.YES),
            (prefixes.REMEMBERED_S + 1, Executed.UNKNOWN, Executed.UNKNOWN),
        ],
    )
    def test_expired_prefix(self, age_s, unused, used):
        """An expired key must not be reported as unused once its record is gone."""

        async def scenario(pair):
            used_key, unused_key = pair.owner.new_key(), pair.owner.new_key()
            await pair.owner.send(used_key)
            pair.timer.jump(age_s)
            assert run_of(await pair.other.send(unused_key)) is unused
            assert run_of(await pair.other.send(used_key)) is used
            assert pair.runs == 1

        run_scenario(scenario)

    def test_full_table_refuses_new_keys_only(self):
        """A full table must refuse new keys instead of evicting used ones."""

        async def scenario(pair):
            gate = await pair.gate('small', table_bytes=2048)
            keys = [gate.new_key() for _ in range(3)]
            answers = [await gate.send(key) for key in keys]
            assert answers[2].kind is ErrorKind.IDEMPOTENCY_TABLE_FULL
            assert answers[2].run is Executed.NO
            assert (await gate.send(keys[0])).run is Executed.YES
            assert gate.runs == 2

        run_scenario(scenario)
