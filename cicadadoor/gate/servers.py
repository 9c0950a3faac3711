"""Track the backend servers of this failure domain and which of them are usable."""

from cicadadoor.config.model import BackendServer
from cicadadoor.config.model import Service as ConfiguredService
from cicadadoor.decisions.balancing import Candidate, ServerLoad
from cicadadoor.decisions.ejection import EjectionTable
from cicadadoor.decisions.leaving import Evidence, LeavingTable
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.request import CANCELLED, SteeredResponse
from cicadadoor.gate.slot_share import SlotShare
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.steering_messages import BackendUpdate
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('routing')

_FAILURE_STATUSES = frozenset((502, 503, 504))
_FAILURE_KINDS = frozenset(
    (
        ErrorKind.CONNECT_FAILED,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.ANSWER_TRUNCATED,
        ErrorKind.ANSWER_INVALID,
    )
)
# Evidence from probes, or that the next probe would repeat.
_PROBE_EVIDENCE = frozenset((Evidence.HEALTH, Evidence.REFUSED))
# Shorter time-outs are not counted as failures of the server, because the caller's
# deadline may have been too short.
_MIN_TIMEOUT_S = 1.0


class BackendServers(Service):
    """Track load, ejection and departure of this domain's backend servers."""

    name = 'servers'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._share: SlotShare
        self._loads: dict[str, ServerLoad] = {}
        self._first_generation = 0
        self.ejection = EjectionTable()
        self.leaving = LeavingTable()
        self.backend_update = BackendUpdate()
        # Servers to probe at the next tick, ahead of their probe period, so that later
        # changes are noticed.
        self.due_for_probe: set[str] = set()

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to updates of the platform and the operators."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._share = kernel.find('slot_share')
        link: DaemonLink = kernel.find('daemon_link')
        link.on(BackendUpdate, self.apply_update)

    def local(self, service: ConfiguredService) -> list[BackendServer]:
        """Return the service's backend servers in this failure domain."""
        domain = self._state.settings.failure_domain
        return [
            server
            for server in service.backend_servers
            if server.failure_domain == domain
        ]

    def usable(self, service: ConfiguredService) -> list[Candidate]:
        """Return the servers that may get new requests, with this gate's slots."""
        domain = self._state.settings.failure_domain
        if domain in self.backend_update.drained_domains:
            return []
        if service.name in self.backend_update.drained_services:
            return []
        not_leaving = [
            server
            for server in self.local(service)
            if not self.leaving.is_leaving(server.name)
        ]
        ejectable = [
            server.name
            for server in not_leaving
            if not self._is_held(service.name, server.name)
        ]
        ejected = self.ejection.ejected(ejectable)
        candidates = [
            Candidate(server.name, self._share.slots(server), self.load(server.name))
            for server in not_leaving
            if server.name not in ejected
        ]
        return [candidate for candidate in candidates if candidate.slots]

    def load(self, server: str) -> ServerLoad:
        """Return the load record; a server added after the start ramps up slowly."""
        load = self._loads.get(server)
        if load is None:
            load = ServerLoad()
            generation = self._state.view.generation if self._state.view else 0
            self._first_generation = self._first_generation or generation
            if generation > self._first_generation:
                load.ramp_from_s = self._timer.now_s()
            self._loads[server] = load
        return load

    def in_flight(self) -> dict[str, int]:
        """Return the number of requests in flight by server."""
        return {name: load.in_flight for name, load in self._loads.items()}

    def record_result(
        self,
        server: str,
        response: SteeredResponse | Failure,
        took_s: float,
    ) -> None:
        """Record the outcome of a request."""
        if response is CANCELLED:
            return
        now_s = self._timer.now_s()
        load = self.load(server)
        if isinstance(response, SteeredResponse):
            load.note_latency(took_s, now_s)
            is_bad = response.status in _FAILURE_STATUSES
            self.ejection.note_result(server, is_bad=is_bad, now_s=now_s)
            return
        if response.kind is ErrorKind.BACKEND_SHED:
            load.note_shed(now_s)
            return
        is_late = response.kind is ErrorKind.ANSWER_TIMED_OUT
        if is_late:
            load.note_latency(took_s, now_s)
        if response.kind in _FAILURE_KINDS or (is_late and took_s >= _MIN_TIMEOUT_S):
            self.ejection.note_result(server, is_bad=True, now_s=now_s)

    def record_leaving(self, server: str, evidence: Evidence) -> None:
        """Record evidence that a server is leaving."""
        if self.leaving.note(server, evidence, self._timer.now_s()):
            if evidence not in _PROBE_EVIDENCE:
                self.due_for_probe.add(server)
            log.info(
                'backend_server_leaving',
                backend_server=server,
                evidence=evidence.value,
            )

    def record_probe(self, server: str, started_s: float, *, is_good: bool) -> None:
        """Record the outcome of a health probe."""
        now_s = self._timer.now_s()
        is_usable_again = self.ejection.note_probe(server, is_good=is_good, now_s=now_s)
        if is_good:
            has_recovered = self.leaving.note_good_health(server, started_s, now_s)
            is_usable_again = is_usable_again or has_recovered
        else:
            self.leaving.note_failed_probe(server)
        if is_usable_again:
            self.load(server).ramp_from_s = now_s
            log.info('backend_server_returns', backend_server=server)

    async def apply_update(self, update: BackendUpdate) -> None:
        """Apply the platform's host list and operators' drains and holds."""
        if update.version < self.backend_update.version:
            return
        now_s = self._timer.now_s()
        self.backend_update = update
        self.leaving.set_operator(update.drained, now_s)
        for name, listed in update.hosts.items():
            self.leaving.note_listed(
                name,
                listed.version,
                is_leaving=listed.is_leaving,
                now_s=now_s,
            )

    def _is_held(self, service: str, server: str) -> bool:
        if (
            server in self.backend_update.held_servers
            or service in self.backend_update.held_services
        ):
            return True
        return self._state.settings.region in self.backend_update.held_regions
