"""Only the adapter knows the platform's names."""

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / 'cicadadoor'
MODULES = sorted(
    path for path in PACKAGE.rglob('*.py') if path.parent != PACKAGE / 'platform'
)
# Names of headers, fields, kinds and paths that say nothing in the project's words.
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
    """What stands where."""

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
