"""Keep a directory of the gates of other hosts."""

from collections.abc import Iterable

from cicadadoor.gate.lookup import EntryHost, Lookup
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.messages import AgentAlive, GateInfo, PeerUpdate
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('directory')

# Twice the number of gates in a deployment of the intended maximum size.
_MAX_RECENT_GATES = 1000
_MAX_LOGGED = 8


class GateDirectory(Service):
    """Find gates by process instance and failure domain."""

    name = 'directory'

    def __init__(self) -> None:
        self._lookup: Lookup
        self._timer: TimerService
        self._agent_heard_s = 0.0
        self._by_instance: dict[str, GateInfo] = {}
        self._recent_gates: dict[str, GateInfo] = {}

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to peer updates of the agent."""
        self._lookup = kernel.find('lookup')
        self._timer = kernel.find('timer')
        link: DaemonLink = kernel.find('daemon_link')
        link.on(PeerUpdate, self._apply)
        link.on(AgentAlive, self._record_alive)

    def find(self, instance: str) -> GateInfo | None:
        """Return the gate process with the instance id, even if it is silent.

        A gate whose agent has crashed disappears from peer updates but still serves,
        and only that gate knows which requests ran under its idempotency prefixes.
        """
        return self._by_instance.get(instance) or self._recent_gates.get(instance)

    def in_domain(self, failure_domain: str) -> list[GateInfo]:
        """Return the gates of a failure domain in the last peer update."""
        return [
            gate
            for gate in self._by_instance.values()
            if gate.failure_domain == failure_domain
        ]

    def all_gates(self) -> list[GateInfo]:
        """Return all gates in the last peer update."""
        return list(self._by_instance.values())

    def agent_silence_s(self) -> float:
        """Return the time since the last message of the agent."""
        return self._timer.now_s() - self._agent_heard_s

    def _remember_gates(self) -> None:
        for instance, gate in self._by_instance.items():
            self._recent_gates.pop(instance, None)
            self._recent_gates[instance] = gate
        while len(self._recent_gates) > _MAX_RECENT_GATES:
            self._recent_gates.pop(next(iter(self._recent_gates)))

    async def _record_alive(self, alive: AgentAlive) -> None:
        self._agent_heard_s = self._timer.now_s()

    async def _apply(self, update: PeerUpdate) -> None:
        self._agent_heard_s = self._timer.now_s()
        self._remember_gates()
        self._log_change(update)
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

    def _log_change(self, update: PeerUpdate) -> None:
        old_hosts = _hosts_taking_callers(self._by_instance.values())
        new_hosts = _hosts_taking_callers(update.gates)
        if old_hosts == new_hosts:
            return
        log.info(
            'lookup_hosts_changed',
            count=len(new_hosts),
            added=sorted(new_hosts - old_hosts)[:_MAX_LOGGED],
            removed=sorted(old_hosts - new_hosts)[:_MAX_LOGGED],
        )


def _hosts_taking_callers(gates: Iterable[GateInfo]) -> set[str]:
    return {gate.host for gate in gates if gate.takes_callers}
