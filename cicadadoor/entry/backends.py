"""Provide the backend servers that a request may use, in order of preference."""

from cicadadoor.decisions.domain_summaries import smallest_ages, sum_counts
from cicadadoor.decisions.host_shares import cold_gap_s, cold_sender_count
from cicadadoor.entry.backend_table import Backend, BackendTable
from cicadadoor.entry.domain_steering import DomainSteering
from cicadadoor.entry.heartbeats import HostHeartbeat
from cicadadoor.entry.limit_sharing import (
    LimitSharing,
    apply_reported_limits,
    reported_limits,
    select_senders,
)
from cicadadoor.entry.membership import HeartbeatPart, Membership
from cicadadoor.entry.mirror import Mirror
from cicadadoor.entry.model import (
    BackendRecord,
    Evacuation,
    HostRecord,
    ServicePolicy,
    Topic,
)
from cicadadoor.entry.policy import ActivePolicy
from cicadadoor.entry.ranking import DomainOrder, Ranking, RegionOrder
from cicadadoor.entry.shared_machines import SharedMachines
from cicadadoor.entry.state import EntryState
from cicadadoor.entry.vanished_entries import VanishedEntries
from cicadadoor.kernel import Kernel
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('backends')


class Backends(HeartbeatPart):
    """Combine server entries, evacuations and the load and failures that hosts see."""

    name = 'backends'

    def __init__(self) -> None:
        self._state: EntryState
        self._mirror: Mirror
        self._timer: TimerService
        self._policy: ActivePolicy
        self._membership: Membership
        self._table = BackendTable()
        self._vanished: VanishedEntries
        self._evacuated: frozenset[str] = frozenset()
        self.shared_machines = SharedMachines()
        self.steering: DomainSteering
        self._ranking: Ranking
        self._limits: LimitSharing
        # Heartbeats whose failures have been applied, by host.
        self._applied: dict[str, tuple[str, int]] = {}

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to the mirror and to the heartbeats of other hosts."""
        self._state = kernel.find('state')
        self._mirror = kernel.find('mirror')
        self._timer = kernel.find('timer')
        self._policy = kernel.find('policy')
        self._membership = kernel.find('membership')
        self._membership.add_part(self)
        self._vanished = VanishedEntries(
            self._membership, self._mirror, self._timer, self._table
        )
        settings = self._state.settings
        self._limits = LimitSharing(self._membership.own_record)
        regions = settings.region_of_domain
        self._ranking = Ranking(
            RegionOrder(settings.region, regions),
            DomainOrder(settings.failure_domain, regions),
        )
        self.steering = DomainSteering(settings.failure_domain)
        self._mirror.subscribe(self._on_change)

    def of_service(self, service: str) -> list[Backend]:
        """Return the backend servers of a service."""
        return self._table.of_service(service)

    def pool_keys(self) -> frozenset[str]:
        """Return the connection pool keys of all known runs of servers."""
        return frozenset(each.pool_key for each in self._table.known.values())

    def ranked(self, service: str, object_key: str) -> tuple[str, ...]:
        """Return the servers' ids in order of preference for an object."""
        found = self._ranking.find(service, object_key)
        if found is not None:
            return found
        open_servers = [
            each for each in self.of_service(service) if _is_open(each, self._evacuated)
        ]
        return self._ranking.order(service, object_key, open_servers)

    def usable(
        self,
        service: str,
        home_regions: frozenset[str],
        *,
        is_repeatable: bool,
    ) -> dict[str, Backend]:
        """Return the backend servers that may be sent a request now, by instance id.

        A request that is not repeatable is not sent to a server that has failed here
        and has not answered since, or has failed recently at another host.
        """
        return {
            backend.record.instance_id: backend
            for backend in self.of_service(service)
            if self.is_usable(backend, home_regions, is_repeatable=is_repeatable)
        }

    def is_usable(
        self,
        backend: Backend,
        home_regions: frozenset[str],
        *,
        is_repeatable: bool,
    ) -> bool:
        """Tell whether a backend server may be sent a request now."""
        now_s = self._timer.now_s()
        if home_regions and backend.region not in home_regions:
            return False
        if backend.health.is_suspect(now_s) and not is_repeatable:
            return False
        return (
            self._may_send(backend, now_s)
            and self._may_send_if_cold(backend, now_s)
            and self._limits.may_send(backend, now_s)
        )

    def find(self, instance_id: str) -> Backend | None:
        """Return the backend server with an instance id, or None if it is gone."""
        return self._table.known.get(instance_id)

    def find_by_name_hash(self, server_hash: int) -> Backend | None:
        """Return the backend server with a name hash, or None if it is gone."""
        return self._table.by_name_hash.get(server_hash)

    def begin(self, backend: Backend, limit_s: float) -> None:
        """Count a request that is about to be sent and may take `limit_s`."""
        now_s = self._timer.now_s()
        backend.in_flight += 1
        backend.change_since_report += 1
        backend.health.begin(now_s, limit_s)
        if backend.is_cold(now_s):
            policy = self._policy.find_service(backend.record.service)
            senders = self._cold_senders(policy)
            backend.pacer.send(now_s, cold_gap_s(_cold_rate(policy), senders))
        self._limits.begin(backend, now_s)

    def end(self, backend: Backend) -> None:
        """Count the end of a request."""
        backend.in_flight -= 1
        backend.change_since_report -= 1

    def mark_restarted(self, backend: Backend) -> None:
        """Treat a server as cold, since it may have been restarted."""
        policy = self._policy.find_service(backend.record.service)
        if policy is not None:
            backend.extend_cold_until(self._timer.now_s() + policy.warmup_s)

    def add_fields(self, fields: dict[str, object]) -> None:
        """Add requests in flight and recent failures to the heartbeat."""
        now_s = self._timer.now_s()
        known = self._table.known.values()
        fields['in_flight'] = {
            backend.name_hash: backend.in_flight
            for backend in known
            if backend.in_flight
        }
        fields['unreachable'] = {
            backend.name_hash: round(age_s, 3)
            for backend in known
            if (age_s := backend.health.reported_age_s(now_s)) is not None
        }
        fields['limits'] = reported_limits(list(known), now_s)

    def on_heartbeats(self, heartbeats: list[HostHeartbeat]) -> None:
        """Apply the requests in flight and failures that other hosts report."""
        now_s = self._timer.now_s()
        self._vanished.note_outage(now_s)
        if self._table.expire(now_s):
            self._vanished.follow_missing(self._table)
            self._ranking.clear()
        live = self._membership.peers.heard(now_s)
        self._limits.update_hosts([peer.record for peer in live])
        in_flight = sum_counts(heartbeat.in_flight for heartbeat in heartbeats)
        # Ages were right when the heartbeat was sent, so each one is applied only once.
        unseen = [
            each
            for each in heartbeats
            if self._applied.get(each.host) != _heartbeat_id(each)
        ]
        self._applied = {each.host: _heartbeat_id(each) for each in heartbeats}
        unreachable = smallest_ages(heartbeat.unreachable for heartbeat in unseen)
        for backend in self._table.known.values():
            backend.peers_in_flight = in_flight.get(backend.name_hash, 0)
            heard_age_s = unreachable.get(backend.name_hash)
            if heard_age_s is not None:
                backend.health.note_reported_unreachable(now_s, heard_age_s)
        apply_reported_limits(list(self._table.known.values()), unseen, now_s)

    def _may_send(self, backend: Backend, now_s: float) -> bool:
        if not _is_open(backend, self._evacuated) or not backend.health.may_try(now_s):
            return False
        if backend.missing_until_s is None:
            return True
        # A server that has also failed has probably ended.
        is_suspect = backend.health.is_suspect(now_s)
        return now_s <= backend.missing_until_s and not is_suspect

    def _may_send_if_cold(self, backend: Backend, now_s: float) -> bool:
        if not backend.is_cold(now_s):
            return True
        if not backend.pacer.may_send(now_s):
            return False
        policy = self._policy.find_service(backend.record.service)
        senders = self._cold_senders(policy)
        hosts = tuple(self._membership.host_names())
        names = select_senders(backend.record.instance_id, hosts, senders)
        return self._state.settings.host in names

    def _cold_senders(self, policy: ServicePolicy | None) -> int:
        settings = self._state.settings
        return cold_sender_count(
            _cold_rate(policy),
            settings.cold_overrun,
            settings.cold_slack,
            self._membership.host_count,
        )

    def _on_change(self, topic: Topic) -> None:
        if topic is Topic.BACKENDS:
            self._apply_entries()
        elif topic is Topic.EVACUATIONS:
            self._apply_evacuations()
        elif topic is Topic.HOSTS:
            hosts = self._mirror.records(topic).values()
            if self.steering.note_hosts(
                host for host in hosts if isinstance(host, HostRecord)
            ):
                self._ranking.rank_by_domain()

    def _apply_entries(self) -> None:
        now_s = self._timer.now_s()
        entries = {
            name: record
            for name, record in self._mirror.records(Topic.BACKENDS).items()
            if isinstance(record, BackendRecord)
        }
        self._table.apply_entries(
            entries,
            self._state.settings.region_of_domain,
            now_s,
            missing_until_s=self._vanished.grace_end_s(now_s),
        )
        self._vanished.follow_missing(self._table)
        self._ranking.clear()

    def _apply_evacuations(self) -> None:
        evacuated = frozenset(
            name
            for name, record in self._mirror.records(Topic.EVACUATIONS).items()
            if isinstance(record, Evacuation)
        )
        ended = self._evacuated - evacuated
        for backend in self._table.known.values():
            if backend.record.failure_domain in ended:
                # It may be cold again, which only its next entry would show.
                self.mark_restarted(backend)
        log.info(
            'evacuations_changed',
            evacuated=','.join(sorted(evacuated)) or '-',
            ended=','.join(sorted(ended)) or '-',
        )
        self._evacuated = evacuated
        self._ranking.clear()


def _heartbeat_id(heartbeat: HostHeartbeat) -> tuple[str, int]:
    return heartbeat.instance, heartbeat.number


def _is_open(backend: Backend, evacuated: frozenset[str]) -> bool:
    record = backend.record
    return not record.is_draining and record.failure_domain not in evacuated


def _cold_rate(policy: ServicePolicy | None) -> float:
    return policy.cold_rate_per_s if policy else 0.0
