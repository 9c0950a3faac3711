"""Check that only the platform adapter uses the platform's names."""

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / 'cicadadoor'
MODULES = sorted(
    path for path in PACKAGE.rglob('*.py') if path.parent != PACKAGE / 'platform'
)
# Headers, fields, object kinds and paths of the platform that the rest of the package
# has its own terms for.
PLATFORM_NAMES = (
    'attempt-id',
    'affinity-key',
    'cold_per_s',
    'cold-ms',
    'deadline-ms',
    'instance-id',
    'not-executed',
    'response-signature',
    'route_type',
    'server-load',
    'session_affinity',
    'target-instance',
    'target_latency_ms',
    'traffic_split',
    'v1/objects',
    'v1/readyz',
    'v1/resolve',
)
MAX_ADAPTER_FRACTION = 0.1


class TestBoundary:
    """Check the size of the adapter and the names outside it."""

    @pytest.mark.parametrize('path', MODULES, ids=str)
    def test_module_does_not_use_names_of_the_platform(self, path):
        content = path.read_text(encoding='utf-8').lower()
        used = [
            name
            for name in PLATFORM_NAMES
            if re.search(rf'(?<![\w-]){re.escape(name)}', content)
        ]
        assert not used

    def test_adapter_stays_small(self):
        def count(paths) -> int:
            return sum(len(path.read_text().splitlines()) for path in paths)

        adapter = count((PACKAGE / 'platform').glob('*.py'))
        assert adapter <= MAX_ADAPTER_FRACTION * count(PACKAGE.rglob('*.py'))
