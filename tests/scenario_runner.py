"""Run a scenario file, which holds a deployment, steps and expectations.

A file is JSON5 with the fields of `Scenario`. Each step is an object with one field,
named after a method of `Steps`. A process is named `HOST/agent` or `HOST/gate`, or
after its backend server. Groups to partition consist of hosts, failure domains, regions
or `platform`.
"""

import subprocess
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import httpx
import json5
import msgspec

from cicadadoor.config import Deployment, canonical
from cicadadoor.errors import ExitStatus
from tests.utils.cluster import PLATFORM, Cluster, EntryHostProcesses
from tests.utils.control import set_faults
from tests.utils.deployments import small_deployment
from tests.utils.load import Audit, CallerGroup, Load, OutcomeKind
from tests.utils.network import Network
from tests.utils.processes import TestProcess
from tests.utils.waiting import wait_until

_BACKEND_SLOTS = 64


class Callers(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Describe a group of callers; `home` is the region of their address."""

    home: str
    organisation: str = 'guild-a'
    callers: int = 3
    pause_s: float = 0.02
    work_ms: int = 10


class Expectations(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Limit the outcomes that callers may see.

    Some faults fail every scenario: a served request that did not run, a refused
    request that ran, and an enrolment that ran twice.
    """

    served_at_least: int = 1
    refused_at_most: int = 0
    refused_kinds: list[str] = []
    unknown_at_most: int = 0
    no_answer_at_most: int = 0


class Scenario(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Hold a scenario file; `domains` gives each domain's region and host count."""

    guards_against: str
    domains: dict[str, tuple[str, int]]
    settings: dict[str, float] = {}
    callers: list[Callers] = []
    steps: list[dict[str, object]]
    expect: Expectations


def load_scenario(path: Path) -> Scenario:
    """Read a scenario file; raise msgspec.ValidationError if it is malformed."""
    return msgspec.convert(json5.loads(path.read_text(encoding='utf-8')), Scenario)


def run_scenario(scenario: Scenario, folder: Path) -> None:
    """Run the steps of a scenario under load and check its expectations."""
    network = Network()
    try:
        with Cluster(folder, scenario.domains, network, **scenario.settings) as cluster:
            Steps(scenario, cluster, network).run()
    finally:
        network.close()


class Steps:
    """Run the steps of one scenario; each kind of step is a method."""

    def __init__(
        self,
        scenario: Scenario,
        cluster: Cluster,
        network: Network,
    ) -> None:
        self._scenario = scenario
        self._cluster = cluster
        self._network = network
        self._deployment = self._describe()
        self._key = ''
        self._load: Load

    def run(self) -> None:
        """Start the deployment and the load, run all steps and check the outcomes."""
        self._cluster.start_hosts()
        self._cluster.submit(self._deployment)
        self._cluster.wait_ready()
        self._key = self._cluster.grant_key('guild-a')
        self._cluster.wait_in_force()
        names = list(self._cluster.hosts)
        self.wait_named(names)
        # New gates start with empty token buckets, so wait until they admit requests.
        self.wait_key_served(names)
        self._load = Load(self._urls(), self._groups())
        self._load.start()
        try:
            for step in self._scenario.steps:
                self._execute(step)
        finally:
            outcomes = self._load.stop()
        self._check(Audit(outcomes, self._cluster.executions()))

    def wait_served(self, count: int) -> None:
        """Wait until `count` more requests have been served."""
        wanted = self._load.served() + count
        wait_until(
            lambda: self._load.served() >= wanted, f'{wanted} requests are served'
        )

    def wait_served_by(self, counts: dict[str, int]) -> None:
        """Wait until each host has served the given number of further requests."""
        wanted = {name: self._served_by(name) + more for name, more in counts.items()}
        for name, total in wanted.items():
            self._wait_served_by(name, total)

    def _wait_served_by(self, name: str, total: int) -> None:
        wait_until(
            lambda: self._served_by(name) >= total, f'{name} served {total} requests'
        )

    def sleep_s(self, delay_s: float) -> None:
        """Sleep for a fixed time."""
        time.sleep(delay_s)

    def kill(self, names: list[str]) -> None:
        """Kill processes."""
        for name in names:
            self._process(name).kill()

    def pause(self, names: list[str]) -> None:
        """Suspend processes."""
        for name in names:
            self._process(name).pause()

    def resume(self, names: list[str]) -> None:
        """Resume paused processes."""
        for name in names:
            self._process(name).resume()

    def start(self, names: list[str]) -> None:
        """Start processes that have ended."""
        for name in names:
            self._process(name).start()

    def stop(self, names: list[str]) -> None:
        """Stop processes concurrently, and check that each ends gracefully."""
        processes = [self._process(name) for name in names]
        for process in processes:
            process.send(15)
        for stopped in processes:
            assert stopped.wait() == ExitStatus.SUCCESS, stopped.name

    def cut(self, groups: list[list[str]]) -> None:
        """Partition two groups from each other."""
        self._network.cut(*(self._members(group) for group in groups))

    def heal(self, _: bool) -> None:
        """End all partitions."""
        self._network.heal()

    def platform(self, faults: dict[str, object]) -> None:
        """Set faults of the platform stand-in."""
        self._cluster.set_platform_faults(**faults)

    def backend(self, faults: dict[str, dict[str, object]]) -> None:
        """Set faults of backend servers."""
        for name, server_faults in faults.items():
            set_faults(self._cluster.backends[name].url, **server_faults)

    def grant(self, organisation: str) -> None:
        """Grant another key, which later steps use."""
        self._key = self._cluster.grant_key(organisation)

    def wait_key_served(self, names: list[str]) -> None:
        """Wait until the last granted key is served at each host."""
        for name in names:
            host = self._cluster.hosts[name]
            url = f'{host.callers_url}/s/kursbuchung/timetable/key'
            self._wait_url_served(url, name)

    def _wait_url_served(self, url: str, name: str) -> None:
        wait_until(lambda: self._is_served(url), f'{name} serves the new key')

    def wait_ready(self, names: list[str]) -> None:
        """Wait until each host accepts requests."""
        for name in names:
            wait_until(self._cluster.hosts[name].is_ready, f'{name} is ready')

    def wait_named(self, names: list[str]) -> None:
        """Wait until look-ups at each of these hosts name all of them."""
        wanted = {self._cluster.hosts[name].callers_url for name in names}
        for name in names:
            _wait_names(self._cluster.hosts[name], wanted)

    def wait_not_named(self, names: list[str]) -> None:
        """Wait until no running gate names the hosts in its look-ups."""
        absent_urls = {self._cluster.hosts[name].callers_url for name in names}
        for host in self._cluster.hosts.values():
            if host.gate.is_running() and host.name not in names:
                _wait_names_not(host, absent_urls)

    def expect_status(self, wanted: dict[str, dict[str, object]]) -> None:
        """Wait until the status of each host has the wanted fields."""
        for name, fields in wanted.items():
            _wait_status(self._cluster.hosts[name], fields)

    def race(self, operators: int) -> None:
        """Submit concurrently on one base generation; only one submission succeeds."""
        folder = self._cluster.folder
        base = int(msgspec.json.decode(self._plan(folder))['base'])
        with ThreadPoolExecutor(operators) as pool:
            numbers = range(operators)
            submissions = list(
                pool.map(lambda number: self._submit(number, base), numbers)
            )
        codes = sorted(finished.returncode for finished in submissions)
        conflicts = [ExitStatus.CONFLICT for _ in range(operators - 1)]
        assert codes == [ExitStatus.SUCCESS, *conflicts], submissions

    def _plan(self, folder: Path) -> str:
        return self._cluster.operate('plan', f'{folder}/configuration.json', '--json')

    def _submit(self, number: int, base: int) -> subprocess.CompletedProcess[str]:
        changed = self._describe()
        changed.organisation(f'guild-race-{base}-{number}', rate_per_s=1, burst=1)
        configuration = changed.build()
        path = self._cluster.folder / f'race-{number}.json'
        path.write_bytes(canonical.render(configuration))
        digest = canonical.digest(configuration)
        arguments = ('submit', str(path), f'--digest={digest}', f'--base={base}')
        return subprocess.run(**self._cluster.command(*arguments), check=False)

    def _execute(self, step: dict[str, object]) -> None:
        for name, argument in step.items():
            getattr(self, name)(argument)

    def _describe(self) -> Deployment:
        deployment = small_deployment(self._scenario.domains)
        for domain in self._scenario.domains:
            name = f'kb-{domain}'
            backend = self._cluster.backends.get(name)
            if backend is None:
                backend = self._cluster.add_backend(name, _BACKEND_SLOTS)
            deployment.backend_server(
                'kursbuchung',
                name,
                url=backend.url,
                failure_domain=domain,
                slots=_BACKEND_SLOTS,
                connections=330,
            )
        for number, region in enumerate(self._regions()):
            deployment.client_block(f'198.51.100.{number}/32', region)
        return deployment

    def _regions(self) -> list[str]:
        return sorted({region for region, _ in self._scenario.domains.values()})

    def _urls(self) -> list[str]:
        return [host.callers_url for host in self._cluster.hosts.values()]

    def _groups(self) -> list[CallerGroup]:
        return [
            CallerGroup(
                group.organisation,
                self._key,
                f'198.51.100.{self._regions().index(group.home)}',
                callers=group.callers,
                pause_s=group.pause_s,
                work_ms=group.work_ms,
            )
            for group in self._scenario.callers
        ]

    def _served_by(self, name: str) -> int:
        url = self._cluster.hosts[name].callers_url
        return sum(
            outcome.url == url and outcome.kind is OutcomeKind.SERVED
            for outcome in self._load.outcomes
        )

    def _process(self, name: str) -> TestProcess:
        host_name, _, role = name.partition('/')
        if not role:
            return self._cluster.backends[name].process
        host = self._cluster.hosts[host_name]
        return {'agent': host.agent, 'gate': host.gate}[role]

    def _members(self, group: list[str]) -> list[str]:
        members = []
        for name in group:
            if name == PLATFORM:
                members.append(name)
                continue
            found = [
                host.name
                for host in self._cluster.hosts.values()
                if name
                in {host.name, host.settings['failure_domain'], host.settings['region']}
            ]
            assert found, f'{name} is not a host, failure domain or region'
            members.extend(found)
        return members

    def _is_served(self, url: str) -> bool:
        try:
            answer = httpx.get(url, headers={'x-api-key': self._key}, timeout=30)
        except httpx.HTTPError:
            return False
        return answer.status_code == 200

    def _check(self, audit: Audit) -> None:
        expect = self._scenario.expect
        assert not audit.never_run(), audit.never_run()[:3]
        assert not audit.run_but_refused(), audit.run_but_refused()[:3]
        assert not audit.doubled(), audit.doubled()[:3]
        assert len(audit.of_kind(OutcomeKind.SERVED)) >= expect.served_at_least
        _check_at_most(audit, OutcomeKind.REFUSED, expect.refused_at_most)
        _check_at_most(audit, OutcomeKind.UNKNOWN, expect.unknown_at_most)
        _check_at_most(audit, OutcomeKind.NO_ANSWER, expect.no_answer_at_most)
        for outcome in audit.of_kind(OutcomeKind.REFUSED):
            kinds = expect.refused_kinds
            assert any(kind in outcome.detail for kind in kinds), outcome


def _check_at_most(audit: Audit, kind: OutcomeKind, limit: int) -> None:
    found = audit.of_kind(kind)
    assert len(found) <= limit, (len(found), found[:3])


def _lookup_urls(host: EntryHostProcesses) -> set[str] | None:
    """Return the URLs that a look-up names, or None if the host does not answer."""
    try:
        answer = httpx.get(
            f'{host.callers_url}/cicadadoor/v1/hosts',
            params={'service': 'kursbuchung'},
            timeout=30,
        )
    except httpx.HTTPError:
        return None
    if answer.status_code != 200:
        return None
    return {entry['url'] for entry in answer.json()['hosts']}


def _wait_names(host: EntryHostProcesses, urls: set[str]) -> None:
    wait_until(
        lambda: urls <= (_lookup_urls(host) or set()),
        f'the look-up of {host.name} names {urls}',
    )


def _wait_names_not(host: EntryHostProcesses, urls: set[str]) -> None:
    wait_until(
        lambda: not urls & (_lookup_urls(host) or urls),
        f'the look-up of {host.name} no longer names {urls}',
    )


def _wait_status(host: EntryHostProcesses, fields: dict[str, object]) -> None:
    wait_until(
        lambda: fields.items() <= host.status().items(),
        f'the status of {host.name} has {fields}',
    )
