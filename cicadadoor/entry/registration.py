"""Register this host in the store, and remove the records of hosts that are gone.

The record also holds the quarantines that the host knows. A host that starts reads them
before it replaces its own record, so that they outlive the death of all hosts at once.
"""

import random
from collections.abc import Awaitable, Callable

import msgspec

from cicadadoor.entry.membership import Membership
from cicadadoor.entry.mirror import Mirror
from cicadadoor.entry.model import HostRecord, Topic
from cicadadoor.entry.quarantine import CrashWatch
from cicadadoor.entry.source import RecordSource
from cicadadoor.entry.state import EntryState
from cicadadoor.errors import Failure
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('listing')

WriteHost = Callable[[HostRecord], Awaitable[None | Failure]]

_PUBLISH_RETRY_S = 0.5
# Hosts whose records a copy may lack write them again at this rate, all together; each
# record takes up to two calls, and the store takes several hundred a second.
_REWRITES_PER_S = 150
# Until its own record is in the list of hosts, a host refuses limited organisations.
_LISTING_WAIT_S = 0.3
# Longer than a read of the list takes from a slow store.
_LISTING_RETRY_S = 1.0
# A killed host restarts within seconds. A host that stays silent for longer, while most
# others send heartbeats, is gone.
_GONE_TIMEOUT_S = 20.0
_CHECK_INTERVAL_S = 5.0
# Quarantines are stored at once, and again in this interval: what a starting host reads
# must not be older than the time for which a quarantine lasts without a request.
_QUARANTINE_CHECK_S = 0.5
_QUARANTINE_REFRESH_S = 15.0
# A host that starts beside a slow store publishes its record at the latest after this.
_FIRST_LIST_TIMEOUT_S = 1.0
_FIRST_LIST_POLL_S = 0.02


