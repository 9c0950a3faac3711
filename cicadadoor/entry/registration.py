"""Register this host in the store, and remove the records of hosts that are gone."""

from cicadadoor.entry.membership import Membership
from cicadadoor.entry.mirror import Mirror
from cicadadoor.entry.model import HostRecord, Topic
from cicadadoor.entry.source import RecordSource
from cicadadoor.entry.state import EntryState
from cicadadoor.errors import Failure
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('listing')

_PUBLISH_RETRY_S = 0.5
# Until its own record is in the list of hosts, a host refuses limited organisations.
_LISTING_WAIT_S = 0.3
# Longer than a read of the list takes from a slow store.
_LISTING_RETRY_S = 1.0
# A killed host restarts within seconds. A host that stays silent for longer, while most
# others send heartbeats, is gone.
_GONE_TIMEOUT_S = 20.0
_CHECK_INTERVAL_S = 5.0


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
        self._is_published = False

    async def start(self, kernel: Kernel) -> None:
        """Publish the record, and check periodically for hosts that are gone."""
        self._kernel = kernel
        self._state = kernel.find('state')
        self._mirror = kernel.find('mirror')
        self._source = kernel.find('source')
        self._timer = kernel.find('timer')
        self._membership = kernel.find('membership')
        self._mirror.subscribe(self._on_change)
        kernel.spawn(self._publish, on_fault=OnFault.RESTART)
        self._timer.subscribe(
            'remove_gone_hosts', _CHECK_INTERVAL_S, self._remove_gone_hosts
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

    async def _publish(self) -> None:
        while not self._state.is_leaving:
            answer = await self._source.publish_host(self._membership.own_record)
            if not isinstance(answer, Failure):
                self._is_published = True
                await self._await_listing()
                return
            log.warning('host_not_published', reason=answer.reason)
            await self._timer.sleep(_PUBLISH_RETRY_S)

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
        if topic is not Topic.HOSTS or not self._is_published:
            return
        listed = self._mirror.records(topic).get(self._state.settings.host)
        is_own = isinstance(listed, HostRecord) and (
            listed.instance == self._state.instance
        )
        if not is_own and not self._state.is_leaving:
            # Another host removed the record because it considered this host gone.
            self._is_published = False
            self._kernel.spawn(self._publish, on_fault=OnFault.RESTART)

    async def _remove_gone_hosts(self) -> None:
        if self._state.is_leaving or self._membership.is_isolated:
            return
        # Only the live host with the lowest name removes records.
        own = self._state.settings.host
        if any(
            heartbeat.host < own for heartbeat in self._membership.live_heartbeats()
        ):
            return
        now_s = self._timer.now_s()
        for host in self._membership.peers.silent_hosts(_GONE_TIMEOUT_S, now_s):
            answer = await self._source.remove_host(host)
            if isinstance(answer, Failure):
                log.warning('host_not_removed', host=host, reason=answer.reason)
                continue
            log.info('host_removed', host=host, silent_s=_GONE_TIMEOUT_S)
