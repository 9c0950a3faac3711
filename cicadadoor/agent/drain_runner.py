"""Advance drains: shift load away, wait for requests in flight, report what is left."""

from typing import Any

import msgspec

from cicadadoor.agent.plan_context import PlanContext, StoredOperation
from cicadadoor.agent.shift_runner import ShiftRunner
from cicadadoor.agent.state import AgentState
from cicadadoor.config.operations import (
    Approval,
    Drain,
    DrainState,
    Hold,
    Scope,
    Shift,
    find_blocking_hold,
)
from cicadadoor.decisions import shift_steps
from cicadadoor.decisions.shift_steps import USABLE_SHARE, PlannedStep, RegionLoad
from cicadadoor.decisions.weights import TOLERANCE, weight_of
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.links.steering_messages import GateLoad
from cicadadoor.object_store.writes import ObjectWriter
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('planner')

# A region with a drain in one of these states receives no load from other drains.
_EXCLUDING_STATES = frozenset(
    set(DrainState) - {DrainState.CANCELLED, DrainState.ABANDONED}
)


class DrainRunner:
    """Advance each drain until nothing is in flight or its deadline has passed."""

    def __init__(
        self,
        state: AgentState,
        timer: TimerService,
        writer: ObjectWriter,
        shifts: ShiftRunner,
    ) -> None:
        self._timer = timer
        self._writer = writer
        self._shifts = shifts
        self._author = f'planner at {state.settings.host}'

    async def advance(
        self, stored_drain: StoredOperation[Drain], context: PlanContext
    ) -> bool:
        """Advance a drain; return whether the root may have changed."""
        drain = stored_drain.operation
        if not drain.is_open:
            return False
        hold = _find_hold(drain, context)
        if hold:
            left = f'held by {hold.author}'
        elif drain.state is DrainState.LEAVING:
            left = _pending_work(stored_drain, context)
        elif drain.scope is Scope.REGION:
            is_written, left = await self._shift_away(stored_drain, context)
            if is_written:
                return True
        else:
            left = _capacity_shortfall(drain, context)
        await self._update_state(stored_drain, left)
        return False

    async def _update_state(
        self, stored_drain: StoredOperation[Drain], left: str
    ) -> None:
        drain = stored_drain.operation
        is_shifting = drain.state is DrainState.SHIFTING
        if left == '' and is_shifting:
            await self._update(
                stored_drain, 'nothing new is sent', state=DrainState.LEAVING
            )
        elif left == '':
            await self._update(stored_drain, 'done', state=DrainState.DONE, left='')
        elif self._timer.wall_s() >= drain.deadline_wall_s:
            change = f'the deadline has passed: {left}'
            ended = DrainState.ABANDONED if is_shifting else DrainState.FAILED
            await self._update(stored_drain, change, state=ended, left=left)
        elif _reason_kind(left) != _reason_kind(drain.left):
            await self._update(stored_drain, f'waits: {left}', left=left)

    async def _shift_away(
        self,
        stored_drain: StoredOperation[Drain],
        context: PlanContext,
    ) -> tuple[bool, str]:
        wait_reasons: list[str] = []
        for service in sorted(context.last_changes):
            planned = self._plan(stored_drain, service, context)
            if isinstance(planned, PlannedStep):
                name = _shift_name(stored_drain, service)
                refusal = await self._shifts.write(name, planned, context)
                return True, refusal.reason if refusal else ''
            if planned is not None:
                wait_reasons.append(f'{service} waits: {planned.reason}')
        return False, '; '.join(wait_reasons)

    def _plan(
        self,
        stored_drain: StoredOperation[Drain],
        service: str,
        context: PlanContext,
    ) -> PlannedStep | Failure | None:
        drain = stored_drain.operation
        weights = [
            weight_of(rule.weights, drain.target)
            for rule in context.weights.rules
            if rule.service == service
        ]
        if max(weights) <= TOLERANCE:
            return self._shifts.check_settled(service, 0, context)
        shift = self._shift_to_freest_region(drain, service, context)
        if shift is None:
            return Failure(ErrorKind.NO_CAPACITY, 'no other region may take it')
        return self._shifts.plan(_shift_name(stored_drain, service), shift, context)

    def _shift_to_freest_region(
        self,
        drain: Drain,
        service: str,
        context: PlanContext,
    ) -> Shift | None:
        excluded = {hold.target for hold in context.holds if hold.scope is Scope.REGION}
        for other_stored in context.drains:
            other = other_stored.operation
            if other.scope is Scope.REGION and other.state in _EXCLUDING_STATES:
                excluded.add(other.target)
        free_slots = {
            region.name: _free_slots(context.measurements.load(service, region.name))
            for region in context.topology.regions
            if region.name not in excluded
        }
        if not free_slots:
            return None
        return Shift(
            author=drain.author,
            changed_by=drain.author,
            change='',
            wall_s=drain.wall_s,
            service=service,
            source=drain.target,
            target=max(sorted(free_slots), key=free_slots.__getitem__),
            step_size=context.weights.max_step,
            interval_s=0,
            approval=Approval.AUTOMATIC,
        )

    async def _update(
        self, stored_drain: StoredOperation[Drain], change: str, **fields: Any
    ) -> None:
        changed = msgspec.structs.replace(
            stored_drain.operation,
            changed_by=self._author,
            change=change,
            wall_s=self._timer.wall_s(),
            **fields,
        )
        log.info('drain_changed', drain=stored_drain.name, change=change)
        stored = await self._writer.update(
            stored_drain.stored, msgspec.json.encode(changed)
        )
        if isinstance(stored, Failure):
            log.info('drain_not_updated', drain=stored_drain.name, reason=stored.reason)


