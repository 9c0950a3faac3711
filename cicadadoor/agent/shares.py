"""Lease floating shares for the gate of this host."""

import anyio
import msgspec

from cicadadoor.agent.limits_view import LimitsView
from cicadadoor.agent.state import AgentState
from cicadadoor.config.model import Organisation
from cicadadoor.decisions import shares
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.ids import new_nonce
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
# Smaller changes are not worth a shrink, which takes two round trips.
_HYSTERESIS = 0.005
# A holder keeps a little of the floating share for bursts over its floor.
_LEAST_WANT = 0.05
_US_PER_S = 1_000_000


class _Holding:
    """Hold what the gate was last granted of one organisation.

    `ceiling` is the fraction that the gate was told to shrink to; the stored lease
    follows once the gate has applied that grant.
    """

    __slots__ = (
        'ceiling',
        'clock',
        'deadline_s',
        'gate',
        'is_idle',
        'renew_s',
        'serial',
    )

    def __init__(self, gate: str) -> None:
        self.gate = gate
        self.is_idle = False
        self.clock = shares.LeaseClock(LEASE_MARGIN_S)
        self.ceiling: float | None = None
        self.serial = 0
        self.deadline_s = 0.0
        self.renew_s = 0.0


class FloatingShares(Service):
    """Renew, grow and shrink leases by what the gate reports that callers want."""

    name = 'shares'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._link: DaemonLink
        self._limits: LimitsView
        self._writer: ObjectWriter
        self._demand: ShareDemand | None = None
        self._demand_s = 0.0
        self._holdings: dict[str, _Holding] = {}

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to the gate's demand."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._link = kernel.find('daemon_link')
        self._limits = kernel.find('limits_view')
        self._writer = ObjectWriter(self._state.store, self._state.instance)
        self._link.on(ShareDemand, self.take_demand)
        self._timer.subscribe('floating_shares', _TICK_S, self.tick)

    async def take_demand(self, demand: ShareDemand) -> None:
        """Note what callers of the gate want."""
        present = self._demand
        if present is None or present.sender_instance != demand.sender_instance:
            self._holdings.clear()
        self._demand = demand
        self._demand_s = self._timer.now_s()

    async def tick(self) -> None:
        """Renew what is due, for all organisations at once."""
        now_s = self._timer.now_s()
        demand = self._demand
        if demand is None or now_s - self._demand_s > _DEMAND_STALE_S:
            return
        if not demand.claims:
            return
        async with anyio.create_task_group() as tasks:
            for wanted in demand.organisations:
                organisation = self._limits.organisations.get(wanted.organisation)
                if organisation is None:
                    continue
                holding = self._holding(organisation.name, demand.sender_instance)
                if _is_due(holding, wanted, now_s):
                    tasks.start_soon(self._renew, organisation, wanted, holding)

    def _holding(self, name: str, gate: str) -> _Holding:
        holding = self._holdings.get(name)
        if holding is None:
            holding = _Holding(gate)
            self._holdings[name] = holding
        return holding

    async def _renew(
        self,
        organisation: Organisation,
        wanted: OrganisationDemand,
        holding: _Holding,
    ) -> None:
        present = await self._state.store.get(SHARE_KIND, organisation.name)
        table = _decode(present)
        if table is None:
            return
        now_s = self._timer.now_s()
        others = dict(holding.clock.live(table, now_s).leases)
        own = others.pop(holding.gate, None)
        held = own.fraction if own else 0
        target = self._target(organisation, wanted, holding.gate, others)
        if _is_confirmed(holding, wanted):
            fraction = min(held, holding.ceiling)
        elif target < held - _HYSTERESIS and now_s < holding.deadline_s:
            # The gate shrinks first; only then may another host grow.
            holding.ceiling = target
            await self._grant(organisation, target, holding)
            return
        else:
            free = 1 - sum(lease.fraction for lease in others.values())
            fraction = max(held, min(target, free))
        holding.renew_s = now_s + RENEW_S
        holding.is_idle = fraction == 0 and wanted.wanted_per_s == 0
        if holding.is_idle and own is None:
            return
        if not holding.is_idle:
            others[holding.gate] = shares.Lease(
                fraction=fraction,
                wanted_per_s=self._want(organisation, wanted),
                duration_s=LEASE_S,
                serial=new_nonce(),
            )
        await self._write(organisation, present, others, holding)

    def _want(self, organisation: Organisation, wanted: OrganisationDemand) -> float:
        floor = self._floor(organisation) * organisation.rate_per_s
        least = wanted.wanted_per_s * _LEAST_WANT
        return max(least, wanted.wanted_per_s - floor)

    def _floor(self, organisation: Organisation) -> float:
        part = shares.floor_part(organisation.burst, self._limits.floor_fraction)
        return part * len(self._demand.claims) / max(1, self._limits.seat_count)

    def _target(
        self,
        organisation: Organisation,
        wanted: OrganisationDemand,
        gate: str,
        others: dict[str, shares.Lease],
    ) -> float:
        wants = {holder: lease.wanted_per_s for holder, lease in others.items()}
        wants[gate] = self._want(organisation, wanted)
        floating = self._floating(organisation)
        if floating <= 0:
            return 0
        least = shares.min_lease(
            organisation.burst,
            self._limits.floor_fraction,
            self._floor(organisation),
        )
        parts = shares.allocate(wants, organisation.rate_per_s * floating, least)
        return parts.get(gate, 0)

    def _floating(self, organisation: Organisation) -> float:
        fraction = self._limits.floor_fraction
        return 1 - shares.floor_part(organisation.burst, fraction)

    async def _write(
        self,
        organisation: Organisation,
        present: StoredObject | Failure,
        leases: dict[str, shares.Lease],
        holding: _Holding,
    ) -> None:
        body = msgspec.json.encode(shares.LeaseTable(leases=leases))
        # The lease counts from before the write is sent: others see it later.
        started_s = self._timer.now_s()
        if isinstance(present, Failure):
            written = await self._writer.create(SHARE_KIND, organisation.name, body)
        else:
            written = await self._writer.update(present, body)
        if isinstance(written, Failure):
            log.debug('lease_not_written', reason=written.reason)
            holding.renew_s = 0
            return
        holding.ceiling = None
        own = leases.get(holding.gate)
        if own is None:
            return
        holding.deadline_s = started_s + LEASE_S
        await self._grant(organisation, own.fraction, holding)

    async def _grant(
        self,
        organisation: Organisation,
        fraction: float,
        holding: _Holding,
    ) -> None:
        # Serials of a restarted agent go on above those of its predecessor.
        now_us = int(self._timer.now_s() * _US_PER_S)
        holding.serial = max(holding.serial + 1, now_us)
        await self._link.send(
            ShareGrant(
                gate_instance=holding.gate,
                organisation=organisation.name,
                fraction=fraction * self._floating(organisation),
                deadline_s=holding.deadline_s,
                serial=holding.serial,
            )
        )


def _is_due(
    holding: _Holding,
    wanted: OrganisationDemand,
    now_s: float,
) -> bool:
    if holding.is_idle and wanted.wanted_per_s == 0:
        return False
    return _is_confirmed(holding, wanted) or now_s >= holding.renew_s


def _is_confirmed(holding: _Holding, wanted: OrganisationDemand) -> bool:
    return holding.ceiling is not None and wanted.serial >= holding.serial


def _decode(present: StoredObject | Failure) -> shares.LeaseTable | None:
    if isinstance(present, Failure):
        if present.kind is ErrorKind.STORE_NOT_FOUND:
            return shares.LeaseTable(leases={})
        return None
    try:
        return msgspec.json.decode(present.body, type=shares.LeaseTable)
    except msgspec.MsgspecError as error:
        log.warning('floating_share_malformed', reason=str(error))
        return None
