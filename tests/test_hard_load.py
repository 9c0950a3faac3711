"""Test the decisions under hard load, with a queueing model of servers and callers.

Bounds are what callers need. 3% of the requests take 7 times as long, which is longer
than the latency objective, so that at most 97% can be answered in time.
"""

import random
from bisect import bisect
from collections import Counter
from collections.abc import Callable, Iterable

import pytest

from tests.utils.queue_hosts import OBJECTIVE_S, Fleet, ModelRequest
from tests.utils.queue_model import CACHED_S

DOMAINS = ('x-a', 'x-b', 'y-a', 'y-b', 'z-a', 'z-b')
EVEN = dict.fromkeys(DOMAINS, 4)
# Requests per second that the 24 slots of a domain serve: 0.162 s each and 7 times that
# for 3% of them.
ROOM_PER_S = 24 / (0.162 * (1 + 0.03 * 6))
OBJECTS = 30
# Loads of the first objects end within this time.
SETTLED_S = 4.0
LENGTH_S = 16.0


def send(fleet: Fleet, parts: dict[str, float], until_s: float) -> None:
    """Send to each domain the given part of its room, for objects of its region."""
    for domain, part in parts.items():
        objects = [f'{domain[0]}-{number}' for number in range(OBJECTS)]
        fleet.send(domain, part * ROOM_PER_S, objects, until_s)


def played(
    parts: dict[str, float],
    prepare: Callable[[Fleet], None] | None = None,
    length_s: float = LENGTH_S,
    **options: int,
) -> Fleet:
    """Send for some seconds and wait until all requests have ended."""
    fleet = Fleet(EVEN, **options)
    if prepare is not None:
        prepare(fleet)
    send(fleet, parts, length_s)
    fleet.clock.run(length_s + 5)
    return fleet


def requests_of(fleet: Fleet, region: str = '') -> list[ModelRequest]:
    """Return the requests of a region, or of all, once the first objects are loaded."""
    return [
        request
        for host in fleet.hosts
        if host.region.startswith(region)
        for request in host.requests
        if request.received_s > SETTLED_S
    ]


def part_refused(requests: list[ModelRequest]) -> float:
    return sum(request.is_refused for request in requests) / len(requests)


def part_in_time(requests: Iterable[ModelRequest]) -> float:
    """Return the part of the requests that were not refused and ended in time."""
    times = [request.took_s for request in requests if request.took_s is not None]
    return sum(took_s <= OBJECTIVE_S for took_s in times) / len(times)


def largest_share(served: Iterable[int]) -> float:
    """Return the most requests of a server in multiples of the mean."""
    counts = list(served)
    return max(counts) * len(counts) / sum(counts)


@pytest.fixture(scope='module')
def surge() -> Fleet:
    """Play demand of region x at 1.5 times its room while others have room."""
    return played({**dict.fromkeys(DOMAINS, 0.35), 'x-a': 1.5, 'x-b': 1.5})


