"""Track the known backend servers, their load and the objects that they cache."""

import math

from cicadadoor.decisions.backend_health import BackendHealth
from cicadadoor.decisions.backpressure import Backpressure
from cicadadoor.decisions.cache_capacity import CacheCapacity
from cicadadoor.decisions.expected_finish import RatedServer, Slowdown
from cicadadoor.decisions.host_shares import SendPacer
from cicadadoor.decisions.placement import Candidate
from cicadadoor.entry.cached_objects import CachedObjects
from cicadadoor.entry.heartbeats import name_hash
from cicadadoor.entry.messages import LoadReport
from cicadadoor.entry.model import BackendRecord
from cicadadoor.telemetry import logs

log = logs.logger('backends')

_MS_PER_S = 1000
# A reported load is used for this long.
_LOAD_REPORT_TTL_S = 0.3


class Backend:
    """Hold the state of one run of a backend server; times are on the boot clock."""

    __slots__ = (
        'backpressure',
        'cold_until_s',
        'health',
        'in_flight',
        'missing_until_s',
        'cached_objects',
        'peers_in_flight',
        'pacer',
        'record',
        'region',
        'reported_load',
        'reported_s',
        'slowdown',
        'name_hash',
        'change_since_report',
    )

    def __init__(
        self,
        record: BackendRecord,
        region: str,
        capacity: CacheCapacity | None = None,
    ) -> None:
        self.record = record
        self.region = region
        self.name_hash = name_hash(record.instance_id)
        self.health = BackendHealth()
        self.backpressure = Backpressure()
        self.pacer = SendPacer()
        self.cached_objects = CachedObjects(capacity)
        self.cold_until_s = -math.inf
        # Set while the entry is missing but may reappear.
        self.missing_until_s: float | None = None
        self.in_flight = 0
        self.peers_in_flight = 0
        self.reported_load = 0
        self.reported_s = -math.inf
        self.change_since_report = 0
        self.slowdown = Slowdown()

    @property
    def pool_key(self) -> str:
        """Return a key that separates connections to this run from those to others."""
        record = self.record
        return f'{record.instance_id}@{record.address}#{record.started_ms}'

    def note_load(self, load: LoadReport | None, now_s: float) -> None:
        """Store the load that a response reports."""
        if load is None:
            return
        self.reported_load = load.running + load.queued
        self.reported_s = now_s
        self.change_since_report = 0
        if load.slowdown is not None:
            self.slowdown.note(load.slowdown, now_s)

    def load(self, now_s: float) -> float:
        """Return the known number of running and queued requests."""
        counted = self.in_flight + self.peers_in_flight
        if now_s - self.reported_s > _LOAD_REPORT_TTL_S:
            return counted
        return max(counted, self.reported_load + self.change_since_report)

    def utilisation(self, now_s: float) -> float:
        """Return the load divided by the number of slots."""
        return self.load(now_s) / self.record.slots

    def candidate(self, object_key: str, now_s: float) -> Candidate:
        """Return the server as a candidate for a request that concerns an object."""
        return Candidate(
            self.record.instance_id,
            self.utilisation(now_s),
            self.cached_objects.cache_state(object_key),
        )

    def rate(self, object_key: str, now_s: float, distance_s: float) -> RatedServer:
        """Return the server as a candidate whose response time is estimated."""
        return RatedServer(
            self.record.instance_id,
            load=self.load(now_s),
            slots=self.record.slots,
            cache_state=self.cached_objects.cache_state(object_key),
            slowdown=self.slowdown.factor(now_s),
            distance_s=distance_s,
        )

    def is_cold(self, now_s: float) -> bool:
        """Tell whether the server has recently started or recovered."""
        return now_s < self.cold_until_s

    def extend_cold_until(self, until_s: float) -> None:
        """Treat the server as cold at least until `until_s`."""
        self.cold_until_s = max(self.cold_until_s, until_s)


