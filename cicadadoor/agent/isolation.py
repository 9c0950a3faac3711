"""Report to the gate whether this failure domain is isolated."""

from cicadadoor.agent.membership import Membership
from cicadadoor.agent.sync import ConfigSync
from cicadadoor.config import chunks, model
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.config_messages import IsolationUpdate
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.timer import TimerService

_PERIOD_S = 1.0


class Isolation(Service):
    """Evaluate the evidence of isolation once a second."""

    name = 'isolation'

    def __init__(self) -> None:
        self._timer: TimerService
        self._sync: ConfigSync
        self._membership: Membership
        self._link: DaemonLink
        self._topology_digest = ''
        self._domains: set[str] = set()

    async def start(self, kernel: Kernel) -> None:
        """Schedule the reports."""
        self._timer = kernel.find('timer')
        self._sync = kernel.find('sync')
        self._membership = kernel.find('membership')
        self._link = kernel.find('daemon_link')
        self._timer.subscribe('isolation', _PERIOD_S, self.report)

    async def report(self) -> None:
        """Send to the gate for how long the domain has been isolated."""
        now_s = self._timer.now_s()
        evidence = self._membership.evidence
        members = self._membership.members
        known = members.known()
        evidence.update(
            now_s,
            self._membership.platform_contact_age_s(),
            self._membership.domains.heard(),
            self._other_domains(),
            hears_own_domain=not known or bool(members.alive(now_s)),
        )
        isolated_for_s = evidence.isolated_for_s(now_s)
        await self._link.send(IsolationUpdate(isolated_for_s=isolated_for_s))

    def _other_domains(self) -> set[str]:
        generation = self._sync.generation
        if generation is None:
            return set()
        digest = generation.section_digests['topology']
        if digest != self._topology_digest:
            topology = chunks.decode('topology', generation.contents['topology'])
            if isinstance(topology, model.Topology):
                self._domains = {domain.name for domain in topology.failure_domains}
                self._topology_digest = digest
        return self._domains - {self._membership.own.record.failure_domain}
