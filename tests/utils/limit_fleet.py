"""Run the rate limit services of many hosts on one simulated clock, with faults."""

import copy
import math
from types import SimpleNamespace

import msgspec

from cicadadoor.agent.limits_view import LimitsView
from cicadadoor.agent.seat_reclaim import SeatReclaimer
from cicadadoor.agent.seat_witness import SeatWitness
from cicadadoor.agent.seats import SeatManager
from cicadadoor.agent.shares import FloatingShares
from cicadadoor.config.model import FailureDomain, Organisation, OrganisationLimits
from cicadadoor.decisions.buckets import TokenBucket
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.admission import SeatAdmission
from cicadadoor.gate.shares import GateShares
from cicadadoor.gate.token_exchange import TokenExchange
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.membership_messages import MemberRecord
from cicadadoor.links.messages import GateInfo
from cicadadoor.object_store.base import ObjectStore, StoredObject
from cicadadoor.object_store.memory import MemoryObjectStore
from cicadadoor.timer import TimerService

LINK_PERIOD_S = 0.1
ORGANISATION = 'guild-a'


class HostClock(TimerService):
    """Derive one host's boot clock from the fleet's time by an offset and a rate."""

    def __init__(self, fleet, offset_s: float, rate: float) -> None:
        self._fleet = fleet
        self._offset_s = offset_s
        self._rate = rate
        self.periodic: list[list] = []

    def now_s(self) -> float:
        """Return the host's boot time."""
        return self._offset_s + self._fleet.now_s * self._rate

    def wall_s(self) -> float:
        """Return the fleet's time."""
        return self._fleet.now_s

    def subscribe(self, name, period_s, callback) -> None:
        """Call back at each period."""
        period_s = max(period_s, self._fleet.least_period_s)
        self.periodic.append([self._fleet.now_s + period_s, period_s, callback])

    def after(self, name, delay_s, callback) -> None:
        """Raise NotImplementedError; the services under test do not call this."""
        raise NotImplementedError

    async def sleep(self, delay_s) -> None:
        """Raise NotImplementedError; the services under test do not call this."""
        raise NotImplementedError


class FakeLink(Service):
    """Queue messages for the other daemon of the host."""

    name = 'daemon_link'

    def __init__(self, daemon) -> None:
        self._daemon = daemon
        self._handlers: dict[type, list] = {}
        self.inbox: list = []

    def on(self, message_type, handler) -> None:
        """Call the handler for each message of the type."""
        self._handlers.setdefault(message_type, []).append(handler)

    async def send(self, message) -> None:
        """Queue a message for the other daemon, if it runs."""
        other = self._daemon.other()
        if other is not None:
            stamped = msgspec.structs.replace(
                message, sender_instance=self._daemon.state.instance
            )
            other.link.inbox.append(msgspec.msgpack.encode(stamped))
            other.link.inbox_types.append(type(message))

    inbox_types: list

    async def deliver_queued(self) -> None:
        """Handle all queued messages."""
        while self.inbox:
            message_type = self.inbox_types.pop(0)
            message = msgspec.msgpack.decode(self.inbox.pop(0), type=message_type)
            for handler in self._handlers.get(message_type, ()):
                await handler(message)


class FakeHub(Service):
    """Send requests to daemons of other hosts, with the faults of the fleet."""

    name = 'peers'

    def __init__(self, daemon) -> None:
        self._daemon = daemon
        self.handlers: dict[type, object] = {}

    def on(self, message_type, handler, *answer_types) -> None:
        """Answer requests of a type."""
        self.handlers[message_type] = handler

    async def ask(self, address, message, timeout_s):
        """Send a request and return its answer, or the failure that a fault causes."""
        fleet = self._daemon.host.fleet
        target = fleet.daemon_at(address)
        unreachable = Failure(ErrorKind.PEER_UNREACHABLE, address)
        lost = Failure(ErrorKind.OUTCOME_UNKNOWN, address)
        if target is None or fleet.is_cut(self._daemon.host, target.host):
            return unreachable
        if target.is_paused or target.is_busy:
            return lost
        stamped = msgspec.structs.replace(
            message, sender_instance=self._daemon.state.instance
        )
        handler = target.hub.handlers[type(message)]
        fault = fleet.next_fault('peer')
        if fault == 'lose_request':
            return lost
        if fault == 'late_request':
            fleet.late.append((handler, stamped))
            return lost
        if fault == 'slow':
            await fleet.advance(timeout_s * 0.9, busy=self._daemon)
        answer = await handler(stamped)
        if fault == 'duplicate':
            await handler(stamped)
        if fault == 'slow_answer':
            await fleet.advance(timeout_s * 0.9, busy=self._daemon)
        return lost if fault == 'lose_answer' else answer


