"""Lease floating shares of rate limits for the gate of this host."""

import anyio
import msgspec

from cicadadoor.agent.limits_view import LimitsView
from cicadadoor.agent.state import AgentState
from cicadadoor.config.model import Organisation
from cicadadoor.decisions import shares
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.ids import new_nonce
from cicadadoor.json_decoding import decode_json
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.share_messages import (
    OrganisationDemand,
    ShareDemand,
    ShareGrant,
)
from cicadadoor.object_store.base import StoredObject
from cicadadoor.object_store.writes import ObjectWriter
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('shares')

SHARE_KIND = 'floating_share'
LEASE_S = 10.0
LEASE_MARGIN_S = 1.0
RENEW_S = 3.0
_TICK_S = 1.0
_DEMAND_STALE_S = 3.0
# Shrinking a lease takes two round trips; smaller changes are skipped.
_HYSTERESIS = 0.005
# Part of its demand that a holder claims even below its floor, for bursts.
_MIN_WANTED_FRACTION = 0.05
_US_PER_S = 1_000_000


class _LeaseState:
    """Hold the state of the lease of one organisation.

    `ceiling` is the fraction that the gate was told to shrink to. The stored lease
    shrinks only after the gate has applied that grant.
    """

    __slots__ = (
        'ceiling',
        'clock',
        'deadline_s',
        'gate',
        'is_idle',
        'renewal_due_s',
        'serial',
    )

    def __init__(self, gate: str) -> None:
        self.gate = gate
        self.is_idle = False
        self.clock = shares.LeaseClock(LEASE_MARGIN_S)
        self.ceiling: float | None = None
        self.serial = 0
        self.deadline_s = 0.0
        self.renewal_due_s = 0.0


