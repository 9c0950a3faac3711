"""Test how hosts of a region share which objects backend servers have cached."""

from cicadadoor.decisions.placement import CacheState
from tests.utils.entry_hosts import run_deployed
from tests.utils.waiting import until

_OBJECT = 'look:7'
_COOKIE = 'Affinity-Key=7'


def _cached_objects(deployment, host: int):
    return deployment.find('backends', host).find('i-0').cached_objects


async def _send_first_request(deployment) -> None:
    live_heartbeats = deployment.find('membership', 1).live_heartbeats
    await until(lambda: len(live_heartbeats()) == 1)
    await deployment.call('/look/1', Cookie=_COOKIE)


class TestCacheReports:
    """Check that a host knows which objects were loaded for other hosts."""

    def test_host_knows_objects_loaded_for_another_host(self):
        async def work(deployment):
            assert (
                _cached_objects(deployment, 1).cache_state(_OBJECT)
                is CacheState.NOT_CACHED
            )
            await _send_first_request(deployment)
            cached_objects = _cached_objects(deployment, 1)
            await until(
                lambda: cached_objects.cache_state(_OBJECT) is CacheState.CACHED
            )

        run_deployed(work, hosts=2)

    def test_full_server_serves_objects_loaded_for_another_host(self):
        """A server without a free slot is sent requests for cached objects only."""

        async def work(deployment):
            await _send_first_request(deployment)
            cached_objects = _cached_objects(deployment, 1)
            await until(
                lambda: cached_objects.cache_state(_OBJECT) is CacheState.CACHED
            )
            deployment.find('backends', 1).find('i-0').in_flight = 8
            cached = await deployment.call('/look/1', host=1, Cookie=_COOKIE)
            not_cached = await deployment.call(
                '/look/1', host=1, Cookie='Affinity-Key=8'
            )
            assert (cached.status_code, not_cached.status_code) == (200, 503)

        run_deployed(work, hosts=2)

    def test_failed_request_leaves_the_object_unknown(self):
        async def work(deployment):
            live_heartbeats = deployment.find('membership', 1).live_heartbeats
            await until(lambda: len(live_heartbeats()) == 1)
            deployment.workers['i-0'].script.append('reset')
            await deployment.call('/book/1', method='POST', Cookie='Affinity-Key=9')
            await _send_first_request(deployment)
            cached_objects = _cached_objects(deployment, 1)
            await until(
                lambda: cached_objects.cache_state(_OBJECT) is CacheState.CACHED
            )
            assert cached_objects.cache_state('book:9') is CacheState.NOT_CACHED

        run_deployed(work, hosts=2)
