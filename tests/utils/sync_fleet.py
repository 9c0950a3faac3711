"""Run the agents and gates of many hosts in one process, on a manual clock."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.lowlevel import checkpoint

from cicadadoor.agent.config_sender import ConfigSender
from cicadadoor.agent.isolation import Isolation
from cicadadoor.agent.membership import Membership
from cicadadoor.agent.peer_updates import PeerUpdates
from cicadadoor.agent.relay import Relay
from cicadadoor.agent.state import AgentState
from cicadadoor.agent.status import StatusCollector
from cicadadoor.agent.sync import ConfigSync
from cicadadoor.agent.withdrawal_records import WithdrawalRecords
from cicadadoor.agent.withdrawals import Withdrawals
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.config_receiver import ConfigReceiver
from cicadadoor.gate.keys import KeyAuthenticator
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.links.messages import (
    Ack,
    Codec,
    GateInfo,
    Message,
    PeerUpdate,
    Refusal,
    encode,
)
from cicadadoor.links.transport import MessageStamp
from cicadadoor.object_store.base import ObjectStore
from cicadadoor.settings import Settings, parse_address
from cicadadoor.timer import Callback, TimerService
from tests.utils.faulty_store import FaultyStore
from tests.utils.manual_timer import ManualTimer

STEP_S = 0.25
_SETTLE_ROUNDS = 60


class Network:
    """Deliver requests between agents, with faults."""

    def __init__(self, seed: int) -> None:
        self.nodes: dict[str, 'Node'] = {}
        self.cut: Callable[['Node', 'Node'], bool] = lambda source, target: False
        self.loss = 0.0
        self.duplication = 0.0
        self.sent_bytes = 0
        self.messages = 0
        self._rng = random.Random(seed)
        self._late: list[tuple[Node, bytes]] = []

    async def ask(self, source: 'Node', address: str, message: Message):
        """Deliver a request and return its answer."""
        target = self.nodes.get(address)
        is_cut = target is not None and self.cut(source, target)
        if target is None or target.is_down or is_cut:
            return Failure(ErrorKind.PEER_UNREACHABLE, address)
        encoded = encode(source.stamp.apply(message))
        self.messages += 1
        self.sent_bytes += len(encoded)
        if target.is_paused:
            self._late.append((target, encoded))
            return Failure(ErrorKind.OUTCOME_UNKNOWN, address)
        if self._rng.random() < self.loss:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, address)
        if self._rng.random() < self.duplication:
            await target.receive(encoded)
            self._late.append((target, encoded))
        answer = await target.receive(encoded)
        self.sent_bytes += len(answer)
        if self._rng.random() < self.loss:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, address)
        return source.decode_answer(answer)

    async def deliver_late(self) -> None:
        """Deliver duplicated and delayed requests to the hosts that run now."""
        late, self._late = self._late, []
        self._rng.shuffle(late)
        for target, encoded in late:
            if target.is_running:
                await target.receive(encoded)
            elif not target.is_down:
                self._late.append((target, encoded))


class FakePeers(Service):
    """Stand in for PeerHub."""

    name = 'peers'

    def __init__(self, node: 'Node') -> None:
        self._node = node
        self.handlers: dict[type[Message], Any] = {}
        self.answers: set[type[Message]] = {Ack, Refusal}

    def on(self, request_type, handler, *answer_types) -> None:
        """Answer requests of a type."""
        self.handlers[request_type] = handler
        self.answers.update(answer_types)

    async def ask(self, address: str, message: Message, timeout_s: float):
        """Send a request over the fake network."""
        return await self._node.network.ask(self._node, address, message)

    def disconnect(self, address: str) -> None:
        """Do nothing, since the fake network has no connections."""


class FakeLink(Service):
    """Stand in for one end of the link between agent and gate."""

    name = 'daemon_link'

    def __init__(self) -> None:
        self.handlers: dict[type[Message], list[Any]] = {}
        self.other: FakeLink | None = None

    def on(self, message_type, handler) -> None:
        """Call the handler for each message of the type."""
        self.handlers.setdefault(message_type, []).append(handler)

    async def send(self, message: Message) -> Failure | None:
        """Pass a message to the other end."""
        if self.other is None:
            return Failure(
                ErrorKind.PEER_UNREACHABLE, 'the other daemon is not connected'
            )
        for handler in self.other.handlers.get(type(message), ()):
            await handler(message)
        return None


class NodeTimer(TimerService):
    """Skip the callbacks of a process that has ended or is paused."""

    def __init__(self, timer: ManualTimer, runs: Callable[[], bool]) -> None:
        self._timer = timer
        self._runs = runs

    def now_s(self) -> float:
        """Return the simulated time."""
        return self._timer.now_s()

    def wall_s(self) -> float:
        """Return the same time."""
        return self._timer.wall_s()

    def subscribe(self, name: str, period_s: float, callback: Callback) -> None:
        """Call back at each period."""
        self._timer.subscribe(name, period_s, self._guard(callback))

    def after(self, name: str, delay_s: float, callback: Callback) -> None:
        """Call back once."""
        self._timer.after(name, delay_s, self._guard(callback))

    async def sleep(self, delay_s: float) -> None:
        """Wait for the delay, and then until the process runs."""
        await self._timer.sleep(delay_s)
        while not self._runs():
            await self._timer.sleep(STEP_S)

    def _guard(self, callback: Callback) -> Callback:
        async def guarded() -> None:
            if self._runs():
                await callback()

        return guarded


class NodeStore(ObjectStore):
    """Access the platform from one host, unless the host is cut off from it."""

    def __init__(self, node: 'Node', store: FaultyStore) -> None:
        self._node = node
        self._store = store
        self.open_watches = 0

    def _outage(self) -> Failure | None:
        if self._node.can_reach_platform and not self._store.is_down:
            return None
        return Failure(ErrorKind.STORE_UNAVAILABLE, 'host is cut off from the platform')

    async def get(self, kind, name):
        """Read one object."""
        return self._outage() or await self._store.get(kind, name)

    async def list(self, kind):
        """Read all objects of a kind."""
        return self._outage() or await self._store.list(kind)

    async def create(self, new_object):
        """Write an object that must not exist yet."""
        return self._outage() or await self._store.create(new_object)

    async def update(self, new_object):
        """Replace an object."""
        return self._outage() or await self._store.update(new_object)

    async def delete(self, kind, name, version):
        """Delete an object."""
        return self._outage() or await self._store.delete(kind, name, version)

    async def watch(self, kind, since_version):
        """Yield changes while the platform can be reached."""
        self.open_watches += 1
        try:
            async for event in self._store.watch(kind, since_version):
                while self._node.is_paused:
                    await self._node.timer.sleep(STEP_S)
                yield self._outage() or event
        finally:
            self.open_watches -= 1


class Node:
    """Run one entry host: an agent, and the control services of a gate."""

    def __init__(self, fleet: 'Fleet', host: str, domain: str, region: str) -> None:
        self.fleet = fleet
        self.host = host
        self.domain = domain
        self.network = fleet.network
        self.timer = fleet.timer
        self.address = f'127.0.0.1:{1000 + len(fleet.nodes)}'
        self.is_down = True
        self.is_paused = False
        self.can_reach_platform = True
        self.generations: list[int] = []
        self.announced_gates: list[GateInfo] = []
        self._scope: anyio.CancelScope | None = None
        fields = dict.fromkeys(Settings.__slots__)
        address = parse_address(self.address)
        fields.update(host=host, failure_domain=domain, region=region, seed_peers=[])
        fields.update(answer_ttl_ms=5000)
        fields.update(agent_peers=address, gate_peers=address, callers_url='http://x')
        self.settings = Settings(**fields)

    @property
    def is_running(self) -> bool:
        """Tell whether the host is neither down nor paused."""
        return not self.is_down and not self.is_paused

    async def start(self) -> None:
        """Start agent and gate as new processes."""
        self.is_down = False
        self.is_paused = False
        self._scope = anyio.CancelScope()
        token = object()
        self._agent_token = token
        timer = NodeTimer(
            self.timer, lambda: self._agent_token is token and self.is_running
        )
        self.store = NodeStore(self, self.fleet.store)
        self.state = AgentState(self.settings, self.store)
        self.stamp = MessageStamp(self.state.instance)
        self.peers = FakePeers(self)
        self.agent_link = FakeLink()
        self.sync = ConfigSync()
        self.membership = Membership()
        self.withdrawals = Withdrawals()
        self.status = StatusCollector()
        await self._start_services(
            timer,
            self.state,
            self.peers,
            self.agent_link,
            self.withdrawals,
            self.sync,
            ConfigSender(),
            self.status,
            self.membership,
            PeerUpdates(),
            WithdrawalRecords(),
            Relay(),
            Isolation(),
        )
        self.codec = Codec(*self.peers.handlers)
        self._answer_codec = Codec(*self.peers.answers)
        self.generations = []
        await self.start_gate()

    async def start_gate(self) -> None:
        """Start the gate as a new process."""
        token = object()
        self._gate_token = token
        timer = NodeTimer(
            self.timer,
            lambda: self._gate_token is token and self.is_running,
        )
        gate_link = FakeLink()
        gate_link.on(PeerUpdate, self._record_gates)
        gate_link.other = self.agent_link
        self.agent_link.other = gate_link
        self.generations = []
        self.gate = GateState(self.settings)
        self.keys = KeyAuthenticator()
        await self._start_services(
            timer,
            self.gate,
            gate_link,
            self.keys,
            ConfigReceiver(),
        )

    async def _start_services(self, *services: Service) -> None:
        kernel = Kernel()
        kernel.spawn = self._spawn
        for service in services:
            kernel.register(service)
        for service in services:
            await service.start(kernel)

    def kill(self) -> None:
        """Kill both processes."""
        self.is_down = True
        self._agent_token = None
        self._scope.cancel()

    @property
    def generation(self) -> int:
        """Return the gate's active generation, or 0."""
        return self.gate.view.generation if self.gate.view else 0

    async def receive(self, encoded: bytes) -> bytes:
        """Answer a request."""
        request = self.codec.decode(encoded)
        assert isinstance(request, Message), request
        answer = await self.peers.handlers[type(request)](request)
        return encode(self.stamp.apply(answer, request.message_id))

    async def _record_gates(self, update: PeerUpdate) -> None:
        self.announced_gates = update.gates

    def decode_answer(self, encoded: bytes) -> Message | Failure:
        """Decode an answer to a request of this host."""
        return self._answer_codec.decode(encoded)

    def _spawn(
        self,
        work: Callable[..., Awaitable[None]],
        *arguments: Any,
        on_fault: OnFault = OnFault.STOP,
    ) -> None:
        self.fleet.tasks.start_soon(self._run, self._scope, work, arguments)

    async def _run(self, process_scope, work, arguments) -> None:
        with anyio.CancelScope() as scope:
            if process_scope.cancel_called:
                return
            self.fleet.scopes.append((process_scope, scope))
            await work(*arguments)


