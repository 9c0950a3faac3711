"""Test the table of backend servers, regions of requests and service weights."""

import tracemalloc

import pytest

from cicadadoor.decisions.placement import CacheState
from cicadadoor.entry.backend_table import BackendTable
from cicadadoor.entry.cached_objects import CachedObjects
from cicadadoor.entry.messages import CallerRequest
from cicadadoor.entry.model import (
    BackendRecord,
    OrganisationPolicy,
    RoutePolicy,
    ServiceShare,
)
from cicadadoor.entry.routed_request import RoutedRequest, WeightedRoundRobin

REGIONS = {'muc-a': 'muenchen', 'nue-a': 'nuernberg'}


def record_of(name: str, **changes: object) -> BackendRecord:
    fields = {
        'instance_id': name,
        'service': 'front',
        'address': f'{name}:80',
        'failure_domain': 'muc-a',
        'slots': 8,
        'is_draining': False,
        'cold_remaining_ms': 0,
        'started_ms': 1,
    }
    return BackendRecord(**{**fields, **changes})


def apply_entries(
    table: BackendTable, *records: BackendRecord, **options: object
) -> None:
    table.apply_entries(
        {record.instance_id: record for record in records},
        REGIONS,
        options.get('now_s', 10.0),
        missing_until_s=options.get('missing_until_s'),
    )


@pytest.fixture
def table() -> BackendTable:
    servers = BackendTable()
    apply_entries(servers, *(record_of(f'i-{number}') for number in range(10)))
    return servers


class TestEntries:
    """Check server entries that appear, change and disappear."""

    def test_server_is_removed_with_its_entry(self, table):
        apply_entries(table, *(record_of(f'i-{number}') for number in range(9)))
        assert len(table.of_service('front')) == 9

    def test_entries_missing_after_an_outage_may_reappear(self, table):
        apply_entries(table, record_of('i-0'), missing_until_s=12.1)
        assert len(table.of_service('front')) == 10
        apply_entries(
            table, *(record_of(f'i-{number}') for number in range(10)), now_s=11.0
        )
        assert not table.expire(13.0)
        assert len(table.of_service('front')) == 10

    def test_entries_that_do_not_reappear_are_removed(self, table):
        apply_entries(table, record_of('i-0'), missing_until_s=12.1)
        assert table.expire(12.2)
        assert len(table.of_service('front')) == 1

    def test_removal_of_many_servers_at_once_is_no_expiry(self, table):
        """Taken for an outage, servers that left got requests after they had ended."""
        apply_entries(table, *(record_of(f'i-{number}') for number in range(6)))
        assert len(table.of_service('front')) == 6
        apply_entries(table)
        assert not table.of_service('front')

    def test_draining_server_is_removed_with_its_entry(self, table):
        others = [record_of(f'i-{number}') for number in range(9)]
        apply_entries(table, *others, record_of('i-9', is_draining=True))
        apply_entries(table, *others, missing_until_s=12.1)
        assert len(table.of_service('front')) == 9

    def test_same_id_with_another_start_time_is_a_new_server_run(self, table):
        before = table.known['i-0']
        before.cached_objects.end('object', None, is_answered=True)
        others = [record_of(f'i-{number}') for number in range(1, 10)]
        apply_entries(
            table, *others, record_of('i-0', started_ms=2, cold_remaining_ms=3000)
        )
        after = table.known['i-0']
        assert after is not before
        assert after.pool_key != before.pool_key
        assert after.cached_objects.cache_state('object') is CacheState.NOT_CACHED
        assert after.is_cold(12.9)
        assert not after.is_cold(13.1)

    def test_repeated_entry_does_not_prolong_the_cold_time(self, table):
        cold = record_of('i-0', cold_remaining_ms=1000)
        others = [record_of(f'i-{number}') for number in range(1, 10)]
        apply_entries(table, cold, *others, now_s=20.0)
        apply_entries(table, cold, *others, now_s=20.9)
        assert not table.known['i-0'].is_cold(21.1)


