"""Know the gates of other hosts."""

from cicadadoor.gate.lookup import EntryHost, Lookup
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.messages import GateInfo, PeerUpdate


class GateDirectory(Service):
    """Find gates by process instance and failure domain."""

    name = 'directory'

    def __init__(self) -> None:
        self._lookup: Lookup
        self._by_instance: dict[str, GateInfo] = {}

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to what the agent hears."""
        self._lookup = kernel.find('lookup')
        link: DaemonLink = kernel.find('daemon_link')
        link.on(PeerUpdate, self._apply)

    def find(self, instance: str) -> GateInfo | None:
        """Return the gate process with the instance id, or None if not heard."""
        return self._by_instance.get(instance)

    def in_domain(self, failure_domain: str) -> list[GateInfo]:
        """Return the gates of a failure domain that are heard."""
        return [
            gate
            for gate in self._by_instance.values()
            if gate.failure_domain == failure_domain
        ]

    def all_gates(self) -> list[GateInfo]:
        """Return all gates that are heard."""
        return list(self._by_instance.values())

    async def _apply(self, update: PeerUpdate) -> None:
        self._by_instance = {gate.instance: gate for gate in update.gates}
        hosts = [
            EntryHost(
                url=gate.callers_url,
                failure_domain=gate.failure_domain,
                region=gate.region,
            )
            for gate in update.gates
            if gate.takes_callers
        ]
        self._lookup.set_hosts(hosts)
