"""Simulate hosts that place requests on the servers of the queueing model."""

import random
from collections.abc import Mapping, Sequence

from cicadadoor.decisions.cache_capacity import CacheCapacity, was_hit
from cicadadoor.decisions.expected_finish import (
    ServiceTimes,
    TimeLimits,
    choose_by_finish,
    time_until_room_s,
)
from cicadadoor.decisions.placement import CacheState
from cicadadoor.decisions.queue_limits import ProcessingTimes
from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.heartbeats import name_hash
from cicadadoor.entry.messages import LoadReport
from cicadadoor.entry.model import BackendRecord
from cicadadoor.entry.ranking import FIRST_COUNTS, DomainOrder, Ranking, RegionOrder
from tests.utils.queue_model import CACHED_S, UNCACHED_S, Clock, ModelServer

OBJECTIVE_S = 0.512
DEADLINE_S = 3.837
_NEAR_S, _FAR_S = 0.001, 0.02


class ModelRequest:
    """Hold a request and what became of it; `region` is where it ran."""

    def __init__(self, object_key: str, received_s: float) -> None:
        self.object_key = object_key
        self.received_s = received_s
        self.took_s: float | None = None
        self.region = ''
        self.is_refused = False
        self.refused_s = 0.0
        self.retry_after_s = 0.0
        # For how long a server that the request could have used had a free slot.
        self.free_for_s = 0.0


class ModelHost:
    """Place the requests of one failure domain by what a host knows of the servers."""

    def __init__(
        self,
        domain: str,
        servers: Mapping[str, ModelServer],
        regions: Mapping[str, str],
        clock: Clock,
    ) -> None:
        self.domain = domain
        self.region = regions[domain]
        self.capacity = CacheCapacity()
        self.backends = {
            name: Backend(
                each.record, regions[each.record.failure_domain], self.capacity
            )
            for name, each in servers.items()
        }
        self._evacuated = ''
        self.learned: list[tuple[str, str]] = []
        self.requests: list[ModelRequest] = []
        self.times = ProcessingTimes()
        self.times.note('', CACHED_S, is_cached=True)
        self.times.note('', UNCACHED_S, is_cached=False)
        self.ranking = Ranking(
            RegionOrder(self.region, regions), DomainOrder(domain, regions)
        )
        self.ranking.rank_by_domain()
        self._servers = servers
        self._clock = clock
        self._waiting: dict[tuple[str, str], list[ModelRequest]] = {}

    def receive(self, object_key: str) -> None:
        """Place a new request."""
        request = ModelRequest(object_key, self._clock.now_s)
        self.requests.append(request)
        self._place(request)

    def evacuate(self, domain: str) -> None:
        """Send nothing more to the servers of a failure domain."""
        self._evacuated = domain
        self.ranking.clear()

    def _place(self, request: ModelRequest) -> None:
        now_s = self._clock.now_s
        key = request.object_key
        backends = [
            each
            for each in self.backends.values()
            if each.record.failure_domain != self._evacuated
        ]
        order = self.ranking.find('', key) or self.ranking.order('', key, backends)
        names = order[: sum(FIRST_COUNTS)]
        rated = [
            self.backends[name].rate(key, now_s, 2 * self._distance_s(name))
            for name in names
        ]
        times = ServiceTimes(self.times.cached_s(''), self.times.uncached_s(''))
        passed_s = now_s - request.received_s
        limits = TimeLimits(
            objective_s=OBJECTIVE_S - passed_s,
            deadline_s=DEADLINE_S - passed_s,
            is_urgent=False,
        )
        loading_s = times.uncached_s + times.cached_s
        choice = choose_by_finish(
            rated, times, limits, may_wait=loading_s < limits.deadline_s
        )
        if choice.wait_for is not None:
            self._waiting.setdefault((choice.wait_for, key), []).append(request)
        elif choice.send_to is not None:
            self._send(request, self.backends[choice.send_to])
        else:
            request.is_refused = True
            request.refused_s = now_s
            request.retry_after_s = time_until_room_s(rated, times, OBJECTIVE_S)
            request.free_for_s = max(self._servers[name].free_for_s for name in names)

    def _send(self, request: ModelRequest, backend: Backend) -> None:
        sent_s = self._clock.now_s
        name, key = backend.record.instance_id, request.object_key
        distance_s = self._distance_s(name)
        position = backend.cached_objects.position(key)
        first_request = backend.cached_objects.begin(key, sent_s)
        was_cached = backend.cached_objects.cache_state(key) is CacheState.CACHED
        had_free_slot = backend.utilisation(sent_s) < 1
        backend.in_flight += 1
        backend.change_since_report += 1

        def finish(load: LoadReport) -> None:
            now_s = self._clock.now_s
            backend.note_load(load, now_s)
            backend.in_flight -= 1
            request.took_s = now_s - request.received_s
            request.region = backend.region
            backend.cached_objects.end(key, first_request, is_answered=True)
            if had_free_slot:
                took_s = (now_s - sent_s) / backend.slowdown.factor(now_s)
                self._note_time(took_s, position, is_cached=was_cached)
            if first_request is not None:
                self.learned.append((name, key))
            for waiting in self._waiting.pop((name, key), ()):
                self._place(waiting)

        def respond(load: LoadReport) -> None:
            self._clock.after(distance_s, lambda: finish(load))

        arrive = self._servers[name].arrive
        self._clock.after(distance_s, lambda: arrive(key, respond))

    def _note_time(
        self, took_s: float, position: int | None, *, is_cached: bool
    ) -> None:
        is_hit = was_hit(
            took_s,
            cached_s=self.times.cached_s(''),
            uncached_s=self.times.uncached_s(''),
        )
        if position is not None and is_hit is not None:
            self.capacity.note(position, is_hit=is_hit)
            if not is_hit:
                return
        self.times.note_bounded('', took_s, is_cached=is_cached)

    def _distance_s(self, name: str) -> float:
        return _NEAR_S if self.backends[name].region == self.region else _FAR_S


