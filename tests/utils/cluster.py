"""Run a small deployment: stand-ins, plus an agent and a gate per entry host."""

import json
import os
import signal
import subprocess
from pathlib import Path
from types import TracebackType

import anyio
import httpx

from cicadadoor.config import Deployment, acceptance, canonical, model
from cicadadoor.ids import digest_of
from cicadadoor.object_store.http import HttpObjectStore
from tests.utils import control
from tests.utils.backend_server import Execution, read_executions
from tests.utils.network import Network, source_ip
from tests.utils.processes import Ports, TestProcess, program, python_module
from tests.utils.waiting import wait_until

PLATFORM = 'platform'


class EntryHostProcesses:
    """Manage the agent and gate processes of one entry host."""

    def __init__(
        self,
        name: str,
        settings: dict,
        folder: Path,
        relay_ip: str = '',
    ) -> None:
        self.name = name
        self.settings = settings
        self.callers_url = settings['callers_url']
        self.operators_url = f'http://{settings["operators"]}'
        self._folder = folder
        path = folder / f'{name}.json'
        path.write_text(f'// Settings of {name}.\n{json.dumps(settings, indent=2)}')
        self.agent = TestProcess(
            f'{name}-agent',
            _daemon('agent', str(path), relay_ip),
            folder,
        )
        self.gate = TestProcess(
            f'{name}-gate',
            _daemon('gate', str(path), relay_ip),
            folder,
        )

    def status(self) -> dict:
        """Return the agent's status as operators see it."""
        return httpx.get(f'{self.operators_url}/v1/status').json()

    def wait_generation(self, generation: int) -> None:
        """Wait until the gate uses the generation or a later one."""
        wait_until(
            lambda: self.status()['gate_generation'] >= generation,
            f'{self.name} uses generation {generation}',
        )

    def is_ready(self) -> bool:
        """Tell whether the gate accepts requests."""
        try:
            answer = httpx.get(f'{self.callers_url}/cicadadoor/v1/health')
        except httpx.HTTPError:
            return False
        return answer.status_code == 200


class BackendProcess:
    """Manage the process of one backend server stand-in."""

    def __init__(self, name: str, slots: int, folder: Path) -> None:
        self.name = name
        self.slots = slots
        self.address = Ports.address()
        self.url = f'http://{self.address}'
        self.records_file = folder / f'{name}.records'
        self.process = TestProcess(
            name,
            python_module(
                'tests.utils.backend_server',
                self.address,
                name,
                str(self.records_file),
                str(slots),
            ),
            folder,
        )


