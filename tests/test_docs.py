"""Compare the operators' documentation with the program."""

import re
from pathlib import Path

import pytest

from cicadadoor import settings
from cicadadoor.cli.commands import Commands
from cicadadoor.cli.context import Context
from cicadadoor.errors import ERROR_RESPONSES, ErrorKind

ROOT = Path(__file__).parent.parent
PAGES = ('README.md', 'docs/install.md', 'docs/operating.md')
COMMAND = re.compile(r'cicadadoor ((?:(?:key|shift|hold|drain) )?[a-z]+)\b(?![/.:])')


class TestPages:
    """Guard against outdated documentation."""

    @pytest.mark.parametrize('kind', ErrorKind)
    def test_each_error_kind_has_one_row_with_its_answer(self, kind):
        """Operators look up an error kind from a refusal in this table."""
        page = (ROOT / 'docs/operating.md').read_text(encoding='utf-8')
        answer = ERROR_RESPONSES[kind]
        row = f'| `{kind.value}` | {answer.status.value} | {answer.run.value} | '
        assert page.count(row) == 1
        assert page.count(f'| `{kind.value}` |') == 1

    @pytest.mark.parametrize('page', PAGES)
    def test_documented_commands_exist(self, page):
        """A documented command that does not exist delays operators in an incident."""
        commands = Commands(Context('', [], as_json=False))
        text = (ROOT / page).read_text(encoding='utf-8')
        for block in re.findall(r'```\n(.*?)```|`([^`\n]+)`', text, re.DOTALL):
            for name in COMMAND.findall(''.join(block)):
                found = commands
                for part in name.split():
                    found = getattr(found, part)
                assert callable(found)

    def test_example_settings_are_accepted(self, tmp_path):
        """Operators copy the example without changes, so it must load."""
        page = (ROOT / 'docs/install.md').read_text(encoding='utf-8')
        example = tmp_path / 'settings.json5'
        example.write_text(re.search(r'```json5\n(.*?)```', page, re.DOTALL)[1])
        loaded = settings.load(str(example))
        assert isinstance(loaded, settings.Settings), loaded

    def test_guarantees_name_tests_that_exist(self):
        """A guarantee whose test does not exist is not verified."""
        page = (ROOT / 'docs/GUARANTEES.md').read_text(encoding='utf-8')
        for name in re.findall(r'`(test_[a-z_]+)`', page):
            assert (ROOT / f'tests/{name}.py').is_file(), name
        for names in re.findall(r'scenarios? ((?:`[a-z_]+`(?:, )?)+)', page):
            for name in re.findall(r'`([a-z_]+)`', names):
                assert (ROOT / f'tests/scenarios/{name}.json5').is_file(), name
