"""Test that withdrawn keys are refused on all hosts, under any fault."""

from types import SimpleNamespace

import pytest

from cicadadoor.config import acceptance, model
from cicadadoor.config.submission import Submission
from cicadadoor.decisions.isolation import (
    AGENT_TIMEOUT_S,
    EVIDENCE_VALID_S,
    IsolationEvidence,
    isolated_at_gate_s,
    may_serve,
)
from cicadadoor.decisions.withdrawn_keys import WithdrawnKeys, fingerprint
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.request import SteeredResponse
from cicadadoor.ids import digest_of
from cicadadoor.links.config_parts import Generation
from cicadadoor.object_store.base import StoredObject
from tests.test_distribution import (
    DOMAINS,
    FAULTS,
    distribute_first_generation,
    heal,
    partition,
    submit,
)
from tests.utils.sync_fleet import Fleet, Node, run_fleet

KEY = 'c' * 64
LIMIT_S = 5.0
FAILOVER_LIMIT_S = 20.0


def refuses(node: Node) -> bool:
    """Return whether the gate refuses the key as withdrawn."""
    answer = node.keys.authenticate(KEY)
    return isinstance(answer, Failure) and answer.kind is ErrorKind.KEY_WITHDRAWN


def all_refuse(fleet: Fleet) -> bool:
    """Return whether all running gates refuse the key."""
    return all(refuses(node) for node in fleet.running())


async def grant(fleet: Fleet) -> None:
    """Grant the key and wait until all hosts accept it."""
    record = model.KeyRecord(key_hash=KEY, organisation='guild-a')
    await Submission(fleet.store, 'ada', 1.0).grant(record)
    await fleet.run_until(lambda: fleet.is_everywhere(2), FAILOVER_LIMIT_S)
    assert not any(refuses(node) for node in fleet.running())


async def is_recorded(fleet: Fleet) -> bool:
    """Return whether the withdrawal is recorded in the platform."""
    is_down, fleet.store.is_down = fleet.store.is_down, False
    found = await fleet.store.get('withdrawal', KEY)
    fleet.store.is_down = is_down
    return not isinstance(found, Failure)


class TestPropagation:
    """Guard against a gate that still accepts a withdrawn key."""

    @pytest.mark.parametrize('host', ('muenchen-1-3', 'augsburg-1-0'))
    def test_any_agent_accepts_a_withdrawal_during_an_outage(self, host):
        """An outage must not delay a withdrawal, which is recorded afterwards."""

        async def scenario(fleet: Fleet) -> None:
            await distribute_first_generation(fleet)
            await grant(fleet)
            fleet.store.is_down = True
            await fleet.run_for(5)
            await fleet.nodes[host].withdrawals.withdraw(KEY)
            await fleet.run_until(lambda: all_refuse(fleet), LIMIT_S)
            assert not await is_recorded(fleet)
            fleet.store.is_down = False
            await fleet.run_for(20)
            assert await is_recorded(fleet)
            for node in fleet.running():
                assert node.withdrawals.keys.is_recorded(KEY), node.host

        run_fleet(DOMAINS, scenario)

    @pytest.mark.parametrize('fault', FAULTS)
    @pytest.mark.parametrize('delay_s', (-2, 0, 0.25))
    def test_fault_around_a_withdrawal(self, fault, delay_s):
        """A dead or paused relay must not keep withdrawals from reachable hosts."""

        async def scenario(fleet: Fleet) -> None:
            await distribute_first_generation(fleet)
            await grant(fleet)
            if delay_s < 0:
                await fault(fleet)
                await fleet.run_for(-delay_s)
            await fleet.nodes['muenchen-1-2'].withdrawals.withdraw(KEY)
            if delay_s >= 0:
                await fleet.run_for(delay_s)
                await fault(fleet)
            if fault is not partition:
                await fleet.run_until(lambda: all_refuse(fleet), LIMIT_S)
            await fleet.run_for(3)
            await heal(fleet)
            await fleet.run_until(lambda: all_refuse(fleet), FAILOVER_LIMIT_S)

        run_fleet(DOMAINS, scenario)

    def test_survives_a_restart_of_every_host_during_an_outage(self):
        """Entry hosts have no disk, so restarted ones must get the set from peers."""

        async def scenario(fleet: Fleet) -> None:
            await distribute_first_generation(fleet)
            await grant(fleet)
            fleet.store.is_down = True
            await fleet.nodes['augsburg-1-2'].withdrawals.withdraw(KEY)
            await fleet.run_until(lambda: all_refuse(fleet), LIMIT_S)
            for node in fleet.nodes.values():
                node.kill()
                await fleet.settle()
                await node.start()
                # A gate accepts no requests before it has the withdrawals.
                while not node.generation:
                    await fleet.run_for(0.25)
                assert refuses(node)
            fleet.store.is_down = False
            await fleet.run_for(20)
            assert await is_recorded(fleet)

        run_fleet(DOMAINS, scenario)

    def test_recorded_withdrawal_reaches_all(self):
        """A withdrawal written only to the platform must reach all gates."""

        async def scenario(fleet: Fleet) -> None:
            await distribute_first_generation(fleet)
            await grant(fleet)
            withdrawal = StoredObject(kind='withdrawal', name=KEY, body=b'{}')
            await fleet.store.create(withdrawal)
            await fleet.run_until(lambda: all_refuse(fleet), LIMIT_S)

        run_fleet(DOMAINS, scenario)

    def test_withdrawn_key_in_a_later_configuration_is_refused(self):
        """If a grant races with a withdrawal, the withdrawal must win."""

        async def scenario(fleet: Fleet) -> None:
            await distribute_first_generation(fleet)
            await fleet.nodes['muenchen-1-0'].withdrawals.withdraw(KEY)
            await submit(fleet, 2)
            await fleet.run_until(lambda: all_refuse(fleet), FAILOVER_LIMIT_S)

        run_fleet(DOMAINS, scenario)


