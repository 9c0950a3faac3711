"""Test that a backend server gets no new requests once it is reported as leaving."""

import httpx
import pytest

from cicadadoor.decisions.leaving import STABLE_HEALTH_S, Evidence, LeavingTable
from cicadadoor.gate.forwarding import Forwarder
from cicadadoor.gate.probing import Prober
from cicadadoor.links.steering_messages import (
    BackendUpdate,
    HostState,
    LeavingNotice,
)
from tests.test_balancing import run_gate

SERVER = 'kb-m-1-0'


class TestLeavingTable:
    """Guard against use of a leaving server because of stale or weak evidence."""

    @pytest.mark.parametrize('evidence', list(Evidence))
    def test_any_source_suffices(self, evidence):
        table = LeavingTable()
        assert table.note('a', evidence, 1)
        assert table.is_leaving('a')
        assert not table.is_leaving('b')

    @pytest.mark.parametrize(
        'evidence',
        [Evidence.ANSWER, Evidence.SIBLING, Evidence.HOST_LIST, Evidence.OPERATOR],
    )
    def test_short_good_health_does_not_clear_the_evidence(self, evidence):
        table = LeavingTable()
        table.note('a', evidence, 0)
        for second in range(1, int(STABLE_HEALTH_S)):
            assert not table.note_good_health('a', second, second)
            assert table.is_leaving('a')

    def test_change_of_health_clears_the_evidence(self):
        table = LeavingTable()
        table.note('a', Evidence.ANSWER, 0)
        table.note('a', Evidence.HEALTH, 5)
        assert not table.note_good_health('a', 4, 6)
        assert table.note_good_health('a', 7, 7.1)
        assert not table.is_leaving('a')

    def test_good_probe_clears_a_refused_connection(self):
        table = LeavingTable()
        table.note('a', Evidence.REFUSED, 0)
        assert table.note_good_health('a', 1, 1.1)

    def test_required_health_time_doubles_with_each_new_report(self):
        table = LeavingTable()
        now_s = 0.0
        required_times_s = []
        for _ in range(3):
            table.note('a', Evidence.ANSWER, now_s)
            noted_s = now_s
            while table.is_leaving('a'):
                now_s += 2
                table.note_good_health('a', now_s, now_s)
            required_times_s.append(now_s - noted_s)
        assert required_times_s[0] >= STABLE_HEALTH_S
        assert required_times_s[1] > 1.9 * required_times_s[0] - 4
        assert required_times_s[2] > 1.9 * required_times_s[1] - 4

    def test_interrupted_good_health_starts_again(self):
        table = LeavingTable()
        table.note('a', Evidence.ANSWER, 0)
        table.note_good_health('a', 1, 1)
        table.note_failed_probe('a')
        table.note_good_health('a', STABLE_HEALTH_S, STABLE_HEALTH_S)
        assert not table.note_good_health('a', STABLE_HEALTH_S + 2, STABLE_HEALTH_S + 2)

    def test_older_list_entry_changes_nothing(self):
        table = LeavingTable()
        table.note_listed('a', 5, is_leaving=True, now_s=0)
        table.note_listed('a', 4, is_leaving=False, now_s=1)
        table.note_listed('a', 5, is_leaving=False, now_s=1)
        assert table.is_leaving('a')
        table.note_listed('a', 6, is_leaving=False, now_s=2)
        assert not table.is_leaving('a')


class TestLeavingServer:
    """Guard against new requests at a leaving server while other sources lag."""

    @pytest.mark.parametrize('source', ['list', 'drain', 'probe', 'refused', 'sibling'])
    def test_gets_no_new_requests(self, source):
        def answer(request: httpx.Request) -> httpx.Response:
            if source == 'refused':
                raise httpx.ConnectError('refused')
            is_draining = source == 'probe'
            return httpx.Response(200, json={'draining': is_draining, 'load': 0})

        async def check(gate, timer):
            prober = Prober()
            gate.kernel.register(prober)
            await prober.start(gate.kernel)
            transport = httpx.MockTransport(answer)
            prober._client = httpx.AsyncClient(transport=transport)
            if source == 'list':
                hosts = {SERVER: HostState(version=3, is_leaving=True)}
                await gate.link.deliver(BackendUpdate(hosts=hosts))
            elif source == 'drain':
                await gate.link.deliver(BackendUpdate(drained=[SERVER]))
            elif source == 'sibling':
                await prober.handle_notice(LeavingNotice(servers=[SERVER]))
            for _ in range(6):
                await timer.advance(1)
                await gate.kernel.run_spawned()
            targets = gate.acquire_all()
            is_at_server = [target.server.name == SERVER for target in targets]
            assert not any(is_at_server)
            expected = 0 if source in {'probe', 'refused'} else 4
            assert len(targets) == expected

        run_gate(check)

    def test_drain_signal_is_followed_by_a_probe(self):
        """The probe sees the change of health of a server that restarts soon after."""
        probed_hosts = []

        def answer(request: httpx.Request) -> httpx.Response:
            probed_hosts.append(request.url.host)
            return httpx.Response(200, json={'draining': False})

        async def check(gate, timer):
            prober = Prober()
            gate.kernel.register(prober)
            await prober.start(gate.kernel)
            prober._client = httpx.AsyncClient(transport=httpx.MockTransport(answer))
            await timer.advance(0.6)
            await gate.kernel.run_spawned()
            probed_hosts.clear()
            gate.servers.record_leaving(SERVER, Evidence.ANSWER)
            await timer.advance(0.5)
            await gate.kernel.run_spawned()
            assert set(probed_hosts) == {SERVER}

        run_gate(check)

    def test_returning_server_ramps_up(self):
        async def check(gate, timer):
            gate.servers.record_leaving(SERVER, Evidence.REFUSED)
            await timer.advance(1)
            gate.servers.record_probe(SERVER, timer.now_s(), is_good=True)
            load = gate.servers.load(SERVER)
            assert load.soft_limit(8, timer.now_s()) == 1
            assert load.soft_limit(8, timer.now_s() + 10) == 8

        run_gate(check)


def test_forwarder_notes_the_drain_signal_on_any_answer():
    """A shed response becomes a failure, but its drain header still counts."""

    async def check(gate, timer):
        forwarder = Forwarder()
        await forwarder.start(gate.kernel)
        headers = {'x-draining': '1', 'x-shed': 'not-run'}
        transport = httpx.MockTransport(
            lambda request: httpx.Response(503, headers=headers)
        )
        forwarder._client = httpx.AsyncClient(transport=transport)
        target = gate.router.try_acquire(gate.request())
        await forwarder.forward(gate.request(), target.server)
        assert gate.servers.leaving.is_leaving(target.server.name)

    run_gate(check)
