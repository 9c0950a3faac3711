"""Test placement by expected finish and the directory over entry hosts and workers."""

from collections import Counter

import anyio
import pytest

from cicadadoor.entry.server_attempt import estimates_finish
from tests.utils.entry_hosts import run_deployed
from tests.utils.waiting import until

_COOKIE = 'Affinity-Key=7'
_USUAL_S = 0.05
_SLOW_FACTOR = 20
# Enough for the average of the reported slowdown, where each report is too old by the
# time of the next request.
_MAX_CALLS = 20


async def _first_server(deployment) -> str:
    """Return the server that has cached the object, once its times are measured."""
    for worker in deployment.workers.values():
        worker.work_s = _USUAL_S
    for _ in range(4):
        answer = await _call(deployment)
    return answer.content.decode()


async def _call(deployment, host: int = 0):
    # Requests of this route are not sent to a second server where the first is slow.
    return await deployment.call('/book/1', method='POST', host=host, Cookie=_COOKIE)


def _report(deployment, fourth_figure: str) -> None:
    for worker in deployment.workers.values():
        worker.extra_headers = {'Server-Load': f'1,0,8{fourth_figure}'}


async def _slow_down(
    deployment, name: str, fourth_figure: str, max_calls: int
) -> Counter[str]:
    """Make a server slow and return which servers answer, until another one does."""
    worker = deployment.workers[name]
    worker.work_s = _USUAL_S * _SLOW_FACTOR
    worker.extra_headers = {'Server-Load': f'1,0,8{fourth_figure}'}
    answered: Counter[str] = Counter()
    while set(answered) <= {name} and answered.total() < max_calls:
        answer = await _call(deployment)
        assert answer.status_code == 200
        answered[answer.content.decode()] += 1
    return answered


class TestExpectedFinish:
    """Check the choice of a server whose machine is slow."""

    def test_request_leaves_a_server_that_reports_to_be_slow(self):
        """Guard against requests that stay where they miss their objective."""

        async def work(deployment):
            _report(deployment, ',100')
            first = await _first_server(deployment)
            backends = deployment.find('backends')
            assert estimates_finish(backends, 'front')
            answered = await _slow_down(
                deployment, first, f',{_SLOW_FACTOR * 100}', _MAX_CALLS
            )
            assert set(answered) != {first}

        run_deployed(work, workers=2, hosts=2)

    def test_without_a_fourth_figure_the_request_stays(self):
        async def work(deployment):
            _report(deployment, '')
            first = await _first_server(deployment)
            backends = deployment.find('backends')
            assert not estimates_finish(backends, 'front')
            answered = await _slow_down(deployment, first, '', 4)
            assert answered == {first: 4}

        run_deployed(work, workers=2, hosts=2)

    def test_other_host_places_by_expected_finish_once_it_has_a_report(self):
        async def work(deployment):
            _report(deployment, ',100')
            await _first_server(deployment)
            backends = deployment.find('backends', 1)
            assert not backends.shared_machines.includes('front')
            await _call(deployment, host=1)
            assert backends.shared_machines.includes('front')

        run_deployed(work, workers=2, hosts=2)

    @pytest.mark.parametrize(
        ('fourth_figure', 'expected'), ((',100', True), ('', False))
    )
    def test_cache_size_is_learnt_from_reports_only(self, fourth_figure, expected):
        """Guard against a change of placement in other deployments."""

        async def work(deployment):
            _report(deployment, fourth_figure)
            worker = deployment.workers['i-0']
            capacity = deployment.find('backends').find('i-0').cached_objects.capacity
            # First requests take as long as a load, later ones do not.
            worker.work_s = 0.4
            for key in range(3):
                await deployment.call('/look/1', Cookie=f'Affinity-Key={key}')
            worker.work_s = 0.01
            for _ in range(3):
                await deployment.call('/look/1', Cookie='Affinity-Key=2')
            assert capacity.objects == 48
            # The server has evicted all objects.
            worker.work_s = 0.4
            for key in (0, 1, 2, 0):
                await deployment.call('/look/1', Cookie=f'Affinity-Key={key}')
            assert (capacity.objects < 48) is expected

        run_deployed(work)


_REGIONS = {'muc-a': 'muenchen', 'muc-b': 'muenchen', 'nue-a': 'nuernberg'}
_SIX_HOSTS = {
    'hosts': 6,
    'domains': ('muc-a', 'muc-a', 'muc-b'),
    'regions': _REGIONS,
}
_LOOKUPS = 400


async def _named(deployment, domain: str) -> Counter[str]:
    """Return how often each host is named to callers of a failure domain."""
    directory = deployment.find('directory')
    membership = deployment.find('membership')
    with anyio.fail_after(30):
        await until(lambda: len(membership.serving_hosts()) == len(deployment.hosts))
    hosts = {str(settings.callers): settings.host for settings in deployment.hosts}
    named: Counter[str] = Counter()
    for _ in range(_LOOKUPS):
        answer = directory.look_up(_REGIONS[domain], domain)
        named.update(hosts[address] for address in answer.addresses)
    return named


class TestDirectory:
    """Check the hosts that callers are named."""

    def test_callers_are_named_the_hosts_of_their_failure_domain(self):
        """Guard against bytes between failure domains, and overloaded small hosts."""

        async def work(deployment):
            steering = deployment.find('backends').steering
            await until(lambda: steering.is_on)
            # Hosts 0, 1, 3 and 4 are in muc-a, with 2, 0.5, 2 and 0.5 cores.
            named = await _named(deployment, 'muc-a')
            assert set(named) == {'host-0', 'host-1', 'host-3', 'host-4'}
            assert named['host-0'] == named['host-3'] == _LOOKUPS
            # Three hosts are named at least, for callers to go on to.
            assert named.total() == 3 * _LOOKUPS
            assert 0.3 * _LOOKUPS <= named['host-1'] <= 0.7 * _LOOKUPS

        run_deployed(work, **_SIX_HOSTS, cores=(2.0, 0.5, 1.0))

    def test_domain_with_few_hosts_uses_those_of_its_region(self):
        async def work(deployment):
            steering = deployment.find('backends').steering
            await until(lambda: steering.is_on)
            named = await _named(deployment, 'muc-b')
            assert set(named) == {f'host-{number}' for number in range(6)}

        run_deployed(work, **_SIX_HOSTS, cores=(2.0, 0.5, 1.0))

    def test_equal_hosts_are_all_named(self):
        """Guard against changed placement where hosts are equal."""

        async def work(deployment):
            named = await _named(deployment, 'muc-a')
            assert not deployment.find('backends').steering.is_on
            assert set(named.values()) == {_LOOKUPS}
            assert len(named) == 6

        run_deployed(work, **_SIX_HOSTS)
