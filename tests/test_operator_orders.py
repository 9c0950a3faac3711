"""Test that holds, drains and the platform's host list reach the gates."""

import anyio
import msgspec
import pytest

from cicadadoor.agent.operator_orders import OperatorOrders
from cicadadoor.config import chunks
from cicadadoor.config.operations import DrainState, Scope
from cicadadoor.kernel import Service
from cicadadoor.links.config_parts import Generation
from cicadadoor.links.packing import PackedContents
from cicadadoor.object_store.base import StoredObject
from tests.utils.gates import (
    FakeHub,
    FakeKernel,
    FakeLink,
    FakeNetwork,
    domain_deployment,
)
from tests.utils.planning import DOMAINS, Planning


class FakeMembership(Service):
    """Stand in for the membership of a domain with or without other hosts."""

    name = 'membership'

    def __init__(self) -> None:
        self.first = 'h1'
        self.addresses: list[str] = []

    def relay_hosts(self) -> list[str]:
        """Return the first relay of the domain."""
        return [self.first]

    def domain_addresses(self) -> list[str]:
        """Return the agent addresses of the other hosts."""
        return self.addresses


class FakeSync(Service):
    """Stand in for the configuration sync with a fixed generation."""

    name = 'sync'

    def __init__(self) -> None:
        sections = chunks.split(domain_deployment(DOMAINS).build())
        contents = PackedContents.from_contents(sections)
        self.generation = Generation(1, chunks.digests(sections), contents)


class OrdersUnderTest:
    """Run the orders service of one agent."""

    def __init__(self, planning: Planning) -> None:
        self.planning = planning
        self.orders = OperatorOrders()
        self.membership = FakeMembership()
        self.link = FakeLink()

    async def start(self) -> None:
        """Start the service."""
        planner = await self.planning.planner()
        kernel = FakeKernel()
        hub = FakeHub(FakeNetwork(), 'i', '127.0.0.1:1')
        services = (
            self.planning.timer,
            planner._state,
            FakeSync(),
            self.membership,
            hub,
            self.link,
        )
        for service in services:
            kernel.register(service)
        await self.orders.start(kernel)

    async def list_host(self, name: str, state: str) -> None:
        """Add an entry to the platform's host list."""
        body = msgspec.json.encode({'state': state})
        listed = StoredObject(kind='host', name=name, body=body)
        await self.planning.inner.create(listed)

    async def sent(self):
        """Advance the clock and return the last message to the gate."""
        await self.planning.timer.advance(1)
        return self.link.sent[-1] if self.link.sent else None


def run(check) -> None:
    """Run a check over one agent."""

    async def prepared() -> None:
        planning = Planning()
        await planning.start()
        agent = OrdersUnderTest(planning)
        await agent.start()
        await check(agent)

    anyio.run(prepared)


class TestOrders:
    """Guard against gates that send requests to leaving or drained targets."""

    def test_host_list_names_leaving_servers_of_the_domain(self):
        async def check(agent):
            await agent.list_host('kb-m-1-0', 'leaving')
            await agent.list_host('kb-m-1-1', 'live')
            await agent.list_host('kb-n-1-0', 'leaving')
            await agent.list_host('entry-host', 'live')
            hosts = (await agent.sent()).hosts
            is_leaving = {name: host.is_leaving for name, host in hosts.items()}
            assert is_leaving == {'kb-m-1-0': True, 'kb-m-1-1': False}

        run(check)

    @pytest.mark.parametrize(
        ('state', 'domains'),
        [
            (DrainState.SHIFTING, []),
            (DrainState.LEAVING, ['m-1']),
            (DrainState.DONE, ['m-1']),
            (DrainState.FAILED, ['m-1']),
            (DrainState.ABANDONED, []),
            (DrainState.CANCELLED, []),
        ],
    )
    def test_region_is_drained_only_after_its_load_is_shifted(self, state, domains):
        async def check(agent):
            await agent.planning.drain(Scope.REGION, 'm', state)
            assert (await agent.sent()).drained_domains == domains

        run(check)

    def test_last_orders_stay_while_the_platform_is_down(self):
        async def check(agent):
            server = (Scope.BACKEND_SERVER, 'kb-m-1-0', DrainState.LEAVING)
            await agent.planning.drain(*server)
            assert (await agent.sent()).drained == ['kb-m-1-0']
            agent.planning.store.is_down = True
            assert (await agent.sent()).drained == ['kb-m-1-0']

        run(check)

    def test_host_without_a_reachable_leader_reads_the_store(self):
        async def check(agent):
            agent.membership.first = 'h0'
            server = (Scope.BACKEND_SERVER, 'kb-m-1-0', DrainState.LEAVING)
            await agent.planning.drain(*server)
            assert (await agent.sent()).drained == ['kb-m-1-0']

        run(check)
