"""Test that callers which leave or are refused leave no memory behind."""

import asyncio
import gc
import tracemalloc
import weakref
from collections import UserList
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial

import anyio
import pytest

from cicadadoor.decisions.memory_account import MemoryAccount, Owner, Reservation
from cicadadoor.entry.caller_connection import CallerConnection
from cicadadoor.entry.exchange import Response
from tests.utils.caller_server import StubHandler, run_served
from tests.utils.entry_hosts import Deployment, run_deployed
from tests.utils.metadata_store import configuration
from tests.utils.waiting import until
from tests.utils.watched_host import SITE, Scene, watched_host

_BODY_BYTES = 4_194_304
# Below one body.
_LEFT_BYTES = 1_000_000
# Two of them exceed the memory of the smallest machine.
_LONG_BYTES = 60_000_000
# Below the limit of the deployment's configuration.
_POST_BYTES = 900_000
# Below the bytes at which a reader stops to read.
_UNREAD_BYTES = 60_000
_TEST_TIMEOUT_S = 180


@contextmanager
def uncollected() -> Iterator[None]:
    """Trace allocations, and keep the garbage collector from hiding a retained one."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


def traced_bytes() -> int:
    """Return the memory that is allocated now."""
    return tracemalloc.get_traced_memory()[0]


class TestResponses:
    """Guard against responses that outlive their release from the memory account."""

    @pytest.mark.parametrize('end', ('leaves', 'stalls', 'is_evicted', 'host_stops'))
    def test_response_is_freed_with_its_connection(self, end):
        async def work(scene):
            client = await scene.connect(receive_bytes=4096)
            before_bytes = traced_bytes()
            await client.request('/book')
            exchange = (await scene.handled(1))[0]
            exchange.respond(Response(200, [], bytearray(_BODY_BYTES)))
            assert scene.account.held_bytes > _BODY_BYTES
            if end == 'leaves':
                client.close()
            elif end == 'stalls':
                await scene.pass_time(20)
            elif end == 'is_evicted':
                exchange.response_reservation.on_evict()
            else:
                await scene.server.close(0)
            await until(lambda: not scene.context.connections)
            assert traced_bytes() - before_bytes < _LEFT_BYTES

        with uncollected():
            run_served(work)


class TestFailedWrites:
    """Guard against responses that the error of a failed write keeps in memory."""

    def test_error_does_not_keep_the_response(self, monkeypatch):
        errors = []
        lose = CallerConnection.connection_lost

        def keep_error(connection, error):
            errors.append(error)
            lose(connection, error)

        async def work(scene):
            client = await scene.connect()
            before_bytes = traced_bytes()
            await client.request('/book')
            exchange = (await scene.handled(1))[0]
            client.reset()
            # The event loop has not noticed the reset.
            exchange.respond(Response(200, [], bytearray(_BODY_BYTES)))
            await until(lambda: not scene.context.connections)
            assert traced_bytes() - before_bytes < _LEFT_BYTES
            assert isinstance(errors[0], ConnectionResetError)

        monkeypatch.setattr(CallerConnection, 'connection_lost', keep_error)
        with uncollected():
            run_served(work)


class TestMalformedRequests:
    """Guard against unread bytes that the parser's error keeps in memory."""

    @pytest.mark.parametrize(
        'malformed',
        (
            b'no request\r\n\r\n',
            b'GET / HTTP/1.1\r\nno field\r\n\r\n',
            b'GET / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n',
            b'GET / HTTP/1.1\r\n\r\n',
        ),
        ids=('line', 'field', 'length', 'no_host'),
    )
    def test_unread_bytes_are_freed(self, malformed):
        async def work(scene):
            client = await scene.connect()
            await client.request('/book')
            exchange = (await scene.handled(1))[0]
            full_bytes = scene.account.held_bytes + _UNREAD_BYTES
            await client.send(malformed + bytes(_UNREAD_BYTES))
            await until(lambda: scene.account.held_bytes > full_bytes)
            assert traced_body_bytes('request_reader') > _UNREAD_BYTES
            exchange.respond(Response(200, [], b''))
            assert await client.status() == 200
            assert await client.status() == 400
            client.close()
            await until(lambda: not scene.context.connections)
            assert traced_body_bytes('request_reader') < _UNREAD_BYTES / 2

        with uncollected():
            run_served(work)