class Fleet:
    """Run hosts in each failure domain over the same servers."""

    def __init__(
        self, server_counts: Mapping[str, int], *, host_count: int = 1, seed: int = 1
    ) -> None:
        # The region is the part of a domain's name before the hyphen.
        regions = {domain: domain.partition('-')[0] for domain in server_counts}
        self.clock = Clock()
        # Time between heartbeats, which tell the requests in flight and the loads.
        self.heartbeat_s = 0.25
        self.servers: dict[str, ModelServer] = {}
        for domain, count in server_counts.items():
            for number in range(count):
                record = _record(f'{domain}-{number}', domain)
                server = ModelServer(record, self.clock, seed + len(self.servers))
                self.servers[record.instance_id] = server
        self.hosts = [
            ModelHost(domain, self.servers, regions, self.clock)
            for domain in server_counts
            for _ in range(host_count)
        ]
        self._random = random.Random(seed)
        self._send_heartbeats()

    def send(
        self, domain: str, per_s: float, objects: Sequence[str], until_s: float
    ) -> None:
        """Send requests at random times, each for one of the objects."""
        if self.clock.now_s >= until_s:
            return

        def send_next() -> None:
            hosts = [host for host in self.hosts if host.domain == domain]
            self._random.choice(hosts).receive(self._random.choice(objects))
            self.send(domain, per_s, objects, until_s)

        self.clock.after(self._random.expovariate(per_s), send_next)

    def _send_heartbeats(self) -> None:
        for host in self.hosts:
            others = [other for other in self.hosts if other is not host]
            for name, backend in host.backends.items():
                backend.peers_in_flight = sum(
                    other.backends[name].in_flight for other in others
                )
            for other in others:
                for name, key in other.learned:
                    host.backends[name].cached_objects.add_from_peer(name_hash(key))
        for host in self.hosts:
            host.learned.clear()
        self.clock.after(self.heartbeat_s, self._send_heartbeats)


def _record(name: str, domain: str) -> BackendRecord:
    return BackendRecord(
        instance_id=name,
        service='',
        address=f'{name}:80',
        failure_domain=domain,
        slots=6,
        is_draining=False,
        cold_remaining_ms=0,
    )
