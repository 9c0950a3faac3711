"""Test that accepted configuration reaches all hosts, with faults at any time."""

from functools import partial
from types import SimpleNamespace

import anyio
import pytest

from cicadadoor.config import chunks
from cicadadoor.config.submission import Submission, SubmissionResult
from cicadadoor.decisions.withdrawn_keys import WithdrawnKeys
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.links.fan_out import FAN_OUT, FanOut
from cicadadoor.links.messages import Ack
from tests.utils.deployments import small_deployment
from tests.utils.sync_fleet import Fleet, run_fleet

DOMAINS = {'muenchen-1': 4, 'muenchen-2': 3, 'augsburg-1': 3}
LIMIT_S = 6.0
# Includes the time until membership detects a dead or paused relay.
FAILOVER_LIMIT_S = 20.0


async def submit(fleet: Fleet, number: int) -> None:
    """Submit a configuration that differs from the previous one."""
    domains = {domain: (domain.rpartition('-')[0], 4) for domain in DOMAINS}
    deployment = small_deployment(domains)
    deployment.client_block(f'10.{number}.0.0/16', 'muenchen')
    sections = chunks.split(deployment.build())
    store = fleet.store
    outcome = await Submission(store, 'ada', 1.0).submit(sections, number - 1)
    assert isinstance(outcome, SubmissionResult), outcome


async def distribute_first_generation(fleet: Fleet) -> None:
    """Submit the first generation and wait until all hosts use it."""
    await fleet.run_for(3)
    await submit(fleet, 1)
    await fleet.run_until(lambda: fleet.is_everywhere(1), FAILOVER_LIMIT_S)
    await fleet.run_for(8)


async def kill_relay(fleet: Fleet) -> None:
    """Kill the first relay of a domain."""
    fleet.nodes['muenchen-1-0'].kill()


async def kill_both_relays(fleet: Fleet) -> None:
    """Kill both relays of a domain."""
    fleet.nodes['muenchen-1-0'].kill()
    fleet.nodes['muenchen-1-1'].kill()


async def pause_both_relays(fleet: Fleet) -> None:
    """Pause both relays of a domain."""
    fleet.nodes['muenchen-1-0'].is_paused = True
    fleet.nodes['muenchen-1-1'].is_paused = True


async def cut_platform(fleet: Fleet) -> None:
    """Cut one region off from the platform."""
    fleet.nodes['augsburg-1-0'].can_reach_platform = False
    fleet.nodes['augsburg-1-1'].can_reach_platform = False
    fleet.nodes['augsburg-1-2'].can_reach_platform = False


async def partition(fleet: Fleet) -> None:
    """Cut one domain off from the others, and from the platform."""
    await cut_platform(fleet)

    def is_partitioned(source, target) -> bool:
        return (source.domain == 'augsburg-1') != (target.domain == 'augsburg-1')

    fleet.network.cut = is_partitioned


async def lose_messages(fleet: Fleet) -> None:
    """Lose a third of all messages, and deliver others twice and late."""
    fleet.network.loss = 0.3
    fleet.network.duplication = 0.3


async def compact(fleet: Fleet) -> None:
    """Compact the platform's event history."""
    fleet.store.compact()


async def platform_down(fleet: Fleet) -> None:
    """Make the platform unreachable."""
    fleet.store.is_down = True


async def restart_member(fleet: Fleet) -> None:
    """Restart a host that is not a relay."""
    fleet.nodes['muenchen-1-3'].kill()
    await fleet.settle()
    await fleet.nodes['muenchen-1-3'].start()


FAULTS = (
    kill_relay,
    kill_both_relays,
    pause_both_relays,
    cut_platform,
    partition,
    lose_messages,
    compact,
    platform_down,
    restart_member,
)


async def heal(fleet: Fleet) -> None:
    """End all faults and restart hosts that were killed."""
    fleet.store.is_down = False
    fleet.network.loss = 0
    fleet.network.duplication = 0
    fleet.network.cut = lambda source, target: False
    for node in fleet.nodes.values():
        node.can_reach_platform = True
        node.is_paused = False
        if node.is_down:
            await node.start()