class FaultyStore(ObjectStore):
    """Forward one host's calls to the shared store, with faults."""

    def __init__(self, daemon) -> None:
        self._daemon = daemon

    async def get(self, kind, name):
        """Read one object."""
        failure = await self._read_fault()
        return failure or await self._store.get(kind, name)

    async def list(self, kind):
        """Read all objects of a kind."""
        failure = await self._read_fault()
        return failure or await self._store.list(kind)

    async def create(self, new_object):
        """Write an object that must not exist yet."""
        return await self._write(self._store.create, new_object)

    async def update(self, new_object):
        """Replace the object whose version is the given one."""
        return await self._write(self._store.update, new_object)

    async def delete(self, kind, name, version):
        """Raise NotImplementedError; the services under test do not call this."""
        raise NotImplementedError

    def watch(self, kind, since_version):
        """Raise NotImplementedError; the services under test do not call this."""
        raise NotImplementedError

    @property
    def _store(self) -> MemoryObjectStore:
        return self._daemon.host.fleet.store

    def _is_down(self) -> bool:
        host = self._daemon.host
        return host.fleet.is_platform_down or host.is_off_platform

    async def _read_fault(self):
        if self._is_down():
            return Failure(ErrorKind.STORE_UNAVAILABLE, 'down')
        fleet = self._daemon.host.fleet
        fault = fleet.next_fault('read')
        if fault == 'fail':
            return Failure(ErrorKind.STORE_UNAVAILABLE, 'fault')
        if fault == 'slow':
            await fleet.advance(2, busy=self._daemon)
        return None

    async def _write(self, write, new_object: StoredObject):
        if self._is_down():
            return Failure(ErrorKind.STORE_UNAVAILABLE, 'down')
        fleet = self._daemon.host.fleet
        lost = Failure(ErrorKind.STORE_OUTCOME_UNKNOWN, 'lost')
        fault = fleet.next_fault('write')
        if fault == 'fail':
            return Failure(ErrorKind.STORE_UNAVAILABLE, 'fault')
        if fault == 'late':
            fleet.late.append((write, new_object))
            return lost
        if fault == 'slow':
            await fleet.advance(2, busy=self._daemon)
        answer = await write(new_object)
        if fault == 'pause':
            await fleet.advance(15, busy=self._daemon)
        if fault == 'lose_answer':
            fleet.read_faults.append('fail')
            return lost
        return lost if fault == 'lose_answer_once' else answer


class _Membership(Service):
    name = 'membership'

    def __init__(self, host) -> None:
        self._host = host

    def live_records(self) -> list[MemberRecord]:
        """Return the hosts whose agents are reachable."""
        return [
            MemberRecord(
                host=other.name,
                peer_address=f'agent/{other.name}',
                failure_domain=other.domain,
                region='r',
                instance=other.agent.state.instance,
                incarnation=1,
            )
            for other in self._host.fleet.hosts.values()
            if self._can_reach(other)
        ]

    def _can_reach(self, other) -> bool:
        if other is self._host or other.agent is None or other.agent.is_paused:
            return False
        return not self._host.fleet.is_cut(self._host, other)


class _Directory(Service):
    name = 'directory'

    def __init__(self, host) -> None:
        self._host = host

    def all_gates(self) -> list[GateInfo]:
        """Return the gates of all other hosts, reachable or not."""
        return [
            GateInfo(
                host=other.name,
                instance=other.gate.state.instance,
                callers_url='',
                peer_address=f'gate/{other.name}',
                failure_domain=other.domain,
                region='r',
            )
            for other in self._host.fleet.hosts.values()
            if other is not self._host and other.gate is not None
        ]


class Daemon:
    """Run the services of one process."""

    def __init__(self, host, *services: Service) -> None:
        self.host = host
        self.is_paused = False
        self.is_busy = False
        self.clock = HostClock(host.fleet, host.offset_s, host.rate)
        self.link = FakeLink(self)
        self.link.inbox_types = []
        self.hub = FakeHub(self)
        self.services = services

    async def start(self) -> None:
        """Start the services in order."""
        kernel = Kernel()
        self.clock.subscribe('link', LINK_PERIOD_S, self.link.deliver_queued)
        for service in (self.state, self.clock, self.link, self.hub, *self.services):
            kernel.register(service)
        for service in self.services:
            await service.start(kernel)


