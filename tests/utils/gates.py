"""Run services of gates and agents over fake links that a test controls."""

from cicadadoor.config import chunks
from cicadadoor.config.view import SectionCache
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.credits import CreditExchange
from cicadadoor.gate.directory import GateDirectory
from cicadadoor.gate.link_budgets import LinkBudgets
from cicadadoor.gate.request import SteeredRequest
from cicadadoor.gate.routing import TwoChoicesRouter
from cicadadoor.gate.servers import BackendServers
from cicadadoor.gate.slot_share import ConfiguredSeat
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.links.messages import Message, PeerUpdate
from cicadadoor.links.transport import MessageStamp
from cicadadoor.settings import parse_address
from tests.utils.deployments import small_deployment


class FakeKernel(Kernel):
    """Queue spawned work until the test runs it."""

    def __init__(self) -> None:
        super().__init__()
        self.spawned = []

    def spawn(self, work, *arguments, on_fault=OnFault.STOP) -> None:
        """Queue the work."""
        self.spawned.append((work, arguments))

    async def run_spawned(self) -> None:
        """Run all queued work, including what it spawns."""
        while self.spawned:
            work, arguments = self.spawned.pop(0)
            await work(*arguments)


class FakeLink(Service):
    """Stand in for the link between the agent and the gate of a host."""

    name = 'daemon_link'

    def __init__(self) -> None:
        self.handlers = {}
        self.sent: list[Message] = []

    def on(self, message_type, handler) -> None:
        """Keep the handler."""
        self.handlers.setdefault(message_type, []).append(handler)

    async def send(self, message: Message) -> None:
        """Record the message."""
        self.sent.append(message)

    async def deliver(self, message: Message) -> None:
        """Pass a message from the other daemon to its handlers."""
        for handler in self.handlers.get(type(message), ()):
            await handler(message)


class FakeNetwork:
    """Carry requests between hubs, with faults set by the test."""

    def __init__(self) -> None:
        self.hubs = {}
        self.asked: list[Message] = []
        self.lose_requests = False
        self.lose_answers = False
        self.duplicate = False


class FakeHub(Service):
    """Stand in for the connections to other hosts."""

    name = 'peers'

    def __init__(self, network: FakeNetwork, instance: str, address: str) -> None:
        self._network = network
        self._stamp = MessageStamp(instance)
        self.handlers = {}
        network.hubs[address] = self

    def on(self, request_type, handler, *answer_types) -> None:
        """Keep the handler."""
        self.handlers[request_type] = handler

    async def ask(self, address: str, message: Message, timeout_s: float):
        """Pass the request to the peer, with the faults of the network."""
        self._network.asked.append(message)
        peer = self._network.hubs.get(address)
        if peer is None or self._network.lose_requests:
            return Failure(ErrorKind.PEER_UNREACHABLE, f'{address} is unreachable')
        stamped = self._stamp.apply(message)
        answer = await peer.handlers[type(message)](stamped)
        if self._network.duplicate:
            answer = await peer.handlers[type(message)](stamped)
        if self._network.lose_answers:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, 'answer lost')
        return answer


class Settings:
    """Hold the settings that the services under test read."""

    def __init__(self, host: str, region: str, domain: str, **others) -> None:
        self.host = host
        self.region = region
        self.failure_domain = domain
        self.seat_index = 0
        self.callers_url = f'http://{host}'
        # The port differs only between host names of different lengths.
        self.gate_peers = parse_address(f'127.0.0.1:{1000 + len(host) * 7}')
        self.answer_ttl_ms = 5000
        for name, content in others.items():
            setattr(self, name, content)


def view_of(deployment, generation: int = 1):
    """Build the view of a deployment."""
    sections = chunks.split(deployment.build())
    return SectionCache().build(generation, chunks.digests(sections), sections)


def domain_deployment(domains, slots: int = 4, servers: int = 2):
    """Describe domains that each run `kursbuchung` and `schulakten`."""
    deployment = small_deployment(domains)
    for domain in domains:
        for service, prefix in (('kursbuchung', 'kb'), ('schulakten', 'sa')):
            for number in range(servers):
                deployment.backend_server(
                    service,
                    f'{prefix}-{domain}-{number}',
                    url=f'http://{prefix}-{domain}-{number}',
                    failure_domain=domain,
                    slots=slots,
                    connections=330,
                )
    return deployment


class GateUnderTest:
    """Run the routing services of one gate."""

    def __init__(self, timer, network, settings, view) -> None:
        self.kernel = FakeKernel()
        self.link = FakeLink()
        self.state = GateState(settings)
        self.address = str(settings.gate_peers)
        self.hub = FakeHub(network, self.state.instance, self.address)
        self.servers = BackendServers()
        self.router = TwoChoicesRouter()
        self.credits = CreditExchange()
        self.links = LinkBudgets()
        self.directory = GateDirectory()
        self._services = (
            timer,
            self.state,
            self.link,
            self.hub,
            ConfiguredSeat(),
            self.servers,
            self.links,
            self.router,
            self.credits,
            _Lookup(),
            self.directory,
        )
        self.view = view

    async def start(self) -> None:
        """Start all services."""
        for service in self._services:
            self.kernel.register(service)
        for service in self._services[1:]:
            await service.start(self.kernel)
        self.state.activate(self.view)

    async def learn_gates(self, *gates: 'GateUnderTest') -> None:
        """Announce the other gates to this one."""
        await self.link.deliver(PeerUpdate(gates=[gate.state.info() for gate in gates]))

    def request(self, service: str = 'kursbuchung', body: bytes = b''):
        """Return a request for a service."""
        return SteeredRequest(
            request_id='r',
            method='GET',
            path='/',
            query='',
            headers={},
            body=body,
            client_ip='127.0.0.1',
            received_s=0,
            deadline_s=1e9,
            service=self.state.view.services[service],
            route=None,
            organisation=None,
            key_hash='',
        )

    def acquire_all(self, service: str = 'kursbuchung') -> list:
        """Acquire targets until none is free, and return them."""
        taken = []
        while True:
            target = self.router.try_acquire(self.request(service))
            if isinstance(target, Failure):
                return taken
            taken.append(target)


class _Lookup(Service):
    name = 'lookup'

    def set_hosts(self, hosts) -> None:
        """Ignore the hosts."""
