"""Test that a status outside 100..599, and a protocol switch, reach no caller."""

import anyio
import pytest

from cicadadoor.cli.client import withdraw
from cicadadoor.decisions.retries import is_repeatable
from cicadadoor.errors import ERROR_RESPONSES, ErrorKind, Executed, Failure
from cicadadoor.gate.peer_forwarding import PeerForwarder
from cicadadoor.gate.state import GateState
from cicadadoor.links.forward_messages import ForwardAnswer, ForwardRequest
from cicadadoor.links.messages import GateInfo
from cicadadoor.object_store.base import StoredObject
from cicadadoor.object_store.http import HttpObjectStore
from cicadadoor.platform.answers import Metadata, StoreObject
from cicadadoor.platform.store_client import StoreClient
from cicadadoor.timer import BootTimer
from tests.test_forwarding import VIEW, RawServer, make_request, run_exchange
from tests.utils.entry_hosts import run_deployed
from tests.utils.gates import FakeHub, FakeKernel, FakeNetwork, GateUnderTest, Settings
from tests.utils.raw_server import serving

# HTTP parsers reject those below 100 and accept those from 600 on.
STATUSES = ('000', '001', '099', '101', '600', '777', '999')


class TestEntryHosts:
    """Guard against an invalid status that an entry host passes on."""

    @pytest.mark.parametrize(
        'fault', (*(f'status_{status}' for status in STATUSES), 'signed_interim')
    )
    def test_caller_is_told_that_the_answer_was_invalid(self, fault):
        async def work(deployment):
            deployment.workers['i-0'].script = [fault]
            answer = await deployment.call('/book/1', method='POST')
            assert answer.status_code == 502
            assert answer.json() == {'error': 'answer_invalid', 'run': 'unknown'}
            assert deployment.runs == 1

        run_deployed(work)

    @pytest.mark.parametrize('status', STATUSES)
    def test_safe_requests_are_served_by_the_other_worker(self, status):
        """Fails if the answers are passed on."""

        async def work(deployment):
            bad = deployment.workers['i-0']
            bad.script = [f'status_{status}' for _ in range(20)]
            for number in range(10):
                answer = await deployment.call(
                    '/look/1', Cookie=f'Affinity-Key={number}'
                )
                assert answer.status_code == 200
                assert answer.content == b'i-1'
            assert bad.arrivals

        run_deployed(work, workers=2)


class TestGates:
    """Guard against an invalid status that a gate passes on."""

    @pytest.mark.parametrize('status', STATUSES)
    def test_answer_of_a_backend_server_is_a_failure(self, status):
        """Fails if it is passed on, is not retried, or does not count as bad."""
        head = f'HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n'
        server = RawServer(head.encode())

        async def use(forward):
            failure = await forward(make_request())
            assert failure.run is Executed.UNKNOWN
            assert ERROR_RESPONSES[failure.kind].status == 502
            assert is_repeatable(failure.kind, failure.run, is_idempotent=True)
            is_parsed = status >= '600'
            assert (failure.kind is ErrorKind.ANSWER_INVALID) is is_parsed

        run_exchange(server, use)

    def test_backend_server_with_invalid_answers_is_ejected(self):
        async def main() -> None:
            settings = Settings('own', 'muenchen', 'muenchen-1')
            gate = GateUnderTest(BootTimer(), FakeNetwork(), settings, VIEW)
            await gate.start()
            failure = Failure(ErrorKind.ANSWER_INVALID, 'status 600')
            for _ in range(10):
                gate.servers.record_result('kb-1', failure, 0.01)
            ejected = gate.servers.ejection.ejected(('kb-1', 'kb-2', 'kb-3'))
            assert ejected == {'kb-1'}

        anyio.run(main)

    @pytest.mark.parametrize('status', (0, 99, 101, 600, 999))
    def test_answer_of_another_gate_is_a_failure(self, status):
        async def answer(message) -> ForwardAnswer:
            return ForwardAnswer(status=status, run='yes')

        async def main() -> None:
            network = FakeNetwork()
            FakeHub(network, 'other', 'peer').on(ForwardRequest, answer)
            kernel = FakeKernel()
            state = GateState(Settings('own', 'muenchen', 'muenchen-1'))
            for service in (BootTimer(), state, FakeHub(network, 'own', 'own')):
                kernel.register(service)
            forwarder = PeerForwarder()
            await forwarder.start(kernel)
            gate = GateInfo(
                host='muenchen-1-1',
                instance='other',
                callers_url='http://peer',
                peer_address='peer',
                failure_domain='muenchen-1',
                region='muenchen',
            )
            failure = await forwarder.forward(make_request(), gate)
            assert failure.kind is ErrorKind.OUTCOME_UNKNOWN

        anyio.run(main)


async def write_store(address: str) -> Failure:
    """Replace an object of the metadata store."""
    client = StoreClient(address)
    answer = await client.replace('hosts', StoreObject(metadata=Metadata(name='a')))
    await client.close()
    return answer


async def write_object_store(address: str) -> Failure:
    """Create an object of the object store."""
    client = HttpObjectStore(f'http://{address}')
    answer = await client.create(StoredObject(kind='hosts', name='a', body=b''))
    await client.close()
    return answer


async def read_store(address: str) -> Failure:
    """Read an object of the metadata store."""
    client = StoreClient(address)
    answer = await client.get('hosts', 'a')
    await client.close()
    return answer


async def watch_object_store(address: str) -> Failure:
    """Return the first item of a watch."""
    client = HttpObjectStore(f'http://{address}')
    answers = [each async for each in client.watch('hosts', 1)]
    await client.close()
    return answers[0]


async def order(address: str) -> Failure:
    """Send an operator's order to an agent."""
    return await withdraw(f'http://{address}', 'hash')


class TestClients:
    """Guard against an invalid status that is taken for success or a refusal."""

    @pytest.mark.parametrize('status', STATUSES)
    @pytest.mark.parametrize(
        ('ask', 'kind'),
        (
            (write_store, ErrorKind.STORE_OUTCOME_UNKNOWN),
            (write_object_store, ErrorKind.STORE_OUTCOME_UNKNOWN),
            (read_store, ErrorKind.STORE_UNAVAILABLE),
            (watch_object_store, ErrorKind.STORE_UNAVAILABLE),
            (order, ErrorKind.PEER_UNREACHABLE),
        ),
    )
    def test_invalid_status_leaves_the_outcome_open(self, status, ask, kind):
        failures = []

        async def handle(request, connection) -> None:
            await connection.answer(status, body=b'{"metadata":{"name":"a"}}')

        async def main() -> None:
            async with serving(handle) as server:
                failures.append(await ask(server.address))

        anyio.run(main)
        assert failures[0].kind is kind
