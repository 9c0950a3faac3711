"""Measure CPU time and memory of idle agents and gates in growing deployments."""

import os
import tempfile
import time
from pathlib import Path
from statistics import mean

from measure.results import Results
from tests.utils.cluster import Cluster
from tests.utils.deployments import small_deployment
from tests.utils.processes import TestProcess

_HOSTS_PER_DOMAIN = (1, 2, 4)
_REGIONS = ('muenchen', 'nuernberg', 'augsburg')
_SETTLE_S = 5
_IDLE_S = 10
_BYTES_PER_MB = 1_000_000


def measure(results: Results) -> None:
    """Measure three failure domains with a growing number of hosts."""
    for count in _HOSTS_PER_DOMAIN:
        domains = {f'{region}-1': (region, count) for region in _REGIONS}
        with tempfile.TemporaryDirectory() as folder:
            with Cluster(Path(folder), domains) as cluster:
                cluster.start_hosts()
                cluster.submit(small_deployment(domains))
                cluster.wait_ready()
                time.sleep(_SETTLE_S)
                results.add(
                    'daemons', f'{len(cluster.hosts)} hosts', **_measure_idle(cluster)
                )


def _measure_idle(cluster: Cluster) -> dict[str, float]:
    agents = [host.agent for host in cluster.hosts.values()]
    gates = [host.gate for host in cluster.hosts.values()]
    cpu_before_s = [_cpu_s(process) for process in (*agents, *gates)]
    time.sleep(_IDLE_S)
    shares = [
        (_cpu_s(process) - before_s) / _IDLE_S
        for process, before_s in zip((*agents, *gates), cpu_before_s, strict=True)
    ]
    return {
        'agent_cpu_share': mean(shares[: len(agents)]),
        'gate_idle_cpu_share': mean(shares[len(agents) :]),
        'agent_mb': mean(_resident_mb(process) for process in agents),
        'gate_mb': mean(_resident_mb(process) for process in gates),
    }


def _cpu_s(process: TestProcess) -> float:
    fields = Path(f'/proc/{process.pid}/stat').read_text().rpartition(')')[2].split()
    user_ticks, system_ticks = fields[11:13]
    return (int(user_ticks) + int(system_ticks)) / os.sysconf('SC_CLK_TCK')


def _resident_mb(process: TestProcess) -> float:
    pages = int(Path(f'/proc/{process.pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / _BYTES_PER_MB


if __name__ == '__main__':
    collected = Results()
    measure(collected)
    collected.print_table()