class TestStartOrder:
    """Guard against a configuration that takes effect before the withdrawals."""

    def test_gate_waits_for_the_withdrawals(self):
        """Without the set, a starting gate would accept withdrawn keys."""

        async def scenario(fleet: Fleet) -> None:
            await submit(fleet, 1)
            source = fleet.nodes['muenchen-1-0']
            found = await acceptance.read_root(fleet.store)
            contents = await acceptance.read_sections(
                fleet.store,
                found.root.section_digests,
            )
            fleet.store.is_down = True
            held = Generation(1, found.root.section_digests, contents)
            await source.sync.adopt(held)
            await fleet.run_for(10)
            # No host has a complete set, so none pulls the configuration of a peer.
            numbers = {node.sync.number for node in fleet.running()}
            assert numbers == {0, 1}
            assert not any(node.generation for node in fleet.running())
            fleet.store.is_down = False
            await fleet.run_until(lambda: fleet.is_everywhere(1), FAILOVER_LIMIT_S)

        run_fleet(DOMAINS, scenario)


class TestWithdrawnKeys:
    """Guard against sets of keys that do not converge."""

    def test_merge_in_any_order(self):
        """Digests that depend on the order of additions would never match."""
        keys = [digest_of(str(number).encode()) for number in range(300)]
        first = WithdrawnKeys()
        second = WithdrawnKeys()
        first.add(keys, recorded=False)
        first.add(keys[:100], recorded=True)
        second.add(reversed(keys[:100]), recorded=True)
        assert first.digest() != second.digest()
        found, others = first.differing(second.bucket_digests())
        second.add(found, recorded=True)
        second.add(others, recorded=False)
        assert first.digest() == second.digest()
        assert fingerprint(first.all_keys()) == fingerprint(second.all_keys())
        assert second.add(keys, recorded=False) == []
        assert len(second.unrecorded()) == 200

    @pytest.mark.parametrize('wrong', ('', 'x' * 64, 'A' * 64, 'a' * 63))
    def test_malformed_hash_is_dropped(self, wrong):
        """A malformed hash must neither be forwarded nor abort a comparison."""
        keys = WithdrawnKeys()
        assert keys.add([wrong], recorded=False) == []
        assert not keys.all_keys()


ORGANISATIONS = {
    'refuse': model.Organisation(name='a', rate_per_s=1, burst=1),
    'serve': model.Organisation(
        name='b',
        rate_per_s=1,
        burst=1,
        isolated_keys=model.IsolatedKeys.SERVE,
        serve_for_s=100,
    ),
}
NEVER = float('inf')