class _State(Service):
    name = 'state'

    def __init__(self, host, instance: str) -> None:
        fleet = host.fleet
        self.instance = instance
        self.settings = SimpleNamespace(
            host=host.name,
            failure_domain=host.domain,
            callers=f'ip-of-{host.name}',
            seat_isolation_s=600,
            seat_reclaim_s=1200,
        )
        self.view = SimpleNamespace(
            generation=1,
            organisations=fleet.organisations,
            floor_fraction=fleet.floor_fraction,
            seat_count=sum(fleet.domain_seats.values()),
        )
        self.is_bound = True
        self.seats = ()


class Gate(Daemon):
    """Run the rate limit services of a gate."""

    def __init__(self, host) -> None:
        self.shares = GateShares()
        self.exchange = TokenExchange()
        self.admission = SeatAdmission()
        super().__init__(
            host, _Directory(host), self.shares, self.exchange, self.admission
        )
        self.state = _State(host, host.new_instance('gate'))

    def other(self) -> Daemon | None:
        """Return the agent of the host."""
        return self.host.agent


class Agent(Daemon):
    """Run the rate limit services of an agent."""

    def __init__(self, host) -> None:
        fleet = host.fleet
        self.limits = LimitsView()
        self.limits.use(
            OrganisationLimits(
                floor_fraction=fleet.floor_fraction,
                organisations=tuple(fleet.organisations.values()),
            ),
            tuple(
                FailureDomain(name=name, region='r', seats=count, delay_to_clients_us=0)
                for name, count in fleet.domain_seats.items()
            ),
        )
        self.limits.start = _start_nothing
        self.witness = SeatWitness()
        self.seat_manager = SeatManager()
        self.reclaimer = SeatReclaimer()
        self.shares = FloatingShares()
        super().__init__(
            host,
            _Membership(host),
            self.limits,
            self.witness,
            self.seat_manager,
            self.reclaimer,
            self.shares,
        )
        self.state = _State(host, host.new_instance('agent'))
        self.state.store = FaultyStore(self)

    def other(self) -> Daemon | None:
        """Return the gate of the host."""
        return self.host.gate


async def _start_nothing(kernel) -> None:
    """Replace LimitsView.start, which would follow the configuration."""


class FleetHost:
    """Hold the agent and the gate of one host; each is None while it does not run."""

    def __init__(self, fleet, name: str, domain: str, offset_s: float, rate: float):
        self.fleet = fleet
        self.name = name
        self.domain = domain
        self.offset_s = offset_s
        self.rate = rate
        self.is_off_platform = False
        self.gate: Gate | None = None
        self.agent: Agent | None = None
        self._instances = 0

    def new_instance(self, what: str) -> str:
        """Return a new instance id for a process of this host."""
        self._instances += 1
        return f'{self.name}-{what}-{self._instances}'

    async def start_agent(self) -> None:
        """Start the agent as a new process."""
        self.agent = Agent(self)
        await self.agent.start()

    async def start_gate(self) -> None:
        """Start the gate as a new process."""
        self.gate = Gate(self)
        await self.gate.start()