def traced_body_bytes(module: str = 'request_intake') -> int:
    """Return the memory that the bodies take which the module receives."""
    bodies = tracemalloc.Filter(inclusive=True, filename_pattern=f'*{module}.py')
    found = tracemalloc.take_snapshot().filter_traces((bodies,))
    return sum(trace.size for trace in found.statistics('filename'))


async def post(deployment: Deployment, path: str, *, is_left: bool) -> None:
    """Send a request with a body; read its response or leave before."""
    address = deployment.hosts[0].callers
    reader, writer = await asyncio.open_connection(address.host_ip, address.port)
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {SITE}',
        'Attempt-Id: posted',
        'Authorization: Bearer key-1',
        'Deadline-Ms: 1000',
        f'Content-Length: {_POST_BYTES}',
    )
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + bytes(_POST_BYTES))
    if is_left:
        await until(lambda: deployment.runs)
    else:
        assert await reader.read(1)
    writer.transport.abort()


class TestRequestBodies:
    """Guard against request bodies that outlive their release from the account."""

    @pytest.mark.parametrize(
        ('path', 'faults'),
        (
            ('/look/1', ()),
            ('/look/1', ('reset', 'reset')),
            ('/look/1', ('silent', 'silent')),
            ('/book/1', ('noise',)),
        ),
        ids=('answered', 'reset', 'silent', 'garbled'),
    )
    def test_body_is_freed_with_its_request(self, path, faults):
        async def work(deployment: Deployment) -> None:
            deployment.workers['i-0'].script.extend(faults)
            with uncollected():
                await post(deployment, path, is_left=False)
                await check_bodies(deployment)

        run_deployed(work)

    def test_body_is_freed_when_its_caller_leaves(self):
        async def work(deployment: Deployment) -> None:
            deployment.workers['i-0'].work_s = _TEST_TIMEOUT_S
            with uncollected():
                await post(deployment, '/look/1', is_left=True)
                await check_bodies(deployment)

        run_deployed(work)


async def check_bodies(deployment: Deployment) -> None:
    """Check that the memory of request bodies is free as the account tells."""
    held = deployment.find('state').account.held_by_kind
    await until(lambda: not held()['request_body'])
    # The task of the request ends a few passes of the event loop later.
    await anyio.sleep(0.1)
    assert traced_body_bytes() < _POST_BYTES / 2


async def configure_attempts(deployment: Deployment, max_attempts: int) -> None:
    """Let the hosts send a request of the route `look` that many times."""
    spec = configuration(2)
    columns = spec['routes']['columns']
    for route in spec['routes']['rows']:
        route[columns.index('max_attempts')] = max_attempts
    deployment.store.put('config', 'main', spec)
    policy = deployment.find('policy')
    await until(lambda: policy.find_route(SITE, '/look/1').max_attempts == max_attempts)


def run_kept(faults: tuple[str, ...], work) -> None:
    """Run the work beside a safe request whose attempts meet these faults in turn."""
    script = list(faults)

    async def run(deployment: Deployment) -> None:
        await configure_attempts(deployment, len(faults))
        for worker in deployment.workers.values():
            worker.body = bytes(_BODY_BYTES)
            worker.script = script
        with uncollected():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(partial(deployment.call, '/look/1', deadline_ms=9000))
                await work(deployment.find('state').account, script)
                tasks.cancel_scope.cancel()

    run_deployed(run, workers=len(faults))


@contextmanager
def filled(account: MemoryAccount) -> Iterator[None]:
    """Let others with little each take what large holders of the account have."""
    others: list[Reservation] = []
    while account.held_by_kind()['response'] > _LEFT_BYTES:
        others.append(account.open('other', Owner(f'other-{len(others)}')))
        assert others[-1].grow(_LEFT_BYTES)
    yield
    for other in others:
        other.close()


class EvictingScript(UserList[str]):
    """Evict the kept server error before the second server refuses the request."""

    def __init__(self, account: MemoryAccount) -> None:
        super().__init__(('fail', 'shed'))
        self._account = account

    def pop(self, position: int = -1) -> str:
        if len(self) == 1:
            assert self._account.held_bytes > _BODY_BYTES
            with filled(self._account):
                assert self._account.held_bytes > _LEFT_BYTES
        return super().pop(position)


