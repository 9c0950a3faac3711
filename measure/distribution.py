"""Compare flat fan-out with the bounded tree, and measure the agents' idle cost.

The sync services of all agents run in one process over a fake network that counts
messages and bytes. Time is simulated. CPU time is measured; it is an upper bound, since
the fake gates of the hosts run in the same process.
"""

import time

from anyio.lowlevel import checkpoint

from cicadadoor.config import chunks
from cicadadoor.config.submission import Submission
from cicadadoor.links import fan_out
from measure.results import Results
from tests.utils.deployments import small_deployment
from tests.utils.sync_fleet import Fleet, run_fleet

_HOSTS = (8, 16, 34, 68, 136)
_DOMAINS = (2, 4, 8, 16)
_HOSTS_PER_DOMAIN = 8
_TREE = fan_out.FAN_OUT
_FLAT = 1000
_IDLE_S = 8.0
_SETTLE_S = 8.0
_TIMEOUT_S = 60.0


class CostMeter:
    """Count messages, bytes and CPU time since the creation of this object."""

    __slots__ = ('_bytes', '_cpu_s', '_fleet', '_messages')

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._messages = fleet.network.messages
        self._bytes = fleet.network.sent_bytes
        self._cpu_s = time.process_time()

    def per_host(self, duration_s: float) -> dict[str, float]:
        """Return the mean cost per host and second; each byte counts once."""
        network = self._fleet.network
        share = len(self._fleet.nodes) * duration_s
        return {
            'messages_per_s': (network.messages - self._messages) / share,
            'sent_bytes_per_s': (network.sent_bytes - self._bytes) / share,
            'cpu_share': (time.process_time() - self._cpu_s) / share,
        }

    def messages(self) -> int:
        """Return the number of messages sent."""
        return self._fleet.network.messages - self._messages

    def sent_bytes(self) -> int:
        """Return the number of bytes sent."""
        return self._fleet.network.sent_bytes - self._bytes


def measure(results: Results) -> None:
    """Measure one domain of growing size, flat and as a tree, then several domains."""
    for count in _HOSTS:
        for case, bound in (('tree', _TREE), ('flat', _FLAT)):
            fan_out.FAN_OUT = bound
            _measure(results, f'{case}, 1 domain of {count}', {'a-1': count})
    fan_out.FAN_OUT = _TREE
    for domains in _DOMAINS:
        places = {f'r{number}-1': _HOSTS_PER_DOMAIN for number in range(domains)}
        _measure(results, f'tree, {domains} domains of {_HOSTS_PER_DOMAIN}', places)


def _measure(results: Results, case: str, domains: dict[str, int]) -> None:
    figures: dict[str, float] = {}

    async def scenario(fleet: Fleet) -> None:
        await fleet.run_for(3)
        await _submit(fleet, domains, 1)
        await fleet.run_until(lambda: fleet.is_everywhere(1), _TIMEOUT_S)
        await fleet.run_for(_SETTLE_S)
        idle = CostMeter(fleet)
        await fleet.run_for(_IDLE_S)
        figures.update(idle.per_host(_IDLE_S))
        change = CostMeter(fleet)
        await _submit(fleet, domains, 2)
        took_s = await fleet.run_until(lambda: fleet.is_everywhere(2), _TIMEOUT_S)
        hosts = len(fleet.nodes)
        figures['time_to_all_s'] = took_s
        figures['relay_pushes_most'] = min(hosts, fan_out.FAN_OUT)
        figures['messages_to_all_per_host'] = change.messages() / hosts
        figures['bytes_to_all_per_host'] = change.sent_bytes() / hosts

    run_fleet(domains, scenario)
    results.add('distribution', case, **figures)


async def _submit(fleet: Fleet, domains: dict[str, int], number: int) -> None:
    places = {
        domain: (domain.rpartition('-')[0], count) for domain, count in domains.items()
    }
    deployment = small_deployment(places)
    region = next(iter(places.values()))[0]
    deployment.client_block(f'10.{number}.0.0/16', region)
    sections = chunks.split(deployment.build())
    await Submission(fleet.store, 'measure', 1.0).submit(sections, number - 1)
    await checkpoint()


if __name__ == '__main__':
    collected = Results()
    measure(collected)
    collected.print_table()
