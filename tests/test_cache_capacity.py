"""Test how a host learns how many objects backend servers keep in their caches."""

import random
from collections import OrderedDict

import pytest

from cicadadoor.decisions.cache_capacity import CacheCapacity, was_hit
from cicadadoor.entry.cached_objects import CachedObjects
from tests.utils.queue_hosts import Fleet

CACHED_S = 0.162
UNCACHED_S = 0.54
# Part of the requests that take 7 times as long as usual.
SLOW_PART = 0.03


class TestWasHit:
    """The judgement of a single answer."""

    def judged(self, took_s: float) -> bool | None:
        return was_hit(took_s, cached_s=CACHED_S, uncached_s=UNCACHED_S)

    @pytest.mark.parametrize('factor', (0.85, 1.0, 1.15))
    def test_usual_times_are_told_apart(self, factor):
        assert self.judged(CACHED_S * factor) is True
        assert self.judged(UNCACHED_S * factor) is False

    def test_request_that_takes_far_longer_than_a_load_shows_nothing(self):
        # 3% of the requests take 7 times as long, whether the object is cached or not.
        assert self.judged(7 * CACHED_S) is None
        assert self.judged(7 * UNCACHED_S) is None

    def test_similar_times_show_nothing(self):
        assert was_hit(0.5, cached_s=0.4, uncached_s=0.5) is None

    def test_unmeasured_times_show_nothing(self):
        assert was_hit(0.5, cached_s=0, uncached_s=0.5) is None
        assert was_hit(0.5, cached_s=0.1, uncached_s=0) is None


class TestCapacity:
    """The size that answers show."""

    def test_size_is_that_of_the_known_sites_at_first(self):
        assert CacheCapacity().objects == 48

    def test_single_slow_answers_prove_nothing(self):
        capacity = CacheCapacity()
        for position in (3, 40):
            capacity.note(position, is_hit=False)
        assert capacity.objects == 48

    def test_size_shrinks_at_once_on_evidence(self):
        capacity = CacheCapacity()
        for position in range(20):
            capacity.note(position, is_hit=True)
        for position in (24, 30, 37):
            capacity.note(position, is_hit=False)
        assert 20 <= capacity.objects <= 37

    def test_scattered_slow_answers_among_hits_do_not_shrink_it(self):
        capacity = CacheCapacity()
        generator = random.Random(1)
        for _ in range(5000):
            is_hit = generator.random() > 2 * SLOW_PART
            capacity.note(generator.randrange(24), is_hit=is_hit)
        assert capacity.objects == 48

    def test_size_grows_slowly(self):
        capacity = CacheCapacity()
        for _ in range(8):
            capacity.note(47, is_hit=True)
        assert 48 < capacity.objects <= 52

    def test_early_hits_do_not_grow_it(self):
        capacity = CacheCapacity()
        for _ in range(1000):
            capacity.note(10, is_hit=True)
        assert capacity.objects == 48

    def test_size_is_bounded(self):
        capacity = CacheCapacity()
        for _ in range(1000):
            capacity.note(capacity.objects - 1, is_hit=True)
        assert capacity.objects == 512
        for _ in range(2000):
            capacity.note(capacity.objects - 1, is_hit=False)
        assert capacity.objects == 8

    def test_unknown_positions_are_accepted(self):
        capacity = CacheCapacity()
        capacity.note(10_000, is_hit=False)
        assert capacity.objects == 48


