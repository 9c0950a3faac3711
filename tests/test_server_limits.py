"""Test limits that a worker names in its answers, over entry hosts."""

import itertools
from collections.abc import Awaitable, Callable

import anyio
import pytest

from tests.utils.entry_hosts import Deployment, Worker, run_deployed
from tests.utils.metadata_store import worker_entry

# As the users define them: the time until a named limit binds, the window in which
# requests are counted, and what may reach the worker in it.
BINDS_AFTER_S = 3.0
WINDOW_S = 4.0
OVERRUN = 1.5
SLACK = 5
HOSTS = 3


def _most_in_a_window(worker: Worker, from_s: float) -> int:
    times = [moment_s for moment_s in worker.arrived_s if moment_s >= from_s]
    return max(
        sum(1 for later_s in times if start_s <= later_s <= start_s + WINDOW_S)
        for start_s in (from_s, *times)
    )


async def _press(
    deployment: Deployment, for_s: float, objects: str = 'object'
) -> list[int]:
    """Call all hosts without a pause, for objects that prefer any of the workers."""
    statuses: list[int] = []

    async def call(host: int) -> None:
        for number in itertools.cycle(range(40)):
            cookie = {'Cookie': f'Affinity-Key={objects}-{number}'}
            method = 'POST' if number % 3 == 0 else 'GET'
            answer = await deployment.call(
                '/open/1', key='', host=host, method=method, **cookie
            )
            statuses.append(answer.status_code)
            await anyio.sleep(0.02)

    with anyio.move_on_after(for_s):
        async with anyio.create_task_group() as tasks:
            for host, _ in enumerate(deployment.hosts):
                tasks.start_soon(call, host)
    return statuses


def _run(work: Callable[[Deployment], Awaitable[None]]) -> None:
    run_deployed(work, workers=3, hosts=HOSTS)


class TestServerLimit:
    """Check the requests that reach a worker that has named a limit."""

    def test_worker_gets_no_more_than_the_limit_that_it_names(self):
        limit_per_s = 1.4

        async def work(deployment):
            worker = deployment.workers['i-0']
            await _press(deployment, 1)
            worker.extra_headers = {'Server-Limit': str(limit_per_s)}
            named_s = anyio.current_time()
            statuses = await _press(deployment, BINDS_AFTER_S + 2 * WINDOW_S)
            allowed = OVERRUN * limit_per_s * WINDOW_S + SLACK
            assert _most_in_a_window(worker, named_s + BINDS_AFTER_S) <= allowed
            assert worker.arrived_s[-1] > named_s + BINDS_AFTER_S
            assert set(statuses) == {200}

        _run(work)

    def test_limit_ends_at_all_hosts_when_the_worker_no_longer_names_it(self):
        async def work(deployment):
            worker = deployment.workers['i-0']
            worker.extra_headers = {'Server-Limit': '1.4'}
            await _press(deployment, 3)
            worker.extra_headers = {}
            await _press(deployment, 6)
            before = worker.arrivals
            await _press(deployment, WINDOW_S)
            assert worker.arrivals - before > OVERRUN * 1.4 * WINDOW_S + SLACK

        _run(work)


class TestLeavingServer:
    """Check a worker that says in its answers that it leaves."""

    @pytest.mark.parametrize('script', ([], ['shed'], ['fail']))
    def test_worker_gets_nothing_after_an_answer_that_says_so(self, script):
        """Its entry in the store may say that it is ready for long."""

        async def work(deployment):
            worker = deployment.workers['i-0']
            worker.script = script
            worker.extra_headers = {'Server-Leaving': '1'}
            deadline_s = anyio.current_time() + 20
            while not worker.arrivals:
                assert anyio.current_time() < deadline_s
                await _press(deployment, 0.2)
            await anyio.sleep(0.5)
            arrivals = worker.arrivals
            assert set(await _press(deployment, 2)) == {200}
            assert worker.arrivals == arrivals

        run_deployed(work, workers=3, hosts=1)

    def test_new_run_of_the_worker_is_used(self):
        async def work(deployment):
            worker = deployment.workers['i-0']
            worker.extra_headers = {'Server-Leaving': '1'}
            await _press(deployment, 1)
            worker.extra_headers = {}
            address = deployment.find('backends').find('i-0').record.address
            later = worker_entry(address, born=1_700_000_000_001)
            deployment.store.put('servers', 'i-0', later)
            with anyio.fail_after(20):
                while 200 not in await _press(deployment, 0.2):
                    await anyio.sleep(0.1)

        run_deployed(work, workers=1)


class TestRetryAfter:
    """Check a worker that turns a request away and names a time."""

    def test_worker_gets_nothing_until_the_time_has_passed(self):
        async def work(deployment):
            worker = deployment.workers['i-0']
            worker.script = ['shed']
            worker.extra_headers = {'Retry-After': '3'}
            while not worker.arrivals:
                await _press(deployment, 0.2)
            worker.extra_headers = {}
            shed_s = worker.arrived_s[0]
            await _press(deployment, 4)
            await _press(deployment, 2, objects='later')
            held = [
                moment_s
                for moment_s in worker.arrived_s
                if shed_s + 0.5 < moment_s < shed_s + 3
            ]
            assert len(held) <= 2
            assert worker.arrived_s[-1] > shed_s + 3

        run_deployed(work, workers=3, hosts=1)
