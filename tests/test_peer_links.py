"""Test that peer links reject unauthenticated peers and malformed messages."""

import anyio
import msgspec
import pynng
import pytest

from cicadadoor.agent.sync import ConfigSync
from cicadadoor.config import chunks, splices
from cicadadoor.config.acceptance import SectionChange
from cicadadoor.errors import Failure
from cicadadoor.ids import digest_of
from cicadadoor.kernel import Kernel
from cicadadoor.links.config_messages import ConfigDelta, PullConfig, PushConfig
from cicadadoor.links.config_parts import Generation
from cicadadoor.links.messages import MAX_MESSAGE_BYTES, Ack, Section, encode
from cicadadoor.links.packing import pack, unpack
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.links.transport import MessageStamp, PeerSecurity
from cicadadoor.object_store.base import MAX_OBJECT_BYTES
from cicadadoor.settings import parse_address
from tests.utils.certificates import Authority
from tests.utils.deployments import small_deployment
from tests.utils.manual_timer import ManualTimer
from tests.utils.processes import Ports

TIMEOUT_S = 2.0
OWN_CA = Authority('ours')
FOREIGN_CA = Authority('theirs')


def first_generation() -> Generation:
    """Return the initial generation."""
    sections = chunks.split(small_deployment({'m-1': ('m', 1)}).build())
    return Generation(1, chunks.digests(sections), sections)


def next_push(current: Generation, text: bytes) -> PushConfig:
    """Return a well-formed push of the next generation."""
    before = current.contents['services']
    digests = {**current.section_digests, 'services': digest_of(text)}
    change = SectionChange(digest_of(text), splices.make(before, text))
    delta = ConfigDelta(
        generation=current.number + 1,
        digest=chunks.digest_sections(digests),
        changes={'services': change},
    )
    return PushConfig(delta=delta, from_address='127.0.0.1:1', forward_to=[])


class Server:
    """Run the listener of an agent, with the configuration that it updates."""

    def __init__(self) -> None:
        self.address = Ports.address()
        self.hub = PeerHub('server', parse_address(self.address), OWN_CA.security())
        self.sync = ConfigSync()
        self.received_pushes = 0

    async def receive_push(self, push: PushConfig):
        """Apply a push in the same way as the relay."""
        self.received_pushes += 1
        await self.sync.apply(push.delta)
        return Ack()


def with_server(scenario) -> None:
    """Run a scenario against a listening server."""
    server = Server()

    async def run() -> None:
        kernel = Kernel()
        timer = ManualTimer()
        server.hub.on(PushConfig, server.receive_push, Ack)
        kernel.register(timer)
        kernel.register(server.hub)
        server.sync._timer = timer
        await server.sync.adopt(first_generation())

        pending_scenarios = [scenario]

        async def run_scenario() -> None:
            # The kernel also waits for a second signal, which never arrives.
            if not pending_scenarios:
                await anyio.sleep_forever()
            await pending_scenarios.pop()(server)

        await kernel.run(run_scenario, 0.1)

    anyio.run(run)


async def ask(server: Server, security: PeerSecurity, message):
    """Send a request as another host with the given certificates."""
    hub = PeerHub('client', parse_address(Ports.address()), security)
    answer = await hub.ask(server.address, message, TIMEOUT_S)
    await hub.stop(0)
    return answer


async def send_raw(server: Server, encoded: bytes) -> bytes | None:
    """Send bytes with a valid certificate; None if there is no answer."""
    security = OWN_CA.security()
    socket = pynng.Req0(resend_time=-1, send_timeout=2000, recv_timeout=1000)
    security.apply(socket, server_address=server.address)
    socket.dial(security.url(server.address), block=True)
    try:
        await socket.asend(encoded)
        return await socket.arecv()
    except pynng.NNGException:
        return None
    finally:
        socket.close()


class TestCertificates:
    """Guard against an unauthenticated peer that reaches the port."""

    def test_host_of_this_deployment_is_served(self):
        """Without this check, the tests below would pass even if no peer was served."""

        async def scenario(server: Server) -> None:
            push = next_push(server.sync.generation, b'[]')
            assert isinstance(await ask(server, OWN_CA.security(), push), Ack)
            assert server.sync.number == 2

        with_server(scenario)

    @pytest.mark.parametrize(
        'kind', ('none', 'foreign', 'foreign_certificate_with_own_ca')
    )
    def test_unauthenticated_peers_change_nothing(self, kind):
        """A configuration from an unauthenticated peer would reach all hosts."""
        securities = {
            'none': PeerSecurity(),
            'foreign': FOREIGN_CA.security(),
            'foreign_certificate_with_own_ca': PeerSecurity(
                FOREIGN_CA.security().certificate_pem,
                OWN_CA.security().ca_pem,
            ),
        }

        async def scenario(server: Server) -> None:
            push = next_push(server.sync.generation, b'[]')
            answer = await ask(server, securities[kind], push)
            assert isinstance(answer, Failure)
            assert server.received_pushes == 0
            again = await ask(server, OWN_CA.security(), push)
            assert isinstance(again, Ack)

        with_server(scenario)


def encode_with_delta(push: PushConfig, **changes: object) -> bytes:
    """Return an encoded push whose delta is changed."""
    delta = msgspec.structs.replace(push.delta, **changes)
    return encode(msgspec.structs.replace(push, delta=delta))


class TestMessages:
    """Guard against truncated, oversized, forged or replayed messages."""

    @pytest.mark.parametrize(
        'corrupt',
        [
            lambda push: b'',
            lambda push: b'\xff\x00garbage',
            lambda push: encode(push)[:-5],
            lambda push: encode(PullConfig(generation=0)),
            lambda push: encode(push) + bytes(MAX_MESSAGE_BYTES),
            lambda push: encode_with_delta(push, digest='0' * 64),
            lambda push: encode_with_delta(push, generation=7),
            lambda push: encode_with_delta(push, generation=1),
            lambda push: encode_with_delta(push, removed=('topology',)),
            lambda push: encode_with_delta(
                push,
                changes={
                    'services': SectionChange(
                        digest_of(b'[]'),
                        splices.Splice(0, 0, b'[1]'),
                    ),
                },
            ),
        ],
    )
    def test_invalid_message_changes_nothing(self, corrupt):
        """An invalid message must neither be applied nor stop the listener."""

        async def scenario(server: Server) -> None:
            push = next_push(server.sync.generation, b'[]')
            before = server.sync.generation
            await send_raw(server, corrupt(push))
            assert server.sync.generation is before
            assert isinstance(await ask(server, OWN_CA.security(), push), Ack)
            assert server.sync.number == 2

        with_server(scenario)

    def test_replay_changes_nothing(self):
        """A replayed old message must not revert a newer generation."""

        async def scenario(server: Server) -> None:
            old = encode(
                MessageStamp('x').apply(next_push(server.sync.generation, b'[]'))
            )
            await send_raw(server, old)
            newer = next_push(server.sync.generation, b'[ ]')
            await ask(server, OWN_CA.security(), newer)
            current = server.sync.generation
            assert current.number == 3
            await send_raw(server, old)
            assert server.sync.generation is current

        with_server(scenario)

    def test_compressed_section_is_bounded(self):
        """A small message must not decompress to more than MAX_OBJECT_BYTES."""
        bomb = pack(bytes(MAX_OBJECT_BYTES + 1))
        assert isinstance(unpack(bomb), Failure)
        assert isinstance(unpack(pack(b'abc')[:-1]), Failure)
        assert isinstance(unpack(b'abc'), Failure)
        assert unpack(pack(b'abc')) == b'abc'
        assert Section('d', bomb).content == bomb
