"""Run planners on a faulty store and a manual clock."""

import msgspec

from cicadadoor.agent.loads import AgedLoad, LoadReports, LoadSource
from cicadadoor.agent.planner import Planner
from cicadadoor.agent.state import AgentState
from cicadadoor.config import chunks
from cicadadoor.config.acceptance import (
    Submitter,
    parse_root,
    read_index,
    read_root,
    read_sections,
)
from cicadadoor.config.operation_store import OperationStore
from cicadadoor.config.operations import Approval, Drain, Scope, Shift
from cicadadoor.decisions.weights import moved_share, steering_of
from cicadadoor.kernel import Service
from cicadadoor.links.steering_messages import GateLoad, ServiceLoad
from cicadadoor.object_store.memory import MemoryObjectStore
from cicadadoor.object_store.writes import ObjectWriter
from tests.utils.faulty_calls import Crashed, FaultyCalls
from tests.utils.gates import FakeKernel, Settings, domain_deployment
from tests.utils.manual_timer import ManualTimer

DOMAINS = {'m-1': ('m', 1), 'n-1': ('n', 1), 'o-1': ('o', 1)}
TTL_S = 2.0


class Leader(Service):
    """Stand in for the orders service of a host that leads its domain."""

    name = 'orders'

    def is_leader(self) -> bool:
        """Return True, so that the planner under test plans."""
        return True


class FakeLoads(LoadSource):
    """Report the loads that a test sets, for gates that apply changes at once."""

    def __init__(self, inner: MemoryObjectStore) -> None:
        self.inner = inner
        self.busy = {'m': 4.0, 'n': 1.0, 'o': 1.0}
        self.slots = 20.0
        self.bytes_per_s = 0.0
        self.age_s = 0.1
        self.missing: dict[str, str] = {}
        self.settled: int | None = None
        self.orders_version: int | None = None
        self.in_flight: dict[str, int] = {}

    async def collect(self) -> LoadReports:
        """Return one report per domain that is not missing."""
        accepted = await read_root(self.inner)
        generation = accepted.root.generation
        reports = [
            AgedLoad(self._report(domain, region, generation), self.age_s)
            for domain, (region, _) in DOMAINS.items()
            if domain not in self.missing
        ]
        return LoadReports(reports, self.missing)

    def _report(self, domain, region, generation) -> GateLoad:
        load = ServiceLoad(
            busy=self.busy[region],
            slots=self.slots,
            bytes_per_s=self.bytes_per_s,
        )
        version = self.inner.version
        return GateLoad(
            host=f'{domain}-0',
            failure_domain=domain,
            region=region,
            settled_generation=generation if self.settled is None else self.settled,
            orders_version=(
                version if self.orders_version is None else self.orders_version
            ),
            services={'kursbuchung': load, 'schulakten': load},
            server_in_flight=self.in_flight,
            link_bytes_per_s={},
        )


class Planning:
    """Set up a store with an accepted configuration, and planners for it."""

    def __init__(self) -> None:
        self.timer = ManualTimer()
        self.inner = MemoryObjectStore()
        self.store = FaultyCalls(self.inner, self.timer.now_s)
        self.loads = FakeLoads(self.inner)
        self.planners = 0
        self.initial_weights = None

    async def start(self, max_step: float = 0.25) -> None:
        """Submit the initial configuration."""
        configuration = domain_deployment(DOMAINS).build()
        weights = msgspec.structs.replace(configuration.weights, max_step=max_step)
        configuration = msgspec.structs.replace(configuration, weights=weights)
        writer = ObjectWriter(self.inner, 'operator')
        submitter = Submitter(self.inner, writer)
        await submitter.submit(None, chunks.split(configuration), 'operator', 0)
        self.initial_weights = weights

    async def planner(self) -> Planner:
        """Start another planner process."""
        self.planners += 1
        kernel = FakeKernel()
        settings = Settings(f'h{self.planners}', 'm', 'm-1')
        settings.answer_ttl_ms = (TTL_S - 1) * 1000
        state = AgentState(settings, self.store)
        for service in (self.timer, state, Leader(), self.loads):
            kernel.register(service)
        planner = Planner()
        await planner.start(kernel)
        return planner

    async def shift(self, name: str = 's', approval=Approval.AUTOMATIC, **fields):
        """Create a shift of `kursbuchung` from m to n."""
        given = {'step_size': 0.25, 'interval_s': 0.0, **fields}
        shift = Shift(
            author='ann',
            changed_by='ann',
            change='created',
            wall_s=0,
            service='kursbuchung',
            source='m',
            target='n',
            approval=approval,
            **given,
        )
        return await self.operations(Shift).create(name, shift)

    async def drain(self, scope: Scope, target: str, state, within_s=600.0):
        """Create a drain."""
        drain = Drain(
            author='ann',
            changed_by='ann',
            change='started',
            wall_s=0,
            scope=scope,
            target=target,
            deadline_wall_s=self.timer.wall_s() + within_s,
            state=state,
        )
        return await self.operations(Drain).create('d', drain)

    def operations(self, operation_type) -> OperationStore:
        """Return an operation store without faults, as operators use it."""
        return OperationStore(
            self.inner, ObjectWriter(self.inner, 'cli'), operation_type
        )

    async def run(self, seconds: int, planner: Planner | None = None) -> None:
        """Run a planner once per second, and replace it when it crashes."""
        planner = planner or await self.planner()
        for _ in range(seconds):
            self.timer.jump(1)
            await self.store.deliver_late()
            try:
                await planner.tick()
            except Crashed:
                planner = await self.planner()

    async def weights(self, stored=None):
        """Return the weights of a stored root, by default of the accepted one."""
        if stored is None:
            stored = (await read_root(self.inner)).stored
        index = await read_index(self.inner, parse_root(stored).index_digest)
        digests = {'weights': index.sections['weights'].digest}
        sections = await read_sections(self.inner, digests)
        return chunks.decode('weights', sections['weights'])

    async def steps(self) -> list[float]:
        """Return the largest weight change of each accepted root that has one."""
        step_sizes = []
        before = self.initial_weights
        for stored in self.store.roots:
            after = await self.weights(stored)
            if after != before:
                step_sizes.append(_largest_change(before, after))
            before = after
        return step_sizes


def _largest_change(before, after) -> float:
    old = steering_of(before)
    new = steering_of(after)
    return max(moved_share(old[key], new[key], key[1]) for key in new)