class TestKnownObjects:
    """Check which objects a server is assumed to have cached."""

    def test_first_answer_marks_the_object_as_known(self):
        cached_objects = CachedObjects()
        first_request = cached_objects.begin('object', 1.0)
        assert cached_objects.cache_state('object') is CacheState.LOADING
        assert cached_objects.begin('object', 1.1) is None
        cached_objects.end('object', first_request, is_answered=True)
        assert first_request.ended.is_set()
        assert cached_objects.cache_state('object') is CacheState.CACHED

    def test_request_without_an_answer_leaves_the_object_unknown(self):
        cached_objects = CachedObjects()
        first_request = cached_objects.begin('object', 1.0)
        cached_objects.end('object', first_request, is_answered=False)
        assert first_request.ended.is_set()
        assert cached_objects.cache_state('object') is CacheState.NOT_CACHED

    def test_least_recently_used_objects_are_evicted(self):
        cached_objects = CachedObjects()
        for number in range(60):
            cached_objects.end(f'object-{number}', None, is_answered=True)
        assert cached_objects.cache_state('object-0') is CacheState.NOT_CACHED
        assert cached_objects.cache_state('object-59') is CacheState.CACHED


def route_of(*services: tuple[str, float], homes: tuple[str, ...] = ()) -> RoutePolicy:
    return RoutePolicy(
        name='look',
        host_name='a',
        path_prefix='/look/',
        is_idempotent=True,
        is_public=False,
        has_affinity=True,
        timeout_ms=3000,
        latency_objective_ms=400,
        priority=2,
        max_attempts=2,
        services=tuple(
            ServiceShare(service=name, weight=weight) for name, weight in services
        ),
        home_regions=frozenset(homes),
    )


class TestHomeRegions:
    """Check the home regions of a route combined with those of an organisation."""

    @pytest.mark.parametrize(
        ('route_homes', 'organisation_homes', 'allowed'),
        (
            ((), (), set()),
            (('muenchen',), (), {'muenchen'}),
            ((), ('nuernberg',), {'nuernberg'}),
            (('muenchen', 'nuernberg'), ('nuernberg',), {'nuernberg'}),
        ),
    )
    def test_home_regions_are_intersected(
        self, route_homes, organisation_homes, allowed
    ):
        assert home_regions_of(route_homes, organisation_homes) == allowed

    def test_disjoint_home_regions_allow_no_region(self):
        homes = home_regions_of(('muenchen',), ('nuernberg',))
        assert homes
        assert not homes.intersection(REGIONS.values())


def object_key_of(affinity_key: str) -> str:
    return RoutedRequest(
        request=request_with(affinity_key),
        body=b'',
        route=route_of(('front', 1)),
        organisation=None,
        service='front',
        received_s=0,
        deadline_s=3,
    ).object_key


class TestObjectKeys:
    """Guard against callers whose keys fill the memory through the caches."""

    def test_long_keys_take_little_memory(self):
        numbers = range(1000)
        tracemalloc.start()
        try:
            kept = {object_key_of(f'{number:04000}') for number in numbers}
            taken_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert len(kept) == len(numbers)
        assert taken_bytes < 1_000_000

    def test_equal_long_keys_concern_one_object(self):
        assert object_key_of('é' * 4000) == object_key_of('é' * 4000)

    def test_short_key_is_kept(self):
        assert object_key_of('patient-7') == 'look:patient-7'


def request_with(affinity_key: str) -> CallerRequest:
    return CallerRequest(
        request_id='x',
        method='GET',
        target=b'/look/1',
        host_name='a',
        affinity_key=affinity_key,
        api_key='key',
        deadline_ms=None,
        headers=[],
    )


def home_regions_of(route_homes, organisation_homes) -> frozenset[str]:
    return RoutedRequest(
        request=request_with('7'),
        body=b'',
        route=route_of(('front', 1), homes=route_homes),
        organisation=OrganisationPolicy(
            name='school',
            api_keys=('key',),
            rate_per_s=0,
            burst=0,
            home_regions=frozenset(organisation_homes),
        ),
        service='front',
        received_s=0,
        deadline_s=3,
    ).home_regions


class TestWeightedRoundRobin:
    """Check how a route with several services divides its requests."""

    @pytest.mark.parametrize('weights', ((90, 10), (1, 1), (70, 30)))
    def test_each_service_gets_its_share(self, weights):
        round_robin = WeightedRoundRobin(route_of(('a', weights[0]), ('b', weights[1])))
        selected = [round_robin.next_service() for _ in range(200)]
        expected = 200 * weights[0] / sum(weights)
        assert abs(selected.count('a') - expected) <= 2

    def test_service_with_weight_zero_gets_no_requests(self):
        round_robin = WeightedRoundRobin(route_of(('a', 1), ('b', 0)))
        assert {round_robin.next_service() for _ in range(50)} == {'a'}
