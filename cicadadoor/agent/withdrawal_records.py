"""Record withdrawn keys in the platform and read those recorded there."""

import random

from cicadadoor.agent.membership import Membership
from cicadadoor.agent.platform_watch import PlatformWatch
from cicadadoor.agent.state import AgentState
from cicadadoor.agent.withdrawals import Withdrawals
from cicadadoor.config.submission import WITHDRAWAL_KIND
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.object_store.writes import ObjectWriter
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('withdrawals')

RECORD_PERIOD_S = 2.0
_RECORDED_PER_PERIOD = 20
# Relays record at once; other members only after this time, if no relay has.
_MEMBER_RECORDS_AFTER_S = 30.0


class WithdrawalRecords(Service):
    """Synchronise the withdrawals of this host with those in the platform."""

    name = 'withdrawal_records'

    def __init__(self) -> None:
        self._state: AgentState
        self._timer: TimerService
        self._membership: Membership
        self._withdrawals: Withdrawals
        self._writer: ObjectWriter
        self._rng = random.Random()

    async def start(self, kernel: Kernel) -> None:
        """Schedule recording, and watch the platform while this host is a relay."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._membership = kernel.find('membership')
        self._withdrawals = kernel.find('withdrawals')
        self._writer = ObjectWriter(self._state.store, self._state.instance)
        self._timer.subscribe('withdrawals_record', RECORD_PERIOD_S, self.record)
        PlatformWatch(kernel, 'withdrawals', self._membership.is_relay, self._watch)

    async def seed(self) -> Failure | None:
        """Read all withdrawals, unless a complete set was received before."""
        return None if self._withdrawals.is_seeded else await self.read_platform()

    async def read_platform(self) -> Failure | None:
        """Read all withdrawals from the platform."""
        listed = await self._state.store.list(WITHDRAWAL_KIND)
        if isinstance(listed, Failure):
            return listed
        names = [stored.name for stored in listed.objects]
        await self._withdrawals.add_recorded(names)
        self._withdrawals.note_seeded(listed.version)
        return None

    async def record(self) -> None:
        """Record withdrawals in the platform that are not known to be there."""
        oldest_s = self._timer.now_s()
        if not self._membership.is_relay():
            oldest_s -= _MEMBER_RECORDS_AFTER_S * self._rng.uniform(1, 2)
        unrecorded = self._withdrawals.unrecorded_since(oldest_s)
        for key_hash in unrecorded[:_RECORDED_PER_PERIOD]:
            if not await self.record_one(key_hash):
                return

    async def record_one(self, key_hash: str) -> bool:
        """Record one withdrawal; return whether it is in the platform."""
        written = await self._writer.create(WITHDRAWAL_KIND, key_hash, b'{}')
        is_recorded = not isinstance(written, Failure)
        if not is_recorded and written.kind is not ErrorKind.STORE_CONFLICT:
            log.info('withdrawal_not_recorded', reason=written.reason)
            return False
        await self._withdrawals.add_recorded([key_hash])
        return True

    async def _watch(self) -> Failure:
        withdrawals = self._withdrawals
        if not withdrawals.covered_version or not withdrawals.is_seeded:
            failure = await self.read_platform()
            if failure is not None:
                return failure
        since = self._withdrawals.covered_version
        async for event in self._state.store.watch(WITHDRAWAL_KIND, since):
            if isinstance(event, Failure):
                if event.kind is ErrorKind.STORE_COMPACTED:
                    self._withdrawals.covered_version = 0
                return event
            await self._withdrawals.add_recorded([event.changed.name])
            self._withdrawals.covered_version = event.changed.version
        return Failure(
            ErrorKind.STORE_UNAVAILABLE, 'watch of withdrawals ended without an error'
        )
