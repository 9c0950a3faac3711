"""Run the planner, which advances shifts and drains on one agent at a time."""

import msgspec

from cicadadoor.agent.drain_runner import DrainRunner
from cicadadoor.agent.loads import LoadSource
from cicadadoor.agent.operator_orders import OperatorOrders
from cicadadoor.agent.plan_context import ContextReader, PlanContext
from cicadadoor.agent.shift_runner import MAX_PLAN_AGE_S, ShiftRunner
from cicadadoor.agent.state import AgentState
from cicadadoor.config.fence import fence
from cicadadoor.config.operations import LEASE_KIND, LEASE_NAME
from cicadadoor.decisions.shift_steps import LastWeightChange
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.json_decoding import decode_json
from cicadadoor.kernel import Kernel, Service
from cicadadoor.object_store.base import ObjectStore, StoredObject
from cicadadoor.object_store.writes import ObjectWriter
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('planner')

_PERIOD_S = 1.0
LEASE_RENEW_S = 3.0
LEASE_LIFETIME_S = 10.0


class LeaseBody(msgspec.Struct, frozen=True, kw_only=True):
    """Identify the agent process that holds the planner lease."""

    holder: str
    host: str


class PlannerLease:
    """Acquire and renew the lease that selects the planning agent.

    The lease only avoids duplicate work; safety does not depend on it. A new holder
    rewrites the configuration root, so that the store rejects a later step of the
    previous holder, which may only have been paused.
    """

    def __init__(
        self,
        store: ObjectStore,
        writer: ObjectWriter,
        timer: TimerService,
        body: LeaseBody,
    ) -> None:
        self._store = store
        self._writer = writer
        self._timer = timer
        self._body = body
        self._seen_version = 0
        self._seen_s = 0.0
        self._renewed_s: float | None = None
        self._is_fenced = False

    async def hold(self) -> bool:
        """Acquire or renew the lease; return whether it is held."""
        now_s = self._timer.now_s()
        if self._renewed_s is not None and now_s - self._renewed_s < LEASE_RENEW_S:
            return True
        self._renewed_s = None
        current = await self._store.get(LEASE_KIND, LEASE_NAME)
        if isinstance(current, Failure):
            if current.kind is not ErrorKind.STORE_NOT_FOUND:
                return False
            return await self._write_lease(None)
        if self._is_own(current):
            return await self._write_lease(current)
        self._is_fenced = False
        if current.version != self._seen_version:
            self._seen_version = current.version
            self._seen_s = now_s
        if now_s - self._seen_s < LEASE_LIFETIME_S:
            return False
        return await self._write_lease(current)

    async def _write_lease(self, current: StoredObject | None) -> bool:
        requested_s = self._timer.now_s()
        body = msgspec.json.encode(self._body)
        if current is None:
            stored = await self._writer.create(LEASE_KIND, LEASE_NAME, body)
        else:
            stored = await self._writer.update(current, body)
        if isinstance(stored, Failure):
            return False
        if not self._is_fenced:
            log.info('planner_lease_taken')
            failure = await fence(self._store, self._writer)
            if failure is not None:
                return False
            self._is_fenced = True
        self._renewed_s = requested_s
        return True

    def _is_own(self, current: StoredObject) -> bool:
        try:
            body = decode_json(current.body, type=LeaseBody)
        except msgspec.MsgspecError:
            return False
        return body.holder == self._body.holder


class Planner(Service):
    """Read the state, plan and write once per period while holding the lease."""

    name = 'planner'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._orders: OperatorOrders
        self._loads: LoadSource
        self._lease: PlannerLease
        self._reader: ContextReader
        self._shifts: ShiftRunner
        self._drains: DrainRunner
        self._rules: dict[str, list[object]] = {}
        self._last_changes: dict[str, LastWeightChange] = {}

    async def start(self, kernel: Kernel) -> None:
        """Create the runners and schedule planning."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._orders = kernel.find('orders')
        self._loads = kernel.find('loads')
        store = self._state.store
        writer = ObjectWriter(store, self._state.instance)
        body = LeaseBody(holder=self._state.instance, host=self._state.settings.host)
        self._lease = PlannerLease(store, writer, self._timer, body)
        self._reader = ContextReader(store)
        self._shifts = ShiftRunner(self._state, self._timer, writer)
        self._drains = DrainRunner(self._state, self._timer, writer, self._shifts)
        self._timer.subscribe('planner', _PERIOD_S, self.tick)

    async def tick(self) -> None:
        """Plan if this agent holds the lease; write at most one step."""
        if not self._orders.is_leader() or not await self._lease.hold():
            return
        context = await self.read()
        if isinstance(context, Failure):
            log.info('planner_waits', reason=context.reason)
            return
        if self._timer.now_s() - context.read_s <= MAX_PLAN_AGE_S:
            await self.advance(context)

    async def read(self) -> PlanContext | Failure:
        """Read configuration, operations and load for one planning round."""
        read_s = self._timer.now_s()
        context = await self._reader.read()
        if isinstance(context, Failure):
            return context
        context.read_s = read_s
        self._update_last_changes(context)
        context.last_changes = self._last_changes
        context.reports = await self._loads.collect()
        domains = [domain.name for domain in context.topology.failure_domains]
        context.measurements = context.reports.measurements(domains)
        return context

    async def advance(self, context: PlanContext) -> None:
        """Advance drains, then shifts, until one of them may have written the root."""
        for drain in context.drains:
            if await self._drains.advance(drain, context):
                return
        for shift in context.shifts:
            if await self._shifts.advance(shift, context):
                return

    def _update_last_changes(self, context: PlanContext) -> None:
        # A change is dated when this process first sees it, on its own clock. That is
        # never before the change itself and compares no clocks of different hosts.
        rules: dict[str, list[object]] = {}
        for rule in context.weights.rules:
            rules.setdefault(rule.service, []).append(rule)
        now_s = self._timer.now_s()
        generation = context.accepted.root.generation
        last_changes = {}
        for service, service_rules in rules.items():
            change = self._last_changes.get(service)
            if change is None or self._rules.get(service) != service_rules:
                change = LastWeightChange(generation, now_s)
            last_changes[service] = change
        self._rules = rules
        self._last_changes = last_changes