class CacheTrial:
    """Send requests for objects of uneven demand to one server with a cache.

    For `misreported` of the requests, the reported slowdown is wrong by 2.5 times.
    """

    def __init__(self, cache_size: int, seed: int, misreported: float = 0) -> None:
        self.cache_size = cache_size
        self.misreported = misreported
        self.capacity = CacheCapacity()
        self.misses = 0
        self._known = CachedObjects(self.capacity)
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._random = random.Random(seed)

    def send(self, count: int, objects: int = 250) -> None:
        """Send requests; the more popular objects have lower numbers."""
        self.misses = 0
        for _ in range(count):
            self._send(str(int(objects * self._random.random() ** 2)))

    def _send(self, key: str) -> None:
        position = self._known.position(key)
        is_cached = key in self._cache
        if position is not None:
            self.misses += not is_cached
            is_hit = was_hit(
                self._work_s(is_cached), cached_s=CACHED_S, uncached_s=UNCACHED_S
            )
            if is_hit is not None:
                self.capacity.note(position, is_hit=is_hit)
        self._cache[key] = None
        self._cache.move_to_end(key)
        if len(self._cache) > self.cache_size:
            self._cache.popitem(last=False)
        first_request = self._known.begin(key, 0)
        self._known.end(key, first_request, is_answered=True)

    def _work_s(self, is_cached: bool) -> float:
        work_s = CACHED_S if is_cached else UNCACHED_S
        if self._random.random() < SLOW_PART:
            work_s *= 7
        if self._random.random() < self.misreported:
            work_s *= self._random.choice((2.5, 0.4))
        return work_s * self._random.uniform(0.85, 1.15)


@pytest.mark.parametrize('cache_size', (25, 40, 60, 90))
class TestLearning:
    """The size that is learnt from noisy times."""

    @pytest.mark.parametrize('seed', range(3))
    def test_size_is_learnt(self, cache_size, seed):
        trial = CacheTrial(cache_size, seed)
        trial.send(6000)
        assert trial.capacity.objects == pytest.approx(cache_size, rel=0.25)

    def test_size_is_learnt_where_the_slowdown_is_often_wrong(self, cache_size):
        trial = CacheTrial(cache_size, 1, misreported=0.15)
        trial.send(6000)
        assert trial.capacity.objects == pytest.approx(cache_size, rel=0.25)

    def test_few_requests_meet_an_object_that_is_not_cached(self, cache_size):
        trial = CacheTrial(cache_size, 1)
        trial.send(6000)
        trial.send(6000)
        assert trial.misses / 6000 <= 0.05

    def test_smaller_caches_are_noticed_soon(self, cache_size):
        trial = CacheTrial(cache_size, 1)
        trial.send(6000)
        trial.cache_size = cache_size // 2
        trial.send(100)
        trial.send(500)
        assert trial.misses / 500 <= 0.1


class TestFleet:
    """The sizes that hosts learn which see parts of the requests."""

    domains = ('x-a', 'x-b', 'y-a', 'y-b')

    @pytest.mark.parametrize('cache_size', (25, 48, 90))
    def test_no_host_is_far_from_the_size(self, cache_size):
        fleet = Fleet(dict.fromkeys(self.domains, 4), host_count=2)
        for server in fleet.servers.values():
            server.cache_size = cache_size
        for domain in self.domains:
            # 400 objects of a region; some are asked for more often than others.
            objects = [
                f'{domain[0]}-{number * number // 2500}' for number in range(1000)
            ]
            fleet.send(domain, 25, objects, 60)
        fleet.clock.run(60)
        # Objects that other hosts ask for make the size look smaller. It grows late.
        for host in fleet.hosts:
            assert 0.6 * min(cache_size, 60) <= host.capacity.objects
            assert host.capacity.objects <= 1.4 * cache_size


class TestPosition:
    """The position of an object in the order of last use."""

    def used(self, *keys: str) -> CachedObjects:
        cached_objects = CachedObjects()
        for key in keys:
            cached_objects.end(key, None, is_answered=True)
        return cached_objects

    def test_position_counts_the_objects_used_later(self):
        cached_objects = self.used('a', 'b', 'c', 'b')
        positions = [cached_objects.position(key) for key in 'abc']
        assert positions == [2, 0, 1]

    def test_object_that_is_not_cached_has_none(self):
        assert self.used('a').position('b') is None
        assert self.used('a').position('') is None

    def test_smaller_size_forgets_the_objects_used_longest_ago(self):
        cached_objects = self.used(*(str(number) for number in range(48)))
        cached_objects.capacity.objects = 10
        cached_objects.end('new', None, is_answered=True)
        assert cached_objects.position('40') == 8
        assert cached_objects.position('30') is None