class BackendTable:
    """Index the known backend servers by instance id, name hash and service."""

    def __init__(self) -> None:
        self.known: dict[str, Backend] = {}
        self.by_name_hash: dict[int, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}
        self._capacities: dict[str, CacheCapacity] = {}

    def of_service(self, service: str) -> list[Backend]:
        """Return the backend servers of a service."""
        return self._by_service.get(service, [])

    def apply_entries(
        self,
        entries: dict[str, BackendRecord],
        region_of_domain: dict[str, str],
        now_s: float,
        *,
        missing_until_s: float | None = None,
    ) -> None:
        """Apply the current entries.

        Servers without an entry are removed, or kept until `missing_until_s` if their
        entries may have lapsed in an outage of the store.
        """
        for name, record in entries.items():
            self._apply_entry(name, record, region_of_domain, now_s)
        missing = [name for name in self.known if name not in entries]
        for name in missing:
            self._mark_missing(name, missing_until_s)
        self._rebuild_indexes()

    @property
    def has_missing(self) -> bool:
        """Return whether servers are kept whose entries are missing."""
        return any(each.missing_until_s is not None for each in self.known.values())

    def extend_missing(self, until_s: float) -> None:
        """Keep servers whose entries are missing at least until `until_s`."""
        for backend in self.known.values():
            if backend.missing_until_s is not None:
                backend.missing_until_s = max(backend.missing_until_s, until_s)

    def expire(self, now_s: float) -> bool:
        """Remove servers whose entries did not reappear; tell if there were any."""
        expired = [
            name
            for name, backend in self.known.items()
            if backend.missing_until_s is not None and now_s > backend.missing_until_s
        ]
        for name in expired:
            self.known.pop(name)
            log.info(
                'backend_gone',
                backend_server=name,
                reason='entry did not reappear in the store',
            )
        if expired:
            self._rebuild_indexes()
        return bool(expired)

    def _apply_entry(
        self,
        name: str,
        record: BackendRecord,
        region_of_domain: dict[str, str],
        now_s: float,
    ) -> None:
        backend = self.known.get(name)
        if backend is None or _is_new_run(backend.record, record):
            backend = Backend(
                record,
                region_of_domain.get(record.failure_domain, ''),
                self._capacities.setdefault(record.service, CacheCapacity()),
            )
            self.known[name] = backend
            log.info(
                'backend_known',
                backend_server=name,
                service=record.service,
                failure_domain=record.failure_domain,
                cold_ms=record.cold_remaining_ms,
                draining=record.is_draining,
            )
        elif backend.record == record:
            backend.missing_until_s = None
            return
        elif backend.record.is_draining != record.is_draining:
            log.info(
                'backend_draining',
                backend_server=name,
                draining=record.is_draining,
            )
        if _is_later_entry(backend.record, record):
            # The server itself says that it has not been restarted.
            backend.cold_until_s = -math.inf
        backend.record = record
        backend.region = region_of_domain.get(record.failure_domain, '')
        backend.missing_until_s = None
        if record.cold_remaining_ms > 0:
            backend.cold_until_s = now_s + record.cold_remaining_ms / _MS_PER_S

    def _mark_missing(self, name: str, missing_until_s: float | None) -> None:
        backend = self.known[name]
        if backend.missing_until_s is not None:
            return
        if missing_until_s is None or backend.record.is_draining:
            self.known.pop(name)
            log.info('backend_gone', backend_server=name)
            return
        backend.missing_until_s = missing_until_s
        log.info(
            'backend_missing',
            backend_server=name,
            reason='store outage',
        )

    def _rebuild_indexes(self) -> None:
        self._by_service = {}
        self.by_name_hash = {each.name_hash: each for each in self.known.values()}
        for backend in self.known.values():
            self._by_service.setdefault(backend.record.service, []).append(backend)


def _is_new_run(known: BackendRecord, record: BackendRecord) -> bool:
    return known.started_ms != record.started_ms or known.address != record.address


def _is_later_entry(known: BackendRecord, record: BackendRecord) -> bool:
    if known.sequence is None or record.sequence is None:
        return False
    return known.sequence < record.sequence