class TestIsolation:
    """Guard against confusing a platform outage with isolation of the domain."""

    @pytest.mark.parametrize(
        ('contact_age_s', 'heard_ages', 'hears_own', 'is_isolated'),
        [
            (1, {}, False, False),
            (NEVER, {'b': 1, 'c': 1}, True, False),
            (NEVER, {'b': 1}, True, True),
            (NEVER, {'b': 1, 'c': EVIDENCE_VALID_S + 1}, True, True),
            (NEVER, {'b': 1, 'c': 1}, False, True),
            (EVIDENCE_VALID_S + 1, {}, True, True),
            (float('nan'), {}, True, True),
        ],
    )
    def test_evidence(self, contact_age_s, heard_ages, hears_own, is_isolated):
        """A withdrawal may have been submitted in a domain that sends no heartbeats."""
        now_s = 1000.0
        evidence = IsolationEvidence()
        heard_s = {domain: now_s - age_s for domain, age_s in heard_ages.items()}
        evidence.update(
            now_s, contact_age_s, heard_s, {'b', 'c'}, hears_own_domain=hears_own
        )
        assert (evidence.isolated_for_s(now_s) > 0) is is_isolated

    @pytest.mark.parametrize(
        ('told_age_s', 'isolated_for_s', 'serves'),
        [
            (None, 0, {'refuse', 'serve'}),
            (1, 0, {'refuse', 'serve'}),
            (AGENT_TIMEOUT_S, 0, {'refuse', 'serve'}),
            (AGENT_TIMEOUT_S + 1, 0, {'serve'}),
            (1, 40, {'serve'}),
            (1, 99, {'serve'}),
            (2, 99, set()),
            (1, NEVER, set()),
        ],
    )
    def test_policy(self, told_age_s, isolated_for_s, serves):
        """`serve_for_s` bounds how long a withdrawal may go unnoticed."""
        told_s = None if told_age_s is None else 1000.0 - told_age_s
        isolated_s = isolated_at_gate_s(1000.0, told_s, isolated_for_s)
        served = {
            name
            for name, organisation in ORGANISATIONS.items()
            if may_serve(organisation, isolated_s)
        }
        assert served == serves

    def test_cut_off_domain_refuses_and_an_outage_does_not(self):
        """By default, an outage of the platform alone must not stop the fleet."""

        async def scenario(fleet: Fleet) -> None:
            await distribute_first_generation(fleet)
            await grant(fleet)
            fleet.store.is_down = True
            await fleet.run_for(2 * EVIDENCE_VALID_S)
            for node in fleet.running():
                assert isinstance(node.keys.authenticate(KEY), model.Organisation)
            await partition(fleet)
            await fleet.run_for(2 * EVIDENCE_VALID_S)
            for host in ('augsburg-1-0', 'muenchen-1-3'):
                refused = fleet.nodes[host].keys.authenticate(KEY)
                assert refused.kind is ErrorKind.KEY_UNVERIFIABLE
            await heal(fleet)
            await fleet.run_for(10)
            for node in fleet.running():
                assert isinstance(node.keys.authenticate(KEY), model.Organisation)

        run_fleet(DOMAINS, scenario)


class TestRunningRequests:
    """Guard against a long response that continues after its key was withdrawn."""

    @pytest.mark.parametrize('is_idempotent', (True, False))
    def test_stream_is_cut_only_if_the_request_is_idempotent(self, is_idempotent):
        """Cutting the response to a payment would leave its outcome unknown."""

        async def scenario(fleet: Fleet) -> None:
            node = fleet.nodes['muenchen-1-0']

            async def parts():
                yield b'a'
                node.gate.withdrawn_keys.add(KEY)
                yield b'b'

            request = SimpleNamespace(key_hash=KEY, is_idempotent=is_idempotent)
            answer = SteeredResponse(status=200, headers=[], stream=parts())
            node.keys.abort_on_withdrawal(request, answer)
            received = []
            try:
                async for part in answer.stream:
                    received.append(part)
            except Exception:
                received.append('cut')
            last = 'cut' if is_idempotent else b'b'
            assert received == [b'a', last]

        run_fleet({'muenchen-1': 1}, scenario)
