"""Check the platform stand-in where other tests would not notice its faults."""

import threading

import httpx

from tests.utils.cluster import Cluster
from tests.utils.waiting import wait_until


class TestHostList:
    """Guard against a host list that never lags in tests."""

    def test_list_follows_late(self, tmp_path):
        """The real host list lags, and decisions must not rely on it alone."""
        with Cluster(tmp_path, {}) as cluster:
            cluster.set_platform_faults(host_lag_ms=2000)
            url = f'{cluster.platform_url}/api/v1/host'
            listed = {'kind': 'host', 'name': 'kb-1', 'body': 'e30='}
            late = threading.Thread(
                target=httpx.post, args=(url,), kwargs={'json': listed}
            )
            late.start()
            assert httpx.get(url).json()['objects'] == []
            wait_until(lambda: httpx.get(url).json()['objects'], 'the host is listed')
            late.join()
