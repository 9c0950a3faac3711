"""Test that all hosts together keep rate and burst under injected faults."""

import anyio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.utils.limit_fleet import Fleet

DOMAINS = {'a': 2, 'b': 2}
HOSTS = ('a-0', 'a-1', 'b-0', 'b-1')
SIZES = ((20, 40), (50, 12), (1, 5), (2, 1), (3, 3))

_hosts = st.sampled_from(HOSTS)
_faults = st.one_of(
    st.tuples(
        st.just('write_faults'),
        st.sampled_from(
            ('fail', 'late', 'slow', 'pause', 'lose_answer', 'lose_answer_once')
        ),
    ),
    st.tuples(st.just('read_faults'), st.sampled_from(('fail', 'slow'))),
    st.tuples(
        st.just('peer_faults'),
        st.sampled_from(
            (
                'lose_request',
                'late_request',
                'slow',
                'duplicate',
                'slow_answer',
                'lose_answer',
            )
        ),
    ),
)
_steps = st.one_of(
    st.tuples(st.just('traffic'), st.lists(_hosts, min_size=1, max_size=3)),
    st.tuples(st.just('traffic'), st.lists(_hosts, min_size=1, max_size=3)),
    st.tuples(st.just('burst'), _hosts),
    st.tuples(st.just('wait'), st.sampled_from((0.3, 1.0, 4.0, 11.0))),
    st.tuples(st.just('fault'), _faults),
    st.tuples(
        st.sampled_from(
            (
                'kill_gate',
                'start_gate',
                'kill_agent',
                'start_agent',
                'pause_gate',
                'pause_agent',
                'resume',
                'cut',
            )
        ),
        _hosts,
    ),
    st.tuples(st.sampled_from(('heal', 'platform_down', 'deliver_late')), st.none()),
)


class Schedule:
    """Apply the steps of a random schedule to a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    async def apply(self, action: str, detail) -> None:
        """Apply one step."""
        await getattr(self, action)(detail)

    async def traffic(self, names) -> None:
        """Send requests for two seconds, far above the rate."""
        for _ in range(20):
            await self.fleet.advance(0.1)
            self.fleet.assert_shares()
            for name in names:
                self.fleet.request(name, 10)

    async def burst(self, name) -> None:
        """Use up all tokens of a host."""
        self.fleet.request(name, 100)

    async def wait(self, delay_s) -> None:
        """Let time pass without requests."""
        await self.fleet.advance(delay_s)

    async def fault(self, which) -> None:
        """Inject a fault into the next call of a kind."""
        getattr(self.fleet, which[0]).append(which[1])

    async def kill_gate(self, name) -> None:
        """End the gate process."""
        self.fleet.hosts[name].gate = None

    async def start_gate(self, name) -> None:
        """Replace the gate process."""
        await self.fleet.hosts[name].start_gate()

    async def kill_agent(self, name) -> None:
        """End the agent process."""
        self.fleet.hosts[name].agent = None

    async def start_agent(self, name) -> None:
        """Replace the agent process."""
        await self.fleet.hosts[name].start_agent()

    async def pause_gate(self, name) -> None:
        """Suspend the gate process."""
        if self.fleet.hosts[name].gate is not None:
            self.fleet.hosts[name].gate.is_paused = True

    async def pause_agent(self, name) -> None:
        """Suspend the agent process."""
        if self.fleet.hosts[name].agent is not None:
            self.fleet.hosts[name].agent.is_paused = True

    async def resume(self, name) -> None:
        """Resume both processes; requests arrive before anything else is processed."""
        for daemon in (self.fleet.hosts[name].gate, self.fleet.hosts[name].agent):
            if daemon is not None:
                daemon.is_paused = False
        self.fleet.request(name, 20)

    async def cut(self, name) -> None:
        """Isolate a host from all others and the platform."""
        self.fleet.cut_off(name)

    async def heal(self, _) -> None:
        """End all partitions and the outage."""
        self.fleet.heal()

    async def platform_down(self, _) -> None:
        """Start an outage of the platform."""
        self.fleet.is_platform_down = True

    async def deliver_late(self, _) -> None:
        """Let delayed requests and writes take effect."""
        await self.fleet.deliver_late()


async def run_schedule(size, steps) -> Fleet:
    """Run a schedule on a fleet whose boot clocks differ."""
    fleet = Fleet(
        DOMAINS,
        rate_per_s=size[0],
        burst=size[1],
        offsets_s=(0, 7000, -3000, 12),
    )
    await fleet.start()
    await fleet.advance(8)
    schedule = Schedule(fleet)
    for action, detail in steps:
        await schedule.apply(action, detail)
        fleet.assert_shares()
    return fleet


class TestInvariant:
    """Guard against admitting more than rate x T + burst over all hosts."""

    @given(st.sampled_from(SIZES), st.lists(_steps, max_size=25))
    @settings(
        max_examples=60,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    def test_random_schedules(self, size, steps):
        """In any time window, all hosts admit at most what one token bucket would."""
        fleet = anyio.run(run_schedule, size, steps)
        fleet.assert_within_limits()