class Cluster:
    """Start and end all processes of a small deployment.

    `domains` maps each failure domain to its region and number of entry hosts.
    """

    def __init__(
        self,
        folder: Path,
        domains: dict[str, tuple[str, int]],
        network: Network | None = None,
        **host_settings: object,
    ) -> None:
        self.folder = folder
        self.domains = domains
        self.platform_address = Ports.address()
        self.platform_url = f'http://{self.platform_address}'
        self.platform = TestProcess(
            'platform',
            python_module('tests.utils.platform', self.platform_address),
            folder,
        )
        self.backends: dict[str, BackendProcess] = {}
        self.extra_processes: list[TestProcess] = []
        self.hosts: dict[str, EntryHostProcesses] = {}
        self._network = network
        self._host_settings = host_settings
        wait_until(self._platform_answers, 'the platform stand-in answers')

    def __enter__(self) -> 'Cluster':
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def add_backend(self, name: str, slots: int) -> BackendProcess:
        """Start a backend server."""
        backend = BackendProcess(name, slots, self.folder)
        self.backends[name] = backend
        return backend

    def start_hosts(self) -> None:
        """Start the agent and the gate of each entry host."""
        all_settings = self._all_settings()
        peers = {name: each['agent_peers'] for name, each in all_settings.items()}
        for name, settings in all_settings.items():
            settings['seed_peers'] = [
                peer for other, peer in peers.items() if other != name
            ]
            relay_ip = self._relay(name, all_settings)
            self.hosts[name] = EntryHostProcesses(
                name,
                settings,
                self.folder,
                relay_ip,
            )

    def wait_ready(self) -> None:
        """Wait until each gate accepts requests."""
        for host in self.hosts.values():
            wait_until(host.is_ready, f'{host.name} is ready')

    def submit(self, deployment: Deployment) -> None:
        """Build and submit a configuration with the operators' command."""
        self.submit_configuration(deployment.build())

    def submit_configuration(self, configuration: model.Configuration) -> None:
        """Plan and submit a built configuration."""
        path = self.folder / 'configuration.json'
        path.write_bytes(canonical.render(configuration))
        plan = json.loads(self.operate('plan', str(path), '--json'))
        self.operate(
            'submit',
            str(path),
            f'--digest={plan["digest"]}',
            f'--base={plan["base"]}',
        )

    def grant_key(self, organisation: str) -> str:
        """Grant a key and return it."""
        output = self.operate('key', 'grant', organisation, '--json')
        return json.loads(output.splitlines()[-1])['key']

    def withdraw_key(self, key: str) -> None:
        """Withdraw a key permanently."""
        self.operate('key', 'withdraw', digest_of(key.encode()))

    def wait_in_force(self) -> None:
        """Wait until each gate uses the accepted generation."""
        accepted = anyio.run(self._accepted_generation)
        for host in self.hosts.values():
            host.wait_generation(accepted)

    async def _accepted_generation(self) -> int:
        accepted = await acceptance.read_root(HttpObjectStore(self.platform_url))
        return accepted.root.generation

    def operate(self, *arguments: str, expect: int = 0) -> str:
        """Run the operators' command, check its exit code and return its output."""
        finished = subprocess.run(**self.command(*arguments), check=False)
        assert finished.returncode == expect, (arguments, finished)
        return finished.stdout

    def command(self, *arguments: str) -> dict:
        """Return the arguments of `subprocess.run` for the operators' command."""
        return {
            'args': program('cicadadoor', *arguments),
            'env': {**os.environ, 'CICADADOOR_PLATFORM': self.platform_url},
            'capture_output': True,
            'text': True,
            'timeout': 120,
        }

    def set_platform_faults(self, **faults: object) -> None:
        """Set faults of the platform stand-in."""
        control.set_faults(self.platform_url, **faults)

    def executions(self) -> list[Execution]:
        """Return the executions recorded by all backend servers."""
        return [
            execution
            for backend in self.backends.values()
            for execution in read_executions(backend.records_file)
        ]

    def stop_hosts(self) -> dict[str, int]:
        """Stop all gates and agents gracefully and return their exit codes."""
        processes = [
            process
            for host in self.hosts.values()
            for process in (host.gate, host.agent)
            if process.is_running()
        ]
        for process in processes:
            process.send(signal.SIGTERM)
        return {process.name: process.wait() for process in processes}

    def close(self) -> None:
        """End all processes that this cluster started."""
        processes = [self.platform, *self.extra_processes]
        processes.extend(backend.process for backend in self.backends.values())
        for host in self.hosts.values():
            processes.extend((host.agent, host.gate))
        for process in processes:
            if process.is_running():
                process.kill()

    def _platform_answers(self) -> bool:
        # If another process has the port, it may answer in place of the stand-in.
        assert self.platform.is_running(), self.platform.log_text()
        try:
            control.get_faults(self.platform_url)
        except httpx.HTTPError:
            return False
        return True

    def _relay(self, source: str, all_settings: dict[str, dict]) -> str:
        if self._network is None:
            return ''
        number = list(all_settings).index(source) + 1
        for target, settings in all_settings.items():
            for name in ('agent_peers', 'gate_peers'):
                port = _port(settings[name])
                self._network.relay(source, number, target, port)
        platform_port = _port(self.platform_address)
        self._network.relay(source, number, PLATFORM, platform_port)
        relay_ip = source_ip(number)
        url = f'http://{relay_ip}:{platform_port}'
        all_settings[source]['platform_url'] = url
        return relay_ip

    def _all_settings(self) -> dict[str, dict]:
        all_settings = {}
        for domain, (region, count) in self.domains.items():
            for number in range(count):
                name = f'{domain}-{number}'
                all_settings[name] = self._settings(name, region, domain)
                all_settings[name]['seat_index'] = number
        return all_settings

    def _settings(self, name: str, region: str, domain: str) -> dict:
        callers = Ports.address()
        return {
            'host': name,
            'region': region,
            'failure_domain': domain,
            'platform_url': self.platform_url,
            'callers': callers,
            'callers_url': f'http://{callers}',
            'gate_peers': Ports.address(),
            'agent_link': Ports.address(),
            'agent_peers': Ports.address(),
            'operators': Ports.address(),
            'trace_sample_ratio': 1,
            **self._host_settings,
        }


def _daemon(role: str, settings_file: str, relay_ip: str) -> list[str]:
    if not relay_ip:
        return program(f'cicadadoor-{role}', settings_file)
    module = 'tests.utils.relayed_daemon'
    return python_module(module, role, relay_ip, settings_file)


def _port(address: str) -> int:
    return int(address.rpartition(':')[2])