class Fleet:
    """Simulate hosts, platform and network, and record each admitted request."""

    def __init__(
        self,
        domain_seats: dict[str, int],
        *,
        rate_per_s: float,
        burst: int,
        floor_fraction: float = 0.5,
        offsets_s: tuple[float, ...] = (0,),
        rates: tuple[float, ...] = (1,),
        least_period_s: float = 0,
    ) -> None:
        # Raises the periods of all callbacks, to shorten long simulations.
        self.least_period_s = least_period_s
        self.now_s = 10_000.0
        self.domain_seats = domain_seats
        self.floor_fraction = floor_fraction
        self.organisations = {
            ORGANISATION: Organisation(
                name=ORGANISATION, rate_per_s=rate_per_s, burst=burst
            )
        }
        self.store = MemoryObjectStore()
        self.is_platform_down = False
        self.cut: set[frozenset[str]] = set()
        self.late: list[tuple] = []
        self.read_faults: list[str] = []
        self.write_faults: list[str] = []
        self.peer_faults: list[str] = []
        self.admitted_s: list[float] = []
        self.hosts: dict[str, FleetHost] = {}
        self._depth = 0
        for domain, seats in domain_seats.items():
            for number in range(seats):
                position = len(self.hosts)
                offset_s = offsets_s[position % len(offsets_s)]
                rate = rates[position % len(rates)]
                name = f'{domain}-{number}'
                self.hosts[name] = FleetHost(self, name, domain, offset_s, rate)

    async def start(self) -> None:
        """Start all hosts and register them in the platform's host list."""
        for host in self.hosts.values():
            await self.store.create(StoredObject(kind='host', name=host.name, body=b''))
            await host.start_agent()
            await host.start_gate()

    def daemon_at(self, address: str) -> Daemon | None:
        """Return the daemon that listens at an address."""
        what, _, name = address.partition('/')
        host = self.hosts[name]
        return host.agent if what == 'agent' else host.gate

    def is_cut(self, one: FleetHost, other: FleetHost) -> bool:
        """Tell whether two hosts can't reach each other."""
        return frozenset((one.name, other.name)) in self.cut

    def cut_off(self, name: str) -> None:
        """Partition a host from all others and from the platform."""
        self.hosts[name].is_off_platform = True
        for other in self.hosts:
            if other != name:
                self.cut.add(frozenset((name, other)))

    def heal(self) -> None:
        """End all partitions and the platform's outage."""
        self.cut.clear()
        self.is_platform_down = False
        for host in self.hosts.values():
            host.is_off_platform = False

    def next_fault(self, what: str) -> str:
        """Return the next fault for a kind of call; '' in nested advance() calls."""
        faults = getattr(self, f'{what}_faults')
        return faults.pop(0) if faults and self._depth < 2 else ''

    async def advance(self, delay_s: float, busy: Daemon | None = None) -> None:
        """Advance the time and run callbacks as they fall due.

        Callbacks of the busy process, which is within a slow call, do not run.
        """
        if busy is not None and busy.is_busy:
            self.now_s += delay_s
            return
        end_s = self.now_s + delay_s
        self._depth += 1
        if busy is not None:
            busy.is_busy = True
        while (due := self._next_due()) is not None and due[0] <= end_s:
            self.now_s = max(self.now_s, due[0])
            due[0] = max(due[0] + due[1], self.now_s)
            await due[2]()
        if busy is not None:
            busy.is_busy = False
        self._depth -= 1
        self.now_s = max(self.now_s, end_s)

    async def deliver_late(self) -> None:
        """Deliver the delayed requests and writes now."""
        while self.late:
            handler, message = self.late.pop(0)
            await handler(message)

    def request(self, name: str, count: int = 1) -> int:
        """Send requests to a host and return how many were admitted."""
        gate = self.hosts[name].gate
        if gate is None or gate.is_paused:
            return 0
        organisation = self.organisations[ORGANISATION]
        admitted = 0
        for _ in range(count):
            if gate.admission.admit(organisation) is None:
                admitted += 1
                self.admitted_s.append(self.now_s)
        return admitted

    def assert_shares(self) -> None:
        """Check that the gates' shares and tokens together stay within the limits."""
        burst = self.organisations[ORGANISATION].burst
        share, tokens = 0.0, 0.0
        for host in self.hosts.values():
            if host.gate is None:
                continue
            # A copy, since account() updates the limits; a paused gate must later
            # make these updates itself.
            limits = copy.deepcopy(host.gate.shares.limits())
            now_s = host.gate.clock.now_s()
            bucket = limits.account(ORGANISATION, now_s).bucket
            bucket.refill(now_s)
            share += bucket.share()
            tokens += bucket.tokens
        assert share <= 1 + 1e-9, (share, self.now_s)
        assert tokens <= burst + 1e-9, (tokens, self.now_s)

    def assert_within_limits(self) -> None:
        """Check all admitted requests against one bucket that is full at the start."""
        organisation = self.organisations[ORGANISATION]
        oracle = TokenBucket(
            organisation.rate_per_s,
            organisation.burst,
            -math.inf,
            organisation.burst,
        )
        for number, admitted_s in enumerate(self.admitted_s):
            # The tolerance covers rounding errors of summed fractions.
            assert oracle.take(admitted_s, 1 - 1e-6), (number, admitted_s)

    def _next_due(self) -> list | None:
        pending: list[list] = []
        for host in self.hosts.values():
            for daemon in (host.agent, host.gate):
                if daemon and not daemon.is_paused and not daemon.is_busy:
                    pending.extend(daemon.clock.periodic)
        return min(pending, key=lambda entry: entry[0], default=None)