class TestSurge:
    """Demand of one region at 1.5 times its room while other regions have room."""

    def test_few_requests_are_refused(self, surge):
        assert part_refused(requests_of(surge)) <= 0.01

    def test_requests_are_answered_in_time(self, surge):
        assert part_in_time(requests_of(surge, 'x')) >= 0.9

    def test_callers_of_other_regions_do_not_suffer(self, surge):
        for region in 'yz':
            assert part_in_time(requests_of(surge, region)) >= 0.9

    def test_region_uses_its_own_room_first(self, surge):
        requests = requests_of(surge, 'x')
        kept = sum(request.region == 'x' for request in requests) / len(requests)
        assert kept >= 0.75 / 1.5

    def test_other_regions_keep_their_requests(self, surge):
        for region in 'yz':
            requests = requests_of(surge, region)
            kept = sum(request.region == region for request in requests)
            assert kept / len(requests) >= 0.75

    def test_few_requests_change_their_region_between_windows(self, surge):
        shares: dict[int, Counter[str]] = {}
        for request in requests_of(surge, 'x'):
            window = int(request.received_s // 2)
            if request.received_s >= LENGTH_S:
                continue
            shares.setdefault(window, Counter())[request.region] += 1
        windows = [shares[window] for window in sorted(shares)]
        for earlier, later in zip(windows, windows[1:], strict=False):
            moved = sum(
                abs(later[name] / later.total() - earlier[name] / earlier.total())
                for name in 'xyz'
            )
            assert moved / 2 <= 0.15

    def test_no_server_is_overloaded(self, surge):
        assert largest_share(each.served for each in surge.servers.values()) <= 1.5


def slow_at_times(seed: int) -> Callable[[float], float]:
    """Return a slowdown of 2.5 for 15% of the time, in pieces of 0.3 s on average."""
    generator = random.Random(seed)
    changes = [0.0]
    while changes[-1] < 60:
        mean_s = 1.7 if len(changes) % 2 else 0.3
        changes.append(changes[-1] + generator.expovariate(1 / mean_s))
    return lambda now_s: 1.0 if bisect(changes, now_s) % 2 else 2.5


class TestSharedMachines:
    """Servers whose machines are slow for 15% of the time by 2.5 times."""

    @staticmethod
    def prepare(fleet: Fleet) -> None:
        for number, server in enumerate(fleet.servers.values()):
            server.slowdown = slow_at_times(number)

    def test_requests_are_answered_in_time(self):
        fleet = played(dict.fromkeys(DOMAINS, 0.6), self.prepare)
        requests = requests_of(fleet)
        assert part_refused(requests) <= 0.01
        assert part_in_time(requests) >= 0.85
        assert largest_share(each.served for each in fleet.servers.values()) <= 1.5


class TestEvacuation:
    """A failure domain whose servers are sent nothing from one moment on."""

    def test_others_take_its_requests(self):
        def prepare(fleet: Fleet) -> None:
            for host in fleet.hosts:
                fleet.clock.after(8, lambda host=host: host.evacuate('x-a'))

        fleet = played(dict.fromkeys(DOMAINS, 0.6), prepare)
        later = [each for each in requests_of(fleet) if each.received_s > 8]
        assert part_refused(later) <= 0.01
        assert part_in_time(later) >= 0.85

    def test_no_other_server_is_overloaded(self):
        def prepare(fleet: Fleet) -> None:
            for host in fleet.hosts:
                host.evacuate('x-a')

        fleet = played(dict.fromkeys(DOMAINS, 0.6), prepare)
        served = {name: each.served for name, each in fleet.servers.items()}
        assert not any(served[name] for name in served if name.startswith('x-a'))
        assert largest_share(each for each in served.values() if each) <= 1.5


class TestSlowServer:
    """One server that stays slow, by 8 times."""

    def test_others_take_its_requests(self):
        def prepare(fleet: Fleet) -> None:
            fleet.servers['x-a-0'].slowdown = lambda now_s: 8.0

        fleet = played(dict.fromkeys(DOMAINS, 0.6), prepare)
        requests = requests_of(fleet)
        assert part_refused(requests) <= 0.01
        assert part_in_time(requests) >= 0.9
        assert largest_share(each.served for each in fleet.servers.values()) <= 1.5

    def test_it_is_used_again_when_it_has_recovered(self):
        # Guards against a server that is avoided for good, as it reports nothing.
        counts = []

        def prepare(fleet: Fleet) -> None:
            slow = fleet.servers['x-a-0']
            slow.slowdown = lambda now_s: 8.0 if now_s < 8 else 1.0
            fleet.clock.after(16, lambda: counts.append(slow.served))

        fleet = played(dict.fromkeys(DOMAINS, 0.6), prepare, length_s=24)
        served = fleet.servers['x-a-0'].served - counts[0]
        mean = 0.6 * ROOM_PER_S * 8 / 4
        assert served >= mean / 2


@pytest.fixture(scope='module')
def full() -> Fleet:
    """Play demand that all servers together have no room for."""
    return played(dict.fromkeys(DOMAINS, 1.5))


class TestFullServers:
    """Demand of 1.5 times the room of all servers together."""

    def test_servers_stay_in_use(self, full):
        # 1 / 1.5 of the requests can be served.
        assert part_refused(requests_of(full)) <= 0.4

    def test_requests_that_are_not_refused_end_in_time(self, full):
        assert part_in_time(requests_of(full)) >= 0.85

    def test_nobody_is_refused_while_a_server_has_a_free_slot(self, full):
        # Other hosts tell their requests by heartbeats.
        for request in requests_of(full):
            assert request.free_for_s <= 2 * full.heartbeat_s

    def test_requests_are_refused_at_once(self, full):
        # Except for some that have waited for a server to load their object.
        refused = [each for each in requests_of(full) if each.is_refused]
        late = [each for each in refused if each.refused_s > each.received_s]
        assert len(late) / len(refused) <= 0.02

    @pytest.mark.parametrize('seed', range(3))
    def test_there_is_room_after_the_named_time(self, seed):
        fleet = Fleet(EVEN, seed=seed)
        send(fleet, dict.fromkeys(DOMAINS, 3), 5)
        fleet.clock.run(5)
        returning = []
        for host in fleet.hosts:
            refused = [each for each in host.requests if each.is_refused][-1]
            # A queue never takes longer than the objective.
            assert refused.retry_after_s <= OBJECTIVE_S
            # A queue moves on within a service time.
            due_s = refused.received_s + refused.retry_after_s + CACHED_S
            returning.append((due_s, host, refused.object_key))
        again = []
        for due_s, host, object_key in sorted(returning, key=lambda each: each[0]):
            fleet.clock.run(max(fleet.clock.now_s, due_s))
            host.receive(object_key)
            again.append(host.requests[-1])
        # Other hosts tell their requests by heartbeats, so one of them may be wrong.
        assert sum(each.is_refused for each in again) <= 1


class TestOldFigures:
    """Hosts that learn of the others' requests late."""

    def test_no_server_is_overloaded(self):
        def prepare(fleet: Fleet) -> None:
            fleet.heartbeat_s = 1.5

        fleet = played(dict.fromkeys(DOMAINS, 0.5), prepare, host_count=4)
        requests = requests_of(fleet)
        assert part_refused(requests) <= 0.01
        assert part_in_time(requests) >= 0.85
        assert largest_share(each.served for each in fleet.servers.values()) <= 1.5