def _find_hold(drain: Drain, context: PlanContext) -> Hold | None:
    for hold in context.holds:
        if (hold.scope, hold.target) == (drain.scope, drain.target):
            return hold
    region = _region_of(drain, context)
    return find_blocking_hold(context.holds, service='', regions={region})


def _region_of(drain: Drain, context: PlanContext) -> str:
    for domain in context.topology.failure_domains:
        if drain.scope is Scope.FAILURE_DOMAIN and domain.name == drain.target:
            return domain.region
    return drain.target if drain.scope is Scope.REGION else ''


def _capacity_shortfall(drain: Drain, context: PlanContext) -> str:
    """Return why the rest of the region cannot take the load of a failure domain."""
    refusal = shift_steps.check_fresh(context.measurements)
    if refusal is not None:
        return refusal.reason
    region = _region_of(drain, context)
    own: dict[str, float] = {}
    for aged in context.reports.reports:
        if aged.load.failure_domain == drain.target:
            for service, measured in aged.load.services.items():
                own[service] = own.get(service, 0) + measured.slots
    for service, slots in own.items():
        load = context.measurements.load(service, region)
        limit = USABLE_SHARE * (load.slots - slots)
        if load.busy > limit:
            return (
                f'no room: {service} uses {load.busy:.1f} slots in {region}; '
                f'{limit:.1f} would be left'
            )
    return ''


def _pending_work(stored_drain: StoredOperation[Drain], context: PlanContext) -> str:
    """Return what is still in flight, or which gates have not confirmed the drain."""
    drain = stored_drain.operation
    domains, servers = _affected_domains_and_servers(drain, context)
    reported = {aged.load.failure_domain for aged in context.reports.reports}
    silent = sorted(domains - reported)
    for host, domain in sorted(context.reports.missing.items()):
        if domain in domains:
            silent.append(host)
    if silent:
        return f'no report from {", ".join(silent)}'
    for aged in context.reports.reports:
        gate = aged.load
        if gate.failure_domain not in domains:
            continue
        if gate.orders_version < stored_drain.stored.version:
            return f'not confirmed: host {gate.host} has not heard of the drain'
        in_flight = _in_flight(gate, servers)
        if in_flight:
            return f'in flight: {in_flight} at host {gate.host}'
    return ''


def _affected_domains_and_servers(
    drain: Drain, context: PlanContext
) -> tuple[set[str], set[str]]:
    region = _region_of(drain, context)
    target_domains = context.domains_of(region)
    if drain.scope is Scope.FAILURE_DOMAIN:
        target_domains = {drain.target}
    domains = set()
    servers = set()
    for service in context.services:
        for server in service.backend_servers:
            names = {
                Scope.SERVICE: service.name,
                Scope.BACKEND_SERVER: server.name,
            }
            is_named = names.get(drain.scope) == drain.target
            if is_named or server.failure_domain in target_domains:
                domains.add(server.failure_domain)
                servers.add(server.name)
    return domains, servers


def _in_flight(gate: GateLoad, servers: set[str]) -> int:
    return sum(
        count for name, count in gate.server_in_flight.items() if name in servers
    )


def _free_slots(load: RegionLoad) -> float:
    return load.slots * USABLE_SHARE - load.busy


def _shift_name(stored_drain: StoredOperation[Drain], service: str) -> str:
    return f'drain.{stored_drain.name}.{service}'


def _reason_kind(left: str) -> str:
    return left.partition(':')[0]
