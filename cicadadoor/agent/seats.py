"""Claim, renew and release the seats of this host."""

import math

import msgspec

from cicadadoor.agent.limits_view import LimitsView
from cicadadoor.agent.seat_witness import ROUND_PERIOD_S, SEAT_KIND, SeatWitness
from cicadadoor.agent.state import AgentState
from cicadadoor.decisions import seats
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.ids import new_nonce
from cicadadoor.json_decoding import decode_json
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.share_messages import SeatGrant, SeatReturn, ShareDemand
from cicadadoor.object_store.base import StoredObject
from cicadadoor.object_store.writes import ObjectWriter
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('seats')

_TICK_S = 1.0
_RETRY_S = 5.0
_DEMAND_STALE_S = 3.0
# A free seat is reserved this long for hosts that are starting.
_SPARE_DELAY_S = 60.0
_RELEASE_ATTEMPTS = 5
_US_PER_S = 1_000_000


class SeatManager(Service):
    """Claim seats for the gate of this host and grant them with an expiry time."""

    name = 'seats'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._link: DaemonLink
        self._limits: LimitsView
        self._witness: SeatWitness
        self._writer: ObjectWriter
        self._demand: ShareDemand | None = None
        self._demand_s = -math.inf
        self._ended_gate_instance = ''
        self._table = seats.EMPTY_TABLE
        self._granted: dict[int, str] = {}
        self._is_table_known = False
        self._returning_claim_ids: set[str] = set()
        self._serial = 0
        self._read_due_s = 0.0
        self._free_since_s = math.inf

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to the gate's messages and schedule the renewal of its seats."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._link = kernel.find('daemon_link')
        self._limits = kernel.find('limits_view')
        self._witness = kernel.find('seat_witness')
        self._writer = ObjectWriter(self._state.store, self._state.instance)
        self._link.on(ShareDemand, self.handle_demand)
        self._link.on(SeatReturn, self.handle_return)
        self._timer.subscribe('seats', _TICK_S, self.tick)

    async def handle_demand(self, demand: ShareDemand) -> None:
        """Store the demand of the gate process that listens on the callers' address."""
        current = self._demand
        if current is None or current.sender_instance != demand.sender_instance:
            self._granted = {}
            self._is_table_known = False
            self._returning_claim_ids.clear()
            self._read_due_s = 0
        self._demand = demand
        self._demand_s = self._timer.now_s()

    async def handle_return(self, returned: SeatReturn) -> None:
        """Release the seats of a gate process that has ended."""
        self._ended_gate_instance = returned.sender_instance
        self._set_granted({})
        for _ in range(_RELEASE_ATTEMPTS):
            if await self._release_ended():
                return
        log.warning('seat_not_released', gate=returned.sender_instance)

    async def tick(self) -> None:
        """Refresh the seat table when due and renew the grant of a live gate."""
        now_s = self._timer.now_s()
        holder = self._holder()
        if holder is None or now_s - self._demand_s > _DEMAND_STALE_S:
            return
        if holder.gate_instance == self._ended_gate_instance or self._seat_count() == 0:
            return
        is_confirmed = (
            self._returning_claim_ids and self._demand.seat_serial >= self._serial
        )
        if now_s >= self._read_due_s or is_confirmed:
            await self._refresh(holder)
        await self._send_grant(holder)

    def _holder(self) -> seats.Holder | None:
        demand = self._demand
        if demand is None:
            return None
        return seats.Holder(
            host=self._state.settings.host,
            callers=demand.callers,
            gate_instance=demand.sender_instance,
        )

    def _seat_count(self) -> int:
        domain = self._state.settings.failure_domain
        return self._limits.domain_seats.get(domain, 0)

    async def _refresh(self, holder: seats.Holder) -> None:
        requested_s = self._timer.now_s()
        self._read_due_s = requested_s + _RETRY_S
        domain = self._state.settings.failure_domain
        current = await self._state.store.get(SEAT_KIND, domain)
        table = decode_table(current)
        if table is None:
            await self._refresh_without_platform(holder, requested_s)
            return
        self._witness.note_contact()
        if self._is_gate_replaced(holder):
            return
        desired = self._desired_table(table, holder)
        if desired is not None and desired != table:
            if not await self._write(current, desired):
                return
            table = desired
        self._apply_table(table, holder, requested_s)
        if self._granted:
            self._read_due_s = requested_s + ROUND_PERIOD_S

    def _is_gate_replaced(self, holder: seats.Holder) -> bool:
        # The gate process may have been replaced while waiting for the platform.
        return self._holder() != holder

    def _desired_table(
        self,
        table: seats.SeatTable,
        holder: seats.Holder,
    ) -> seats.SeatTable | None:
        seat_count = self._seat_count()
        own = seats.claims_of(table, holder)
        self._track_free_seats(table, seat_count)
        if not own:
            self._returning_claim_ids.clear()
            return seats.claim_first(table, seat_count, holder, new_nonce())
        # A returned seat is not used again until the table shows it as free, as the
        # write may take effect late if its answer was lost.
        self._returning_claim_ids &= {claim.claim_id for claim in own.values()}
        if self._returning_claim_ids:
            if self._demand.seat_serial < self._serial:
                return None
            return seats.release(table, self._returning_claim_ids)
        if any(claim.mark for claim in own.values()):
            return seats.set_mark(table, holder.host, '')
        spare = seats.seat_to_return(table, seat_count, holder)
        if spare is not None:
            # The gate must stop using the seat before the table lists it as free.
            self._returning_claim_ids = {own[spare].claim_id}
            self._read_due_s = 0
            return None
        if self._timer.now_s() - self._free_since_s >= _SPARE_DELAY_S:
            return seats.claim_spare(table, seat_count, holder, new_nonce())
        return None

    def _track_free_seats(self, table: seats.SeatTable, seat_count: int) -> None:
        now_s = self._timer.now_s()
        if not seats.free_seats(table, seat_count):
            self._free_since_s = math.inf
        elif self._free_since_s == math.inf:
            self._free_since_s = now_s

    def _apply_table(
        self,
        table: seats.SeatTable,
        holder: seats.Holder,
        requested_s: float,
    ) -> None:
        self._table = table
        self._is_table_known = True
        own = seats.claims_of(table, holder)
        if not any(claim.mark for claim in own.values()):
            self._witness.evidence.note_read(requested_s)
        self._set_granted(
            {
                seat: claim.claim_id
                for seat, claim in own.items()
                if claim.claim_id not in self._returning_claim_ids
            }
        )

    async def _refresh_without_platform(
        self,
        holder: seats.Holder,
        requested_s: float,
    ) -> None:
        encoded = await self._witness.read_table()
        if self._is_gate_replaced(holder):
            return
        table = _decode_body(encoded) if encoded else None
        if table is not None:
            self._table = table
            if seats.claims_of(table, holder) or not self._inherited_claims(holder):
                self._apply_table(table, holder, requested_s)
                return
        if self._granted:
            return
        # A restarted agent takes the claims from the demand that the gate sent.
        self._set_granted(self._demand.claims or self._inherited_claims(holder))
        self._is_table_known = bool(self._granted)

    def _inherited_claims(self, holder: seats.Holder) -> dict[int, str]:
        # While the platform is unreachable, a new gate process inherits the seats of
        # the previous one: it could only bind the callers' address because that
        # process has ended.
        return {
            seat: f'{claim.claim_id}/{holder.gate_instance}'
            for seat, claim in self._table.claims.items()
            if claim.host == holder.host and claim.callers == holder.callers
        }

    async def _write(
        self,
        current: StoredObject | Failure,
        desired: seats.SeatTable,
    ) -> bool:
        body = msgspec.json.encode(desired)
        domain = self._state.settings.failure_domain
        if isinstance(current, Failure):
            written = await self._writer.create(SEAT_KIND, domain, body)
        else:
            written = await self._writer.update(current, body)
        if isinstance(written, Failure):
            log.info('seat_table_not_written', reason=written.reason)
            self._read_due_s = 0
            return False
        return True

    async def _release_ended(self) -> bool:
        domain = self._state.settings.failure_domain
        current = await self._state.store.get(SEAT_KIND, domain)
        table = decode_table(current)
        if table is None:
            return False
        holder = seats.Holder(
            host=self._state.settings.host,
            callers='',
            gate_instance=self._ended_gate_instance,
        )
        own = seats.claims_of(table, holder)
        ended = {claim.claim_id for claim in own.values()}
        return not ended or await self._write(current, seats.release(table, ended))

    def _set_granted(self, granted: dict[int, str]) -> None:
        if granted != self._granted:
            log.info('seats_granted', seats=','.join(map(str, sorted(granted))))
            # Time-based, so that serials keep rising when the agent restarts.
            now_us = int(self._timer.now_s() * _US_PER_S)
            self._serial = max(self._serial + 1, now_us)
        self._granted = granted

    async def _send_grant(self, holder: seats.Holder) -> None:
        if not self._is_table_known:
            return
        keeps_until_s = self._witness.evidence.keeps_until_s()
        if self._granted and keeps_until_s <= self._timer.now_s():
            # No renewal: the gate stops using its seats when the last grant expires.
            self._witness.own_seats = ()
            return
        self._witness.own_seats = tuple(self._granted)
        await self._link.send(
            SeatGrant(
                gate_instance=holder.gate_instance,
                claims=self._granted,
                keeps_until_s=max(keeps_until_s, 0),
                serial=self._serial,
            )
        )


def decode_table(current: StoredObject | Failure) -> seats.SeatTable | None:
    """Return the seat table, empty if there is none, or None if it is unreadable."""
    if isinstance(current, StoredObject):
        return _decode_body(current.body)
    if current.kind is ErrorKind.STORE_NOT_FOUND:
        return seats.EMPTY_TABLE
    return None


def _decode_body(body: bytes) -> seats.SeatTable | None:
    try:
        return decode_json(body, type=seats.SeatTable)
    except msgspec.MsgspecError as error:
        log.warning('seat_table_malformed', reason=str(error))
        return None
