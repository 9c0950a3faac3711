"""Run a small Knetwerk deployment on loopback, check it, and print one line.

Run `make demo`. Logs and records go to a temporary folder, which is kept if a check
fails.
"""

import shutil
import sys
import tempfile
import time
from pathlib import Path

from cicadadoor.config import Deployment
from cicadadoor.errors import ExitStatus
from tests.utils.cluster import Cluster
from tests.utils.deployments import BOOKING_ROUTES
from tests.utils.load import Audit, CallerGroup, Load, Outcome, OutcomeKind
from tests.utils.waiting import wait_until

DOMAINS = {
    'muenchen-1': ('muenchen', 2),
    'muenchen-2': ('muenchen', 1),
    'nuernberg-1': ('nuernberg', 1),
}
CLIENT_IPS = {'muenchen': '198.51.100.7', 'nuernberg': '203.0.113.7'}
DRAINED = 'kb-muenchen-1-0'
# Limits over all hosts; only the callers of OVER_RATE exceed theirs.
RATES_PER_S = {
    'handwerkskammer': 400,
    'volkshochschule': 400,
    'musikschule': 200,
    'abendschule': 8,
}
OVER_RATE = 'abendschule'
WITHDRAWN = 'musikschule'
WITHDRAWAL_LIMIT_S = 6.0
REQUESTS_BEFORE_FAULTS = 1000
TOTAL_REQUESTS = 3000
PHASE_TIMEOUT_S = 25.0


