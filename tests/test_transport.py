"""Test requests to peers that do not answer, and cancelled pynng operations."""

import asyncio

import anyio
import pynng
import pytest

from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.kernel import Kernel
from cicadadoor.links.messages import MAX_MESSAGE_BYTES, Ack, Codec, Refusal
from cicadadoor.links.peer_limits import PeerLimits
from cicadadoor.links.transport import (
    MessageStamp,
    PeerClient,
    PeerSecurity,
    PeerServer,
    wait_for_operation,
)
from cicadadoor.settings import Address
from tests.utils.processes import Ports


async def with_silent_peer(use):
    """Call `use` with a client of a peer that accepts requests and never answers."""
    address = Address('127.0.0.1', Ports.free())
    kernel = Kernel()

    async def never_answer(message):
        await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        kernel._tasks = tasks
        server = PeerServer(MessageStamp('server'), {Ack: never_answer}, PeerSecurity())
        server.start(kernel, address)
        client = PeerClient(
            MessageStamp('client'),
            Codec(Ack),
            str(address),
            PeerSecurity(),
        )
        await use(kernel, client)
        client.close()
        server.close()
        tasks.cancel_scope.cancel()


class TestSilentPeer:
    """Guard against a paused peer that ends the requesting process."""

    @pytest.mark.parametrize('is_spawned', [False, True])
    def test_timeout_is_a_failure(self, is_spawned):
        """An exception that escapes from a spawned task stops the whole daemon."""
        answers = []

        async def use(kernel, client):
            async def ask():
                answers.append(await client.request(Ack(), 0.2))

            if is_spawned:
                kernel.spawn(ask)
                await anyio.sleep(0.5)
            else:
                await ask()

        anyio.run(with_silent_peer, use)
        assert isinstance(answers[0], Failure)
        assert answers[0].kind is ErrorKind.OUTCOME_UNKNOWN

    def test_cancelled_request_ends_its_scope_only(self):
        """A caller that disconnects must not end the task that serves others."""
        reached = []

        async def use(kernel, client):
            with anyio.move_on_after(0.2):
                await client.request(Ack(), 30)
            reached.append(True)

        anyio.run(with_silent_peer, use)
        assert reached


async def with_limited_server(limits: PeerLimits, use) -> None:
    """Call `use` with the address of a server that repeats each reason."""
    address = Address('127.0.0.1', Ports.free())
    kernel = Kernel()

    async def repeat(message):
        return Refusal(kind='internal', reason=message.reason * 2)

    async with anyio.create_task_group() as tasks:
        kernel._tasks = tasks
        server = PeerServer(
            MessageStamp('server'), {Refusal: repeat}, PeerSecurity(), limits
        )
        server.start(kernel, address)
        await use(str(address))
        server.close()
        tasks.cancel_scope.cancel()


def client_of(address: str) -> PeerClient:
    return PeerClient(MessageStamp('client'), Codec(Refusal), address, PeerSecurity())


def request_of(size_bytes: int) -> Refusal:
    return Refusal(kind='internal', reason='a' * size_bytes)


class TestPeerLimits:
    """Guard against peers for which a host holds more than it can."""

    def test_request_over_the_limit_is_not_read(self):
        async def use(address: str) -> None:
            client = client_of(address)
            short = await client.request(request_of(10), 30)
            assert short.reason == 'a' * 20
            long = await client.request(request_of(5000), 1)
            assert long.kind is not ErrorKind.INTERNAL
            assert len(long.reason) < 100
            client.close()

        anyio.run(with_limited_server, PeerLimits(request_bytes=4096), use)

    def test_answer_over_the_limit_is_refused_with_a_reason(self):
        """The peer used to close the connection, and to wait for its time-out."""

        async def use(address: str) -> None:
            client = client_of(address)
            size_bytes = MAX_MESSAGE_BYTES // 2 + 1
            answer = await client.request(request_of(size_bytes), 30)
            assert answer.kind is ErrorKind.MESSAGE_INVALID
            assert 'exceeds' in answer.reason
            client.close()

        anyio.run(with_limited_server, PeerLimits(), use)

    def test_peers_beyond_the_limit_are_not_connected(self):
        async def use(address: str) -> None:
            clients = [client_of(address) for _ in range(2)]
            for client in clients:
                answer = await client.request(request_of(1), 30)
                assert answer.reason == 'aa'
            surplus = client_of(address)
            refused = await surplus.request(request_of(1), 0.5)
            assert refused.reason != 'aa'
            clients.pop().close()
            # It is connected once another peer has gone.
            with anyio.fail_after(30):
                while (await surplus.request(request_of(1), 1)).reason != 'aa':
                    await anyio.sleep(0.05)
            for client in (surplus, *clients):
                client.close()

        anyio.run(with_limited_server, PeerLimits(connections=2), use)


async def _cancelled_by_library() -> None:
    raise asyncio.CancelledError


class TestWaitForOperation:
    """Guard against a lost connection that stops the whole daemon."""

    def test_cancellation_by_the_library_is_an_error_of_the_link(self):
        """A CancelledError without a cancelled scope used to end the whole agent."""

        async def work() -> None:
            async with anyio.create_task_group():
                with pytest.raises(pynng.Canceled):
                    await wait_for_operation(_cancelled_by_library())
                await anyio.sleep(0)

        anyio.run(work)

    def test_deadline_ends_the_wait_and_nothing_else(self):
        """A connected but silent peer used to end the agents of all other hosts."""

        async def work() -> None:
            with pynng.Pair0(listen=f'tcp://{Ports.address()}') as silent:
                with anyio.move_on_after(0.01) as scope:
                    await wait_for_operation(silent.arecv())
            assert scope.cancelled_caught

        anyio.run(work)