class HostRegistration(Service):
    """Keep the record of this host in the store while the host serves callers."""

    name = 'listing'

    def __init__(self) -> None:
        self._kernel: Kernel
        self._state: EntryState
        self._mirror: Mirror
        self._source: RecordSource
        self._timer: TimerService
        self._membership: Membership
        self._crashes: CrashWatch
        self._is_published = False
        self._stored: frozenset[int] = frozenset()
        self._stored_s = 0.0
        # Records whose quarantines have been adopted, by host.
        self._adopted: dict[str, tuple[str, float]] = {}

    async def start(self, kernel: Kernel) -> None:
        """Publish the record, and check periodically for hosts that are gone."""
        self._kernel = kernel
        self._state = kernel.find('state')
        self._mirror = kernel.find('mirror')
        self._source = kernel.find('source')
        self._timer = kernel.find('timer')
        self._membership = kernel.find('membership')
        self._crashes = kernel.find('quarantine')
        self._mirror.subscribe(self._on_change)
        self._mirror.eras.subscribe(self._on_era)
        kernel.spawn(self._publish, on_fault=OnFault.RESTART)
        self._timer.subscribe(
            'remove_gone_hosts', _CHECK_INTERVAL_S, self._remove_gone_hosts
        )
        self._timer.subscribe(
            'store_quarantines', _QUARANTINE_CHECK_S, self._store_quarantines
        )

    @property
    def leave_timeout_s(self) -> float:
        """Return how long leaving may take; after that, peers detect its silence."""
        return self._state.settings.leave_s

    async def leave(self) -> None:
        """Remove the record from the store."""
        answer = await self._source.remove_host(self._state.settings.host)
        if isinstance(answer, Failure):
            log.warning('host_not_removed', reason=answer.reason)

    def _on_era(self) -> None:
        # The copy may lack the record, or hold one of an earlier run.
        if self._is_published and not self._state.is_leaving:
            self._is_published = False
            self._kernel.spawn(self._publish_again, on_fault=OnFault.RESTART)

    async def _publish_again(self) -> None:
        spread_s = self._membership.host_count / _REWRITES_PER_S
        await self._timer.sleep(random.random() * spread_s)
        await self._publish()

    async def _publish(self) -> None:
        await self._await_first_list()
        while not self._state.is_leaving:
            answer = await self._write(self._source.publish_host)
            if not isinstance(answer, Failure):
                self._is_published = True
                await self._await_listing()
                return
            log.warning('host_not_published', reason=answer.reason)
            await self._timer.sleep(_PUBLISH_RETRY_S)

    async def _await_first_list(self) -> None:
        waited_s = 0.0
        while waited_s < _FIRST_LIST_TIMEOUT_S and not self._mirror.revision(
            Topic.HOSTS
        ):
            await self._timer.sleep(_FIRST_LIST_POLL_S)
            waited_s += _FIRST_LIST_POLL_S

    async def _write(self, write: WriteHost) -> None | Failure:
        quarantines = self._crashes.quarantines(only_seen=False)
        record = msgspec.structs.replace(
            self._membership.own_record,
            quarantines=quarantines,
            written_s=self._timer.wall_s(),
        )
        answer = await write(record)
        if not isinstance(answer, Failure):
            self._stored = frozenset(quarantines)
            self._stored_s = self._timer.now_s()
        return answer

    async def _store_quarantines(self) -> None:
        """Write the record again if its quarantines have changed or grow old."""
        if not self._is_published or self._state.is_leaving:
            return
        if not self._stored and not self._crashes.has_quarantines:
            return
        # One host is enough for those that nobody has seen begin.
        known = self._crashes.quarantines(only_seen=not self._is_first)
        is_due = self._timer.now_s() - self._stored_s >= _QUARANTINE_REFRESH_S
        has_news = not self._stored.issuperset(known)
        if not has_news and not (is_due and (known or self._stored)):
            return
        # A record that has been removed since is not created again: the host may leave.
        answer = await self._write(self._source.update_host)
        if isinstance(answer, Failure):
            log.warning('quarantines_not_stored', reason=answer.reason)

    async def _await_listing(self) -> None:
        """Reread the list of hosts until it contains this host.

        The watch delivers the new record unless its connection is silent.
        """
        await self._timer.sleep(_LISTING_WAIT_S)
        while not self._membership.is_listed:
            log.info('own_record_not_read')
            self._mirror.reread(Topic.HOSTS)
            await self._timer.sleep(_LISTING_RETRY_S)

    def _on_change(self, topic: Topic) -> None:
        if topic is not Topic.HOSTS:
            return
        self._adopt_quarantines()
        if not self._is_published:
            return
        listed = self._mirror.records(topic).get(self._state.settings.host)
        is_own = isinstance(listed, HostRecord) and (
            listed.instance == self._state.instance
        )
        if not is_own and not self._state.is_leaving:
            # Another host removed the record because it considered this host gone.
            self._is_published = False
            self._kernel.spawn(self._publish, on_fault=OnFault.RESTART)

    def _adopt_quarantines(self) -> None:
        for record in self._mirror.records(Topic.HOSTS).values():
            if not isinstance(record, HostRecord) or not record.quarantines:
                continue
            version = record.instance, record.written_s
            is_own = record.instance == self._state.instance
            if not is_own and self._adopted.get(record.host) != version:
                self._adopted[record.host] = version
                self._crashes.adopt_stored(record)

    @property
    def _is_first(self) -> bool:
        """Return whether no live host has a lower name."""
        own = self._state.settings.host
        live = self._membership.live_heartbeats()
        return not any(heartbeat.host < own for heartbeat in live)

    async def _remove_gone_hosts(self) -> None:
        if self._state.is_leaving or self._membership.is_isolated:
            return
        if not self._is_first:
            return
        now_s = self._timer.now_s()
        for host in self._membership.peers.silent_hosts(_GONE_TIMEOUT_S, now_s):
            answer = await self._source.remove_host(host)
            if isinstance(answer, Failure):
                log.warning('host_not_removed', host=host, reason=answer.reason)
                continue
            log.info('host_removed', host=host, silent_s=_GONE_TIMEOUT_S)
