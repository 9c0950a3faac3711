"""Run the scenario files with the real daemons."""

from pathlib import Path

import pytest

from tests.scenario_runner import load_scenario, run_scenario

FILES = sorted((Path(__file__).parent / 'scenarios').glob('*.json5'))


class TestScenarios:
    """Guard against the failure that each file names in `guards_against`."""

    @pytest.mark.parametrize('path', FILES, ids=lambda path: path.stem)
    def test_scenario_holds(self, path, tmp_path):
        """A fault must not cause lost, repeated or wrongly refused requests."""
        run_scenario(load_scenario(path), tmp_path)
