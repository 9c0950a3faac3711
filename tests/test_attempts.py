"""Test retries, streamed responses and quarantine against fake backend servers."""

import anyio
import pytest

from cicadadoor.decisions.balancing import Candidate, ServerLoad
from cicadadoor.decisions.retries import MAX_ATTEMPTS
from cicadadoor.errors import ERROR_RESPONSES, ErrorKind, Executed, Failure
from cicadadoor.gate.attempts import AttemptRunner
from cicadadoor.gate.quarantine import Quarantine
from cicadadoor.gate.request import SteeredResponse
from cicadadoor.gate.routing import Target
from cicadadoor.gate.state import GateState
from cicadadoor.links.messages import Ack
from tests.test_forwarding import make_request
from tests.test_keyed_once import StubService
from tests.utils.deployments import small_deployment
from tests.utils.gates import FakeKernel, FakeLink, Settings, view_of
from tests.utils.manual_timer import ManualTimer

DOMAIN = 'muenchen-1'


class ScriptedBackends:
    """Simulate queue and forwarder with scripted answers; record the servers used."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.servers = []
        self.taken = 0
        self.unusable = set()

    def usable(self, service):
        """Return the servers that are not marked unusable."""
        return [
            Candidate(server.name, server.slots, ServerLoad())
            for server in service.backend_servers
            if server.name not in self.unusable
        ]

    def record_leaving(self, server, evidence):
        """Mark the server unusable."""
        self.unusable.add(server)

    async def acquire(self, request, avoid, *, is_local_only=False):
        """Return the first usable server that is not avoided."""
        for server in request.service.backend_servers:
            if server.name not in self.unusable.union(avoid):
                self.taken += 1
                return Target(server=server)
        return Failure(ErrorKind.NO_BACKEND_SERVER, 'none is left')

    def release(self, target, answer, took_s):
        """Count the released target."""
        self.taken -= 1

    async def forward(self, request, server):
        """Return the next scripted answer."""
        self.servers.append(server.name)
        return self.answers.pop(0)


class AttemptsHarness:
    """Run attempts against scripted backend servers."""

    def __init__(self, *answers) -> None:
        self.backends = ScriptedBackends(*answers)
        self.timer = ManualTimer()
        self.kernel = FakeKernel()
        self.state = GateState(Settings('host', 'muenchen', DOMAIN))
        self.quarantine = Quarantine()
        self.attempts = AttemptRunner()
        deployment = small_deployment({DOMAIN: ('muenchen', 1)})
        for number in range(4):
            deployment.backend_server(
                'kursbuchung',
                f'kb-{number}',
                url='http://127.0.0.1:9',
                failure_domain=DOMAIN,
                slots=1,
                connections=1,
            )
        self.service = view_of(deployment).services['kursbuchung']

    async def start(self):
        """Start the services under test."""
        backends = self.backends
        services = (
            self.timer,
            self.state,
            FakeLink(),
            StubService('peers', on=lambda *types: None),
            StubService('directory', in_domain=lambda name: []),
            StubService(
                'keys',
                is_withdrawn=lambda key: False,
                abort_on_withdrawal=lambda request, answer: None,
            ),
            StubService(
                'servers',
                usable=backends.usable,
                record_leaving=backends.record_leaving,
            ),
            StubService('queue', acquire=backends.acquire, release=backends.release),
            StubService('forwarder', forward=backends.forward),
            StubService('peer_forwarder'),
            self.quarantine,
            self.attempts,
        )
        for service in services:
            self.kernel.register(service)
        await self.quarantine.start(self.kernel)
        await self.attempts.start(self.kernel)
        return self

    def request(self, method='POST'):
        """Build a request with a deadline on the manual clock."""
        request = make_request(method)
        request.service = self.service
        request.deadline_s = self.timer.now_s() + 10
        return request


@pytest.fixture
def servers_refuse_connections(monkeypatch):
    """Make each server whose connection breaks refuse new connections."""

    async def has_crashed(server):
        return True

    monkeypatch.setattr('cicadadoor.gate.quarantine._has_crashed', has_crashed)


def complete_answer():
    """Return a buffered response."""
    return SteeredResponse(status=200, headers=[], body=b'booked')


class TestRetries:
    """Guard against a second execution, and a refusal that hides the first one."""

    @pytest.mark.parametrize('method', ['GET', 'POST'])
    @pytest.mark.parametrize('kind', list(ErrorKind))
    def test_retry_after_each_error_kind(self, kind, method):
        """A retry goes to another server, and only if the failure allows it."""

        async def scenario():
            harness = await AttemptsHarness(
                Failure(kind, 'scripted'), complete_answer()
            ).start()
            answer = await harness.attempts.run(harness.request(method))
            if isinstance(answer, Failure):
                assert (answer.kind, harness.backends.servers) == (kind, ['kb-0'])
            else:
                assert harness.backends.servers == ['kb-0', 'kb-1']
                assert method == 'GET' or ERROR_RESPONSES[kind].run is Executed.NO
            assert harness.backends.taken == 0

        anyio.run(scenario)

    def test_refused_retry_does_not_hide_an_unknown_outcome(self):
        """`run=no` of a retry must not replace `run=unknown` of the first attempt."""

        async def scenario():
            failures = [Failure(ErrorKind.OUTCOME_UNKNOWN, 'broken')]
            shed = Failure(ErrorKind.BACKEND_SHED, 'shed')
            failures.extend(shed for _ in range(MAX_ATTEMPTS))
            harness = await AttemptsHarness(*failures).start()
            answer = await harness.attempts.run(harness.request('GET'))
            assert answer.run is Executed.UNKNOWN
            assert len(harness.backends.servers) == MAX_ATTEMPTS

        anyio.run(scenario)


class TestHeldStreams:
    """Guard against a slot that is released while its response is still read."""

    @pytest.mark.parametrize(
        ('method', 'expected_chunks'), [('GET', []), ('POST', [0, 1, 2])]
    )
    def test_slot_is_held_until_the_end(self, method, expected_chunks):
        """A non-idempotent response is read to its end after its reader left."""

        async def scenario():
            chunks_read = []

            async def stream():
                for number in range(3):
                    chunks_read.append(number)
                    yield b'x'

            streamed = SteeredResponse(status=200, headers=[], stream=stream())
            harness = await AttemptsHarness(streamed).start()
            answer = await harness.attempts.run(harness.request(method))
            assert (harness.backends.taken, harness.state.in_flight) == (1, 1)
            await answer.close()
            await answer.close()
            await harness.kernel.run_spawned()
            assert (harness.backends.taken, harness.state.in_flight) == (0, 0)
            assert chunks_read == expected_chunks

        anyio.run(scenario)


class TestSuspects:
    """Guard against quarantine of a request that never ran alone, and a third crash."""

    @pytest.mark.parametrize('crashes_server', [False, True])
    def test_suspect_runs_alone(self, crashes_server, servers_refuse_connections):
        """A request in flight at two crashes is a suspect; a run alone decides."""
        broken = Failure(ErrorKind.OUTCOME_UNKNOWN, 'broken')

        async def scenario():
            last = broken if crashes_server else complete_answer()
            harness = await AttemptsHarness(
                broken, broken, last, complete_answer()
            ).start()
            answers = [await harness.attempts.run(harness.request('GET'))]
            assert harness.backends.servers == ['kb-0', 'kb-1']
            harness.timer.jump(3)
            answers.append(await harness.attempts.run(harness.request('GET')))
            answers.append(await harness.attempts.run(harness.request('GET')))
            assert not harness.quarantine.reserved()
            if crashes_server:
                assert answers[1].run is Executed.UNKNOWN
                assert answers[2].kind is ErrorKind.QUARANTINED
                assert len(harness.backends.servers) == 3
            else:
                assert answers[1].body == answers[2].body == b'booked'

        anyio.run(scenario)

    def test_suspect_is_not_refused_while_a_server_is_usable(
        self, servers_refuse_connections
    ):
        """A suspect must run at a usable server.

        Routing refuses servers that are leaving or ejected.
        """
        broken = Failure(ErrorKind.OUTCOME_UNKNOWN, 'broken')

        async def scenario():
            harness = await AttemptsHarness(broken, broken, complete_answer()).start()
            await harness.attempts.run(harness.request('GET'))
            assert harness.backends.servers == ['kb-0', 'kb-1']
            harness.backends.unusable.add('kb-2')
            answer = await harness.attempts.run(harness.request('GET'))
            assert harness.backends.servers[2:] == ['kb-3']
            assert answer.body == b'booked'

        anyio.run(scenario)

    def test_suspect_is_not_sent_to_a_crashed_server(self, servers_refuse_connections):
        """A suspect must not be sent to a server that crashed some time ago."""
        broken = Failure(ErrorKind.OUTCOME_UNKNOWN, 'broken')

        async def scenario():
            harness = await AttemptsHarness(broken, broken, complete_answer()).start()
            await harness.attempts.run(harness.request('GET'))
            harness.timer.jump(3)
            await harness.attempts.run(harness.request('GET'))
            assert harness.backends.servers == ['kb-0', 'kb-1', 'kb-2']

        anyio.run(scenario)

    def test_suspect_is_refused_without_a_usable_server(
        self, servers_refuse_connections
    ):
        """The refusal releases its reservation and says that nothing ran."""
        broken = Failure(ErrorKind.OUTCOME_UNKNOWN, 'broken')

        async def scenario():
            harness = await AttemptsHarness(broken, broken, complete_answer()).start()
            await harness.attempts.run(harness.request('GET'))
            harness.backends.unusable = {f'kb-{number}' for number in range(4)}
            refused = await harness.attempts.run(harness.request('GET'))
            assert refused.run is Executed.NO
            assert len(harness.backends.servers) == 2
            assert not harness.quarantine.reserved()
            harness.backends.unusable = set()
            assert (
                await harness.attempts.run(harness.request('GET'))
            ).body == b'booked'

        anyio.run(scenario)

    def test_suspect_waits_for_all_gates(self, servers_refuse_connections):
        """Unless all gates agree, a request of another gate could cause the crash."""
        broken = Failure(ErrorKind.OUTCOME_UNKNOWN, 'broken')

        async def scenario():
            harness = await AttemptsHarness(broken, broken, complete_answer()).start()
            await harness.attempts.run(harness.request('GET'))
            harness.timer.jump(3)
            other = StubService('other', instance='other', peer_address='other')
            harness.kernel.find('directory').in_domain = lambda name: [other]
            answers = [Failure(ErrorKind.PEER_UNREACHABLE, 'unreachable'), Ack()]

            async def ask(address, message, timeout_s):
                return answers.pop(0) if message.hold_s else Ack()

            harness.kernel.find('peers').ask = ask
            refused = await harness.attempts.run(harness.request('GET'))
            assert refused.kind is ErrorKind.QUARANTINED
            assert refused.run is Executed.NO
            assert len(harness.backends.servers) == 2
            assert (
                await harness.attempts.run(harness.request('GET'))
            ).body == b'booked'

        anyio.run(scenario)