class Demo:
    """Run the steps of the demo on a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._keys: dict[str, str] = {}
        self._withdrawn_s = 0.0

    def run(self) -> 'DemoResult':
        """Send requests, drain a server and withdraw a key, then stop and compare."""
        self._start()
        load = Load(
            [host.callers_url for host in self._cluster.hosts.values()],
            self._groups(),
        )
        load.start()
        try:
            self._inject_faults(load)
        finally:
            outcomes = load.stop()
        exits = self._cluster.stop_hosts()
        audit = Audit(outcomes, self._cluster.executions())
        return DemoResult(audit, self._withdrawn_s, exits)

    def _start(self) -> None:
        cluster = self._cluster
        deployment = describe()
        for domain in DOMAINS:
            for number in range(2):
                backend = cluster.add_backend(f'kb-{domain}-{number}', slots=8)
                deployment.backend_server(
                    'kursbuchung',
                    backend.name,
                    url=backend.url,
                    failure_domain=domain,
                    slots=8,
                    connections=330,
                )
        cluster.start_hosts()
        cluster.submit(deployment)
        cluster.wait_ready()
        for organisation in RATES_PER_S:
            self._keys[organisation] = cluster.grant_key(organisation)
        cluster.wait_in_force()

    def _groups(self) -> list[CallerGroup]:
        return [
            CallerGroup(
                organisation,
                self._keys[organisation],
                client_ip,
                callers=3,
                pause_s=0.05,
            )
            for organisation in RATES_PER_S
            for client_ip in CLIENT_IPS.values()
        ]

    def _inject_faults(self, load: Load) -> None:
        _wait_served(load, REQUESTS_BEFORE_FAULTS)
        self._cluster.operate('drain', 'start', 'backend_server', DRAINED)
        self._cluster.withdraw_key(self._keys[WITHDRAWN])
        self._withdrawn_s = time.monotonic()
        time.sleep(WITHDRAWAL_LIMIT_S + 1)
        _wait_served(load, TOTAL_REQUESTS)


class DemoResult:
    """Hold the requests that violated a guarantee, and the counts to print."""

    def __init__(
        self,
        audit: Audit,
        withdrawn_s: float,
        exits: dict[str, int],
    ) -> None:
        self.served = len(audit.of_kind(OutcomeKind.SERVED))
        refused = audit.of_kind(OutcomeKind.REFUSED)
        self.refused = len(refused)
        self.wrongly_refused = [each for each in refused if _is_wrongly_refused(each)]
        self.false_refusals = audit.run_but_refused()
        self.lost = [*audit.never_run(), *audit.of_kind(OutcomeKind.NO_ANSWER)]
        self.doubled = audit.doubled()
        deadline_s = withdrawn_s + WITHDRAWAL_LIMIT_S
        served_with_key = [
            each
            for each in audit.of_kind(OutcomeKind.SERVED)
            if each.organisation == WITHDRAWN
        ]
        self.withdrawn_served = [
            each for each in served_with_key if each.ended_s > deadline_s
        ]
        self.unknown = audit.of_kind(OutcomeKind.UNKNOWN)
        self.not_stopped = {name: code for name, code in exits.items() if code}

    def exit_status(self) -> ExitStatus:
        """Return SUCCESS if no guarantee was violated."""
        violations = (self.lost, self.doubled, self.withdrawn_served)
        broken = any(violations) or self.false_refusals or self.not_stopped
        return ExitStatus.ERROR if broken else ExitStatus.SUCCESS

    def line(self) -> str:
        """Return the summary line."""
        return (
            f'demo served={self.served} refused={self.refused} '
            f'wrongly_refused={len(self.wrongly_refused)} lost={len(self.lost)} '
            f'doubled={len(self.doubled)} '
            f'withdrawn_served={len(self.withdrawn_served)} '
            f'exit={self.exit_status().value}'
        )

    def details(self) -> list[str]:
        """Return up to three examples of each kind of violation."""
        faults = {
            'wrongly refused': self.wrongly_refused,
            'lost': self.lost,
            'doubled': self.doubled,
            'served with the withdrawn key': self.withdrawn_served,
            'answered run=unknown': self.unknown,
            'refused, but run': self.false_refusals,
            'not stopped gracefully': list(self.not_stopped.items()),
        }
        return [
            f'{kind}: {example}'
            for kind, examples in faults.items()
            for example in examples[:3]
        ]


def describe() -> Deployment:
    """Describe a deployment with three failure domains and four organisations."""
    deployment = Deployment(delay_between_domains_ms=0.5, delay_to_clients_ms=3)
    deployment.region('muenchen', {'muenchen-1': 2, 'muenchen-2': 1})
    deployment.region('nuernberg', {'nuernberg-1': 1})
    deployment.link_all_regions(capacity_bit_per_s=4e9, delay_ms=20)
    deployment.service('kursbuchung', deadline_ms=10_000, routes=BOOKING_ROUTES)
    for name, rate_per_s in RATES_PER_S.items():
        deployment.organisation(name, rate_per_s=rate_per_s, burst=2 * rate_per_s)
    deployment.client_block('198.51.100.0/24', 'muenchen')
    deployment.client_block('203.0.113.0/24', 'nuernberg')
    return deployment


def main() -> ExitStatus:
    """Run the demo in a temporary folder."""
    folder = Path(tempfile.mkdtemp(prefix='cicadadoor-demo-'))
    with Cluster(folder, DOMAINS, answer_ttl_ms=2000) as cluster:
        demo_result = Demo(cluster).run()
    for detail in demo_result.details():
        sys.stderr.write(f'{detail}\n')
    status = demo_result.exit_status()
    if status is ExitStatus.SUCCESS:
        shutil.rmtree(folder)
    else:
        sys.stderr.write(f'logs: {folder}\n')
    sys.stdout.write(f'{demo_result.line()}\n')
    return status


def _wait_served(load: Load, count: int) -> None:
    wait_until(
        lambda: load.served() >= count, f'{count} requests are served', PHASE_TIMEOUT_S
    )


def _is_wrongly_refused(refused: Outcome) -> bool:
    if refused.organisation == OVER_RATE:
        return 'rate_exceeded' not in refused.detail
    return refused.organisation != WITHDRAWN or 'key_' not in refused.detail


if __name__ == '__main__':
    sys.exit(main())
