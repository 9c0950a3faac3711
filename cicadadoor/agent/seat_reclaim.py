"""Reclaim the seats of hosts of this failure domain that are gone permanently."""

import msgspec

from cicadadoor.agent.seat_witness import ROUND_PERIOD_S, SEAT_KIND, SeatWitness
from cicadadoor.agent.seats import decode_table
from cicadadoor.agent.state import AgentState
from cicadadoor.decisions import seats
from cicadadoor.errors import Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.object_store.base import StoredObject
from cicadadoor.object_store.writes import ObjectWriter
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('seats')

HOST_KIND = 'host'
_MAX_GAP_S = 3 * ROUND_PERIOD_S


class SeatReclaimer(Service):
    """Mark the seats of an absent host, wait, and free them if it stays absent."""

    name = 'seat_reclaimer'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._witness: SeatWitness
        self._writer: ObjectWriter
        self._timers: dict[str, seats.ReclaimTimer] = {}

    async def start(self, kernel: Kernel) -> None:
        """Schedule the check for absent holders."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._witness = kernel.find('seat_witness')
        self._writer = ObjectWriter(self._state.store, self._state.instance)
        self._timer.subscribe('seat_reclaim', ROUND_PERIOD_S, self.check_holders)

    async def check_holders(self) -> None:
        """Check each holder without recent contact, and free its seats when due."""
        domain = self._state.settings.failure_domain
        current = await self._state.store.get(SEAT_KIND, domain)
        table = decode_table(current)
        if table is None or isinstance(current, Failure):
            return
        own = self._state.settings.host
        holders = set(seats.seat_counts(table)) - {own}
        absent = {host for host in holders if not self._witness.is_heard(host)}
        for host in set(self._timers) - absent:
            self._timers.pop(host)
        marked_by_self = {
            host
            for host in holders - absent
            if self._state.instance in seats.marks_of(table, host)
        }
        if not absent and not marked_by_self:
            return
        listed = await self._state.store.list(HOST_KIND)
        if isinstance(listed, Failure):
            return
        names = {stored.name for stored in listed.objects}
        # At most one host per check, because each write changes the table version.
        for host in sorted(absent | marked_by_self):
            conditions = self._conditions(host, holders, names)
            if await self._advance_reclaim(host, conditions, current, table):
                return

    def _conditions(
        self,
        host: str,
        holders: set[str],
        listed: set[str],
    ) -> seats.ReclaimConditions:
        own = self._state.settings.host
        others = holders - {host}
        heard_here = {
            other for other in others if self._witness.is_heard_directly(other)
        }
        # Only the first of the hosts that hear each other reclaims, so that two
        # reclaimers do not overwrite each other's marks.
        is_first = all(own < other for other in heard_here)
        return seats.ReclaimConditions(
            reclaimer_holds_seat=bool(self._witness.own_seats) and is_first,
            is_list_trusted=own in listed,
            is_listed=host in listed,
            is_heard=self._witness.is_heard(host),
            all_others_heard=others & listed <= heard_here,
            other_domains=self._witness.other_domains(),
            domains_heard=self._witness.domains_heard(),
        )

    async def _advance_reclaim(
        self,
        host: str,
        conditions: seats.ReclaimConditions,
        current: StoredObject,
        table: seats.SeatTable,
    ) -> bool:
        mark = self._state.instance
        marks = seats.marks_of(table, host)
        reclaim_timer = self._timers.get(host)
        if reclaim_timer is None:
            reclaim_timer = seats.ReclaimTimer(
                self._state.settings.seat_reclaim_s, _MAX_GAP_S
            )
            self._timers[host] = reclaim_timer
        is_due = reclaim_timer.is_due(
            are_conditions_met=conditions.are_met(),
            is_marked=marks == {mark},
            now_s=self._timer.now_s(),
        )
        desired = table
        if is_due:
            log.warning('seat_reclaimed', host=host)
            desired = seats.remove_marked(table, host, mark)
        elif conditions.are_met():
            desired = seats.set_mark(table, host, mark)
        elif mark in marks:
            desired = seats.set_mark(table, host, '')
        if desired == table:
            return False
        written = await self._writer.update(current, msgspec.json.encode(desired))
        if isinstance(written, Failure):
            log.info('seat_table_not_written', reason=written.reason)
        return True
