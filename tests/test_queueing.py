"""Test fair queueing of requests for a free target."""

from types import SimpleNamespace

import anyio
import pytest

from cicadadoor.config.model import ServiceClass
from cicadadoor.decisions.fair_queue import FairQueue, QueuedRequest, pop_all
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.queueing import MAX_QUEUE_LENGTH, FairRequestQueue
from cicadadoor.gate.routing import Target
from cicadadoor.kernel import Kernel
from tests.utils.manual_timer import ManualTimer


class OneSlotRouter:
    """Simulate a router with one slot for each service."""

    name = 'router'

    def __init__(self) -> None:
        self.taken: set[str] = set()

    def on_capacity(self, callback):
        """Ignore the callback, because capacity appears only by a release."""

    def try_acquire(self, request, avoid, *, is_local_only=False):
        """Take the slot of the request's service."""
        if request.service.name in self.taken or avoid:
            return Failure(ErrorKind.NO_CAPACITY, 'taken')
        self.taken.add(request.service.name)
        return Target(service=request.service.name)

    def release(self, target, answer, took_s) -> None:
        """Release the slot."""
        self.taken.discard(target.service)


def request_of(organisation='guild-a', service='kursbuchung', deadline_s=1010.0):
    """Build a stub request with the attributes that the queue reads."""
    return SimpleNamespace(
        organisation_name=organisation,
        deadline_s=deadline_s,
        service=SimpleNamespace(name=service, service_class=ServiceClass.INTERACTIVE),
    )


async def new_queue():
    """Start a queue with a fake router and a manual timer."""
    kernel = Kernel()
    timer, router, queue = ManualTimer(), OneSlotRouter(), FairRequestQueue()
    state = SimpleNamespace(name='state', view=None)
    for service in (timer, router, state, queue):
        kernel.register(service)
    await queue.start(kernel)
    return queue, router, timer


def add_requests(queue, organisation, count, deadline_s=100.0, *, is_deferrable=False):
    """Add requests to a queue at time 0."""
    for _ in range(count):
        waiting = QueuedRequest(
            organisation, organisation, 0, deadline_s, is_deferrable=is_deferrable
        )
        queue.add(waiting)


class TestFairQueue:
    """Guard against an organisation that delays the others."""

    def test_burst_of_one_organisation(self):
        """An organisation with many requests must not delay the others."""
        queue = FairQueue(50)
        add_requests(queue, 'big', 50)
        for name in ('x', 'y', 'z'):
            add_requests(queue, name, 5)
        order = [waiting.organisation for waiting in pop_all(queue, 1, {})]
        last = max(order.index(name, 0) for name in 'xyz')
        assert last < 4
        assert set(order[20:]) == {'big'}

    def test_weights(self):
        """A queue weight of 3 gives three times as many turns as a weight of 1."""
        queue = FairQueue(50)
        add_requests(queue, 'x', 40)
        add_requests(queue, 'y', 40)
        order = [waiting.organisation for waiting in pop_all(queue, 1, {'x': 3})]
        assert order[:40].count('x') == 30

    def test_interactive_goes_first_until_a_deadline_nears(self):
        """A deferrable request must neither overtake interactive ones nor starve."""
        queue = FairQueue(50)
        add_requests(queue, 'night', 1, is_deferrable=True)
        add_requests(queue, 'day', 3)
        assert queue.pop(1, {}).organisation == 'day'
        late = [queue.pop(60, {}).organisation for _ in range(2)]
        assert 'night' in late

    def test_queue_is_bounded(self):
        """Requests at the end of a long queue would only miss their deadline."""
        queue = FairQueue(3)
        add_requests(queue, 'x', 9)
        add_requests(queue, 'y', 1)
        assert len(queue) == 4


class TestFairRequestQueue:
    """Guard against leaked slots and requests that wait forever."""

    def run(self, scenario):
        """Run a scenario with a queue whose only slot is taken."""

        async def main():
            queue, router, timer = await new_queue()
            first = await queue.acquire(request_of())
            with anyio.fail_after(5):
                await scenario(queue, router, timer, first)

        anyio.run(main)

    def test_release_serves_the_next(self):
        """A released slot must go to the queued request."""

        async def scenario(queue, router, timer, first):
            outcomes = []

            async def wait():
                outcomes.append(await queue.acquire(request_of()))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait)
                await anyio.wait_all_tasks_blocked()
                other = await queue.acquire(request_of(service='schulakten'))
                assert isinstance(other, Target)
                assert not outcomes
                queue.release(first, Failure(ErrorKind.TIMED_OUT, ''), 0)
            assert isinstance(outcomes[0], Target)

        self.run(scenario)

    @pytest.mark.parametrize('is_served_first', [False, True])
    def test_caller_disconnects(self, is_served_first):
        """A slot assigned to a disconnected caller must be released."""

        async def scenario(queue, router, timer, first):
            async def call():
                target = await queue.acquire(request_of())
                queue.release(target, Failure(ErrorKind.TIMED_OUT, ''), 0)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await anyio.wait_all_tasks_blocked()
                if is_served_first:
                    queue.release(first, Failure(ErrorKind.TIMED_OUT, ''), 0)
                tasks.cancel_scope.cancel()
            if not is_served_first:
                queue.release(first, Failure(ErrorKind.TIMED_OUT, ''), 0)
            assert not router.taken

        self.run(scenario)

    def test_deadline(self):
        """A queued request must fail when its deadline passes."""

        async def scenario(queue, router, timer, first):
            outcomes = []

            async def wait():
                outcomes.append(await queue.acquire(request_of(deadline_s=1001)))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait)
                await anyio.wait_all_tasks_blocked()
                await timer.advance(1.1)
            assert outcomes[0].kind is ErrorKind.DEADLINE_PASSED

        self.run(scenario)

    def test_full_queue(self):
        """A request to a full queue must be refused at once."""

        async def scenario(queue, router, timer, first):
            async with anyio.create_task_group() as tasks:
                for _ in range(MAX_QUEUE_LENGTH):
                    tasks.start_soon(queue.acquire, request_of())
                await anyio.wait_all_tasks_blocked()
                refused = await queue.acquire(request_of())
                assert refused.kind is ErrorKind.QUEUE_FULL
                tasks.cancel_scope.cancel()

        self.run(scenario)