class TestKeptResponses:
    """Guard against a server error that is kept beside the account for its caller."""

    def test_kept_response_is_freed_with_its_reservation(self):
        async def evict(account: MemoryAccount, script: list[str]) -> None:
            await until(lambda: account.held_bytes > 2 * _BODY_BYTES)
            with filled(account):
                assert account.held_by_kind()['response'] < _LEFT_BYTES
            await until(lambda: not script)
            assert traced_body_bytes('response_reader') < _LEFT_BYTES

        run_kept(('fail', 'fail_open', 'silent'), evict)

    def test_replaced_response_is_not_reserved(self):
        async def compare(account: MemoryAccount, script: list[str]) -> None:
            await until(lambda: not script)
            taken_bytes = traced_body_bytes('response_reader')
            assert _BODY_BYTES <= taken_bytes < _BODY_BYTES + _LEFT_BYTES
            held_bytes = account.held_by_kind()['response']
            assert _BODY_BYTES <= held_bytes < _BODY_BYTES + _LEFT_BYTES

        run_kept(('fail', 'fail', 'silent'), compare)

    def test_caller_learns_that_an_evicted_request_may_have_run(self):
        async def work(deployment: Deployment) -> None:
            script = EvictingScript(deployment.find('state').account)
            for worker in deployment.workers.values():
                worker.body = bytes(_BODY_BYTES)
                worker.script = script
            answer = await deployment.call('/look/1')
            assert not script
            assert (answer.status_code, answer.json()['run']) == (502, 'unknown')

        run_deployed(work, workers=2)

    def test_kept_response_is_returned_if_the_next_attempt_fails(self):
        async def work(deployment: Deployment) -> None:
            script = ['fail', 'reset']
            for worker in deployment.workers.values():
                worker.body = bytes(_BODY_BYTES)
                worker.script = script
            answer = await deployment.call('/look/1')
            assert (answer.status_code, len(answer.content)) == (500, _BODY_BYTES)
            account = deployment.find('state').account
            await until(lambda: not account.held_by_kind()['response'])

        run_deployed(work, workers=2)


async def leave_within_response(scene: Scene) -> None:
    """Ask for a long response, take its first bytes and reset the connection."""
    host_ip, _, port = scene.host.addresses['callers'].rpartition(':')
    reader, writer = await asyncio.open_connection(host_ip, int(port), limit=4096)
    lines = (
        f'GET /fetch/{_LONG_BYTES} HTTP/1.1',
        f'Host: {SITE}',
        'Authorization: Bearer key-clinic',
        f'Attempt-Id: {scene.crowd.next_attempt()}',
        'Deadline-Ms: 60000',
    )
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
    await reader.readexactly(1)
    writer.transport.abort()


class TestHostProcess:
    """Guard against a host that ends because of callers which have left."""

    def test_callers_that_leave_in_sequence_do_not_exceed_the_memory(self, tmp_path):
        async def main() -> None:
            with anyio.fail_after(_TEST_TIMEOUT_S):
                async with watched_host(
                    tmp_path, memory_mb=152, max_descriptors=400
                ) as scene:
                    for _ in range(8):
                        await leave_within_response(scene)
                    assert await scene.faults() == []

        anyio.run(main)


def forget(handler: StubHandler) -> None:
    """Drop the requests that the handler has recorded, apart from their number."""
    handler.handled.clear()
    handler.ended = [None for _ in handler.ended]


class TestEndedConnections:
    """Guard against ended connections that only the garbage collector frees."""

    @pytest.mark.parametrize(
        ('sent', 'end'),
        (
            (b'', 'close'),
            (b'', 'reset'),
            (b'GET /now HTTP/1.1\r\nHost: a\r\n\r\n', 'close'),
            (b'GET /now HTTP/1.1\r\nHost: a\r\n\r\n', 'stop'),
            (b'GET /book HTTP/1.1\r\nHost: a\r\n\r\n', 'close'),
            (b'GET /book HTTP/1.1\r\nHost: a\r\n\r\n', 'stop'),
            (b'POST /book HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1', 'reset'),
            (b'no request\r\n\r\n', 'close'),
        ),
        ids=(
            'idle_closed',
            'idle_reset',
            'answered_closed',
            'answered_stopped',
            'running_closed',
            'running_stopped',
            'body_reset',
            'malformed',
        ),
    )
    def test_connection_is_freed_at_its_end(self, sent, end):
        async def work(scene):
            client = await scene.connect()
            connection = weakref.ref(scene.context.connections[0])
            await client.send(sent)
            await anyio.sleep(0.1)
            if end == 'stop':
                await scene.server.close(0)
            else:
                getattr(client, end)()
            await until(lambda: not scene.context.connections)
            forget(scene.handler)
            await until(lambda: connection() is None, 5)

        with uncollected():
            run_served(work)
