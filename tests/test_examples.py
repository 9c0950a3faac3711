"""Run the operators' example programs."""

import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from cicadadoor.config import canonical, checks
from tests.utils.processes import program

EXAMPLES = Path(__file__).parent.parent / 'examples'
# Service: (backend servers, slots, connections), as in section 2 of docs/design.md.
SIZES = {
    'knetwerk': {'kursbuchung': (12, 8, 330), 'schulakten': (14, 9, 330)},
    'giratoires': {'sponsor-desk': (16, 6, 390), 'proof-room': (18, 6, 390)},
}


@pytest.mark.parametrize('name', sorted(SIZES))
class TestExamples:
    """Guard against examples that fail or differ from the current deployments."""

    def test_output_is_valid(self, name, tmp_path):
        """Operators start from an example, so it must be valid without changes."""
        printed = tmp_path / 'configuration.json'
        ran = _run(name, '0')
        printed.write_bytes(ran.stdout)
        checked = subprocess.run(
            program('cicadadoor', 'validate', str(printed)),
            capture_output=True,
            text=True,
            check=False,
        )
        assert checked.returncode == 0, checked.stderr
        # Example and `validate` must print the same digest.
        digest = ran.stderr.decode().removeprefix('digest: ').strip()
        assert checked.stdout == f'valid, digest {digest}\n'

    def test_output_has_the_sizes_of_the_current_deployments(self, name):
        """The examples must match the sizes that scenarios and benchmarks assume."""
        configuration = canonical.parse(_run(name, '0').stdout)
        assert not checks.find_errors(configuration)
        domains = Counter(
            domain.region for domain in configuration.topology.failure_domains
        )
        assert sorted(domains.values()) == [2, 2, 2]
        assert len(configuration.limits.organisations) == 8
        found = {
            service.name: (
                len(service.backend_servers),
                service.backend_servers[0].slots,
                service.backend_servers[0].connections,
            )
            for service in configuration.services
        }
        assert found == SIZES[name]
        for service in configuration.services:
            spread = Counter(
                server.failure_domain for server in service.backend_servers
            )
            assert len(spread) == 6
            assert max(spread.values()) - min(spread.values()) <= 1

    def test_printing_is_deterministic(self, name):
        """Reviews compare digests, so the output must not depend on the hash seed."""
        assert _run(name, '1').stdout == _run(name, '2').stdout


def _run(name: str, hash_seed: str) -> subprocess.CompletedProcess[bytes]:
    finished = subprocess.run(
        [sys.executable, str(EXAMPLES / f'{name}.py')],
        env={'PYTHONHASHSEED': hash_seed},
        capture_output=True,
        check=False,
    )
    assert finished.returncode == 0, finished.stderr
    return finished
