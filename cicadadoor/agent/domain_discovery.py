"""Discover failure domains that have just started."""

from collections.abc import Awaitable, Callable

from cicadadoor.decisions.membership import DomainTable
from cicadadoor.kernel import Kernel, OnFault
from cicadadoor.links.membership_messages import DomainSummary, MemberRecord
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('membership')

HeartbeatSender = Callable[[str, str], Awaitable[None]]


class DomainDiscovery:
    """Send a heartbeat back to hosts of an unknown failure domain.

    A received heartbeat request does not prove that its sender is alive now. Without
    a request back, a domain that starts after its peers stays unknown until they try
    their contact points again.
    """

    def __init__(
        self,
        kernel: Kernel,
        domains: DomainTable,
        timer: TimerService,
        send_heartbeat: HeartbeatSender,
    ) -> None:
        self._kernel = kernel
        self._domains = domains
        self._timer = timer
        self._send_heartbeat = send_heartbeat
        self._queried: set[str] = set()

    def note_request(self, requester: MemberRecord) -> None:
        """Query the requester, unless its domain is known or a query is under way."""
        name = requester.failure_domain
        if name in self._queried or self._domains.is_known(name, self._timer.now_s()):
            return
        self._queried.add(name)
        self._kernel.spawn(self._query_requester, requester, on_fault=OnFault.CONTINUE)

    async def _query_requester(self, requester: MemberRecord) -> None:
        try:
            await self._send_heartbeat(requester.peer_address, '')
        finally:
            self._queried.discard(requester.failure_domain)

    def note_summary(
        self,
        summary: DomainSummary,
        received_s: float,
        reported_by: str,
    ) -> None:
        """Store a summary, and log the first one of a domain that was unknown."""
        was_known = self._domains.is_known(summary.failure_domain, received_s)
        if self._domains.note(summary, received_s) and not was_known:
            log.info(
                'failure_domain_heard',
                failure_domain=summary.failure_domain,
                gates=len(summary.gates),
                age_s=summary.age_s,
                reported_by=reported_by,
            )