class FloatingShares(Service):
    """Renew, grow and shrink leases according to the demand that the gate reports."""

    name = 'shares'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._link: DaemonLink
        self._limits: LimitsView
        self._writer: ObjectWriter
        self._demand: ShareDemand | None = None
        self._demand_s = 0.0
        self._lease_states: dict[str, _LeaseState] = {}

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to the gate's demand and schedule renewals."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._link = kernel.find('daemon_link')
        self._limits = kernel.find('limits_view')
        self._writer = ObjectWriter(self._state.store, self._state.instance)
        self._link.on(ShareDemand, self.handle_demand)
        self._timer.subscribe('floating_shares', _TICK_S, self.tick)

    async def handle_demand(self, demand: ShareDemand) -> None:
        """Store the demand of the gate; drop the leases of an earlier gate process."""
        current = self._demand
        if current is None or current.sender_instance != demand.sender_instance:
            self._lease_states.clear()
        self._demand = demand
        self._demand_s = self._timer.now_s()

    async def tick(self) -> None:
        """Renew all leases that are due, concurrently."""
        now_s = self._timer.now_s()
        demand = self._demand
        if demand is None or now_s - self._demand_s > _DEMAND_STALE_S:
            return
        if not demand.claims:
            return
        async with anyio.create_task_group() as tasks:
            for organisation_demand in demand.organisations:
                organisation = self._limits.organisations.get(
                    organisation_demand.organisation
                )
                if organisation is None:
                    continue
                lease_state = self._lease_state(
                    organisation.name, demand.sender_instance
                )
                if _is_due(lease_state, organisation_demand, now_s):
                    tasks.start_soon(
                        self._renew, organisation, organisation_demand, lease_state
                    )

    def _lease_state(self, name: str, gate: str) -> _LeaseState:
        lease_state = self._lease_states.get(name)
        if lease_state is None:
            lease_state = _LeaseState(gate)
            self._lease_states[name] = lease_state
        return lease_state

    async def _renew(
        self,
        organisation: Organisation,
        organisation_demand: OrganisationDemand,
        lease_state: _LeaseState,
    ) -> None:
        current = await self._state.store.get(SHARE_KIND, organisation.name)
        table = _decode(current)
        if table is None:
            return
        now_s = self._timer.now_s()
        others = dict(lease_state.clock.live(table, now_s).leases)
        own = others.pop(lease_state.gate, None)
        held = own.fraction if own else 0
        target = self._target_fraction(
            organisation, organisation_demand, lease_state.gate, others
        )
        if _is_confirmed(lease_state, organisation_demand):
            fraction = min(held, lease_state.ceiling)
        elif target < held - _HYSTERESIS and now_s < lease_state.deadline_s:
            # The gate must shrink before another host may grow.
            lease_state.ceiling = target
            await self._grant(organisation, target, lease_state)
            return
        else:
            free = 1 - sum(lease.fraction for lease in others.values())
            fraction = max(held, min(target, free))
        lease_state.renewal_due_s = now_s + RENEW_S
        lease_state.is_idle = fraction == 0 and organisation_demand.wanted_per_s == 0
        if lease_state.is_idle and own is None:
            return
        if not lease_state.is_idle:
            others[lease_state.gate] = shares.Lease(
                fraction=fraction,
                wanted_per_s=self._wanted_from_floating_per_s(
                    organisation, organisation_demand
                ),
                duration_s=LEASE_S,
                serial=new_nonce(),
            )
        await self._write(organisation, current, others, lease_state)

    def _wanted_from_floating_per_s(
        self, organisation: Organisation, organisation_demand: OrganisationDemand
    ) -> float:
        floor = self._host_floor(organisation) * organisation.rate_per_s
        minimum = organisation_demand.wanted_per_s * _MIN_WANTED_FRACTION
        return max(minimum, organisation_demand.wanted_per_s - floor)

    def _host_floor(self, organisation: Organisation) -> float:
        part = shares.floor_part(organisation.burst, self._limits.floor_fraction)
        return part * len(self._demand.claims) / max(1, self._limits.seat_count)

    def _target_fraction(
        self,
        organisation: Organisation,
        organisation_demand: OrganisationDemand,
        gate: str,
        others: dict[str, shares.Lease],
    ) -> float:
        wants = {holder: lease.wanted_per_s for holder, lease in others.items()}
        wants[gate] = self._wanted_from_floating_per_s(
            organisation, organisation_demand
        )
        floating = self._floating_fraction(organisation)
        if floating <= 0:
            return 0
        minimum = shares.min_lease(
            organisation.burst,
            self._limits.floor_fraction,
            self._host_floor(organisation),
        )
        parts = shares.allocate(wants, organisation.rate_per_s * floating, minimum)
        return parts.get(gate, 0)

    def _floating_fraction(self, organisation: Organisation) -> float:
        fraction = self._limits.floor_fraction
        return 1 - shares.floor_part(organisation.burst, fraction)

    async def _write(
        self,
        organisation: Organisation,
        current: StoredObject | Failure,
        leases: dict[str, shares.Lease],
        lease_state: _LeaseState,
    ) -> None:
        body = msgspec.json.encode(shares.LeaseTable(leases=leases))
        # Measured before the write, so the lease ends here before others see it end.
        started_s = self._timer.now_s()
        if isinstance(current, Failure):
            written = await self._writer.create(SHARE_KIND, organisation.name, body)
        else:
            written = await self._writer.update(current, body)
        if isinstance(written, Failure):
            log.debug('lease_not_written', reason=written.reason)
            lease_state.renewal_due_s = 0
            return
        lease_state.ceiling = None
        own = leases.get(lease_state.gate)
        if own is None:
            return
        lease_state.deadline_s = started_s + LEASE_S
        await self._grant(organisation, own.fraction, lease_state)

    async def _grant(
        self,
        organisation: Organisation,
        fraction: float,
        lease_state: _LeaseState,
    ) -> None:
        # Time-based, so that serials keep rising when the agent restarts.
        now_us = int(self._timer.now_s() * _US_PER_S)
        lease_state.serial = max(lease_state.serial + 1, now_us)
        await self._link.send(
            ShareGrant(
                gate_instance=lease_state.gate,
                organisation=organisation.name,
                fraction=fraction * self._floating_fraction(organisation),
                deadline_s=lease_state.deadline_s,
                serial=lease_state.serial,
            )
        )


def _is_due(
    lease_state: _LeaseState,
    organisation_demand: OrganisationDemand,
    now_s: float,
) -> bool:
    if lease_state.is_idle and organisation_demand.wanted_per_s == 0:
        return False
    return (
        _is_confirmed(lease_state, organisation_demand)
        or now_s >= lease_state.renewal_due_s
    )


def _is_confirmed(
    lease_state: _LeaseState, organisation_demand: OrganisationDemand
) -> bool:
    return (
        lease_state.ceiling is not None
        and organisation_demand.serial >= lease_state.serial
    )


def _decode(current: StoredObject | Failure) -> shares.LeaseTable | None:
    if isinstance(current, Failure):
        if current.kind is ErrorKind.STORE_NOT_FOUND:
            return shares.LeaseTable(leases={})
        return None
    try:
        return decode_json(current.body, type=shares.LeaseTable)
    except msgspec.MsgspecError as error:
        log.warning('floating_share_malformed', reason=str(error))
        return None