class TestDistribution:
    """Guard against hosts that stay behind or return to an older generation."""

    def test_configuration_reaches_all_hosts_with_two_watches_per_domain(self):
        """A watch per host would exceed the platform's request rate."""

        async def scenario(fleet: Fleet) -> None:
            await distribute_first_generation(fleet)
            for number in range(2, 8):
                await submit(fleet, number)
                await fleet.run_until(partial(fleet.is_everywhere, number), LIMIT_S)
            watching = [
                node.host for node in fleet.running() if node.store.open_watches
            ]
            assert sorted(watching) == sorted(
                f'{domain}-{number}' for domain in DOMAINS for number in (0, 1)
            )

        run_fleet(DOMAINS, scenario)

    @pytest.mark.parametrize('fault', FAULTS)
    # From the acceptance to the fault; negative if the fault comes first.
    @pytest.mark.parametrize('delay_s', (-5, -0.25, 0, 0.25, 0.5))
    def test_fault_around_an_acceptance(self, fault, delay_s):
        """Reachable hosts must converge during a fault, and all hosts after it."""

        async def scenario(fleet: Fleet) -> None:
            await distribute_first_generation(fleet)
            if delay_s < 0:
                await fault(fleet)
                await fleet.run_for(-delay_s)
            is_accepted = not fleet.store.is_down
            if is_accepted:
                await submit(fleet, 2)
            if delay_s >= 0:
                await fleet.run_for(delay_s)
                await fault(fleet)
            is_partitioned = fault in {partition, platform_down}
            if not is_partitioned:
                await fleet.run_until(
                    lambda: fleet.is_everywhere(2),
                    FAILOVER_LIMIT_S,
                )
            await fleet.run_for(12)
            await heal(fleet)
            if not is_accepted:
                await submit(fleet, 2)
            await fleet.run_until(lambda: fleet.is_everywhere(2), FAILOVER_LIMIT_S)

        run_fleet(DOMAINS, scenario)

    def test_restart_during_an_outage_applies_the_highest_generation(self):
        """A starting host must use the highest generation, not the first reported."""

        async def scenario(fleet: Fleet) -> None:
            await distribute_first_generation(fleet)
            outdated = fleet.nodes['muenchen-1-0']
            fleet.network.cut = lambda source, target: outdated in {source, target}
            outdated.can_reach_platform = False
            await submit(fleet, 2)
            others = [node for node in fleet.running() if node is not outdated]
            await fleet.run_until(
                lambda: all(node.generation == 2 for node in others),
                FAILOVER_LIMIT_S,
            )
            fleet.store.is_down = True
            restarted = fleet.nodes['muenchen-1-2']
            restarted.kill()
            await fleet.settle()
            fleet.network.cut = lambda source, target: (
                {source, target} != {outdated, restarted}
            )
            await restarted.start()
            await fleet.run_for(1)
            fleet.network.cut = lambda source, target: False
            await fleet.run_until(lambda: fleet.is_everywhere(2), FAILOVER_LIMIT_S)
            assert set(restarted.generations) <= {0, 2}

        run_fleet(DOMAINS, scenario)

    def test_paused_host_with_old_messages_does_not_return_to_an_older_generation(self):
        """Late and duplicated updates must not change the generation."""

        async def scenario(fleet: Fleet) -> None:
            await distribute_first_generation(fleet)
            fleet.network.duplication = 1
            paused = fleet.nodes['muenchen-1-3']
            paused.is_paused = True
            for number in range(2, 6):
                await submit(fleet, number)
                await fleet.run_for(3)
            paused.is_paused = False
            await fleet.run_until(lambda: fleet.is_everywhere(5), FAILOVER_LIMIT_S)
            await fleet.run_for(5)
            assert fleet.is_everywhere(5)

        run_fleet(DOMAINS, scenario)


class TestSingleDaemonRestart:
    """Guard against a daemon that relies on state lost in a restart of the other."""

    def test_restarted_gate_gets_the_configuration(self):
        """A new gate process needs the configuration sent to its predecessor."""

        async def scenario(fleet: Fleet) -> None:
            await distribute_first_generation(fleet)
            for node in fleet.running():
                await node.start_gate()
            await fleet.run_until(lambda: fleet.is_everywhere(1), LIMIT_S)

        run_fleet(DOMAINS, scenario)

    def test_restarted_agent_gets_withdrawals_from_its_gate(self):
        """A new agent process gets withdrawals from its gate if nobody else answers."""

        async def scenario(fleet: Fleet) -> None:
            await distribute_first_generation(fleet)
            key_hash = 'c' * 64
            node = fleet.nodes['muenchen-1-3']
            fleet.network.cut = lambda source, target: True
            fleet.store.is_down = True
            await node.withdrawals.withdraw(key_hash)
            # Simulates a new agent process, which starts with no withdrawals.
            node.withdrawals.keys = WithdrawnKeys()
            await fleet.run_for(2)
            assert key_hash in node.withdrawals.keys
            assert key_hash in node.gate.withdrawn_keys

        run_fleet(DOMAINS, scenario)


def _start(tasks, work, *arguments, on_fault) -> None:
    tasks.start_soon(work, *arguments)


class TestFanOut:
    """Guard against hosts that the push tree does not reach."""

    @pytest.mark.parametrize('dead', (set(), {0}, {0, 1, 2, 3}, {4, 8, 12, 39}))
    @pytest.mark.parametrize('count', (1, 4, 5, 40))
    def test_reaches_all_live_hosts_with_few_neighbours(self, dead, count):
        """A host that does not answer must not cut off the hosts behind it."""
        reached: list[str] = []
        asked: dict[str, set[str]] = {}

        async def run() -> None:
            async with anyio.create_task_group() as tasks:

                def send(own: str, addresses: list[str]) -> None:
                    kernel = SimpleNamespace(spawn=partial(_start, tasks))
                    peers = SimpleNamespace(ask=partial(ask, own))
                    FanOut(kernel, peers).send(addresses, list)

                async def ask(own, address, rest, timeout_s):
                    asked.setdefault(own, set()).add(address)
                    if int(address) in dead:
                        return Failure(ErrorKind.OUTCOME_UNKNOWN, 'dead')
                    reached.append(address)
                    send(address, rest)
                    return Ack()

                send('root', [str(number) for number in range(count)])

        anyio.run(run)
        living = {str(number) for number in range(count) if number not in dead}
        assert sorted(reached) == sorted(living)
        for neighbours in asked.values():
            assert len(neighbours) <= FAN_OUT + len(dead)