class Fleet:
    """Simulate all hosts, the platform and the clock."""

    def __init__(self, tasks, domains: dict[str, int], seed: int = 1) -> None:
        random.seed(seed)
        self.tasks = tasks
        self.scopes: list[tuple[anyio.CancelScope, anyio.CancelScope]] = []
        self.timer = ManualTimer()
        self.store = FaultyStore()
        self.network = Network(seed)
        self.nodes: dict[str, Node] = {}
        for domain, count in domains.items():
            region = domain.rpartition('-')[0]
            for number in range(count):
                host = f'{domain}-{number}'
                node = Node(self, host, domain, region)
                self.nodes[host] = node
                self.network.nodes[node.address] = node
        seed_addresses = [self.nodes[f'{domain}-0'].address for domain in domains]
        for node in self.nodes.values():
            node.settings.seed_peers = [
                parse_address(address) for address in seed_addresses
            ]

    async def start(self) -> None:
        """Start all hosts."""
        for node in self.nodes.values():
            await node.start()

    async def run_for(self, duration_s: float) -> None:
        """Advance the time, and check that no gate returns to an older generation."""
        for _ in range(round(duration_s / STEP_S)):
            await self.timer.advance(STEP_S)
            await self.settle()
            for node in self.running():
                node.generations.append(node.generation)
                assert node.generations == sorted(node.generations), node.host

    async def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Advance the time until the condition holds; return the time taken."""
        began_s = self.timer.now_s()
        while not condition():
            assert self.timer.now_s() - began_s < limit_s, self.generations()
            await self.run_for(STEP_S)
        return self.timer.now_s() - began_s

    async def settle(self) -> None:
        """Run all tasks until they wait, and deliver late requests."""
        for process_scope, scope in self.scopes:
            if process_scope.cancel_called:
                scope.cancel()
        for _ in range(_SETTLE_ROUNDS):
            await checkpoint()
        await self.network.deliver_late()

    def running(self) -> list[Node]:
        """Return the running hosts."""
        return [node for node in self.nodes.values() if node.is_running]

    def generations(self) -> dict[str, int]:
        """Return the active generation of each running host."""
        return {node.host: node.generation for node in self.running()}

    def is_everywhere(self, generation: int) -> bool:
        """Tell whether the generation is active on all running hosts."""
        return all(node.generation == generation for node in self.running())


def run_fleet(domains: dict[str, int], scenario, seed: int = 1) -> None:
    """Start a fleet and run a scenario with it."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks, domains, seed)
            await fleet.start()
            await scenario(fleet)
            tasks.cancel_scope.cancel()

    anyio.run(run)
