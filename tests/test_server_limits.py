"""Test limits that a worker names in its answers, over entry hosts."""

from collections.abc import Awaitable, Callable

import anyio

from tests.utils.entry_hosts import Deployment, Worker, run_deployed

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


async def _press(deployment: Deployment, for_s: float) -> list[int]:
    """Call all hosts without a pause, for objects that prefer any of the workers."""
    statuses: list[int] = []

    async def call(host: int) -> None:
        number = 0
        while True:
            number += 1
            cookie = {'Cookie': f'Affinity-Key={number % 40}'}
            method = 'POST' if number % 3 == 0 else 'GET'
            answer = await deployment.call(
                '/look/1', host=host, method=method, **cookie
            )
            statuses.append(answer.status_code)
            await anyio.sleep(0.02)

    with anyio.move_on_after(for_s):
        async with anyio.create_task_group() as tasks:
            for host in range(HOSTS):
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
