"""Test `cicadadoor explain` on log files."""

import pytest

from cicadadoor.cli.explain_command import explain
from cicadadoor.cli.output import Output
from cicadadoor.errors import ExitStatus

LINES = (
    'time=1 level=INFO part=policy event=policy_applied version=4 routes=2',
    'time=2 level=INFO part=backends event=backend_known backend_server=i-1',
    'time=2 level=INFO part=backends event=backend_known backend_server=i-2',
    'time=3 level=INFO part=dispatch event=attempt_failed request_id=a1 kind=reset',
    'time=4 level=INFO part=entry event=request_failed request_id=a1 '
    'outcome=outcome_unknown detail="i-1: closed" backend_servers=i-1',
    'time=5 level=INFO part=policy event=policy_applied version=5 routes=2',
)


@pytest.fixture
def log_file(tmp_path):
    path = tmp_path / 'host.log'
    path.write_text('\n'.join(LINES), encoding='utf-8')
    return str(path)


class TestExplain:
    """Check the output and the exit status of `cicadadoor explain`."""

    def test_attempts_and_outcome_are_printed(self, log_file, capsys):
        assert explain(Output(as_json=False), 'a1', (log_file,)) is ExitStatus.SUCCESS
        printed = capsys.readouterr().out
        assert 'kind=reset' in printed
        assert 'outcome=outcome_unknown' in printed

    def test_only_earlier_state_events_about_its_servers_are_printed(
        self, log_file, capsys
    ):
        explain(Output(as_json=False), 'a1', (log_file,))
        printed = capsys.readouterr().out
        assert 'version=4' in printed
        assert 'backend_server=i-1' in printed
        assert 'i-2' not in printed
        assert 'version=5' not in printed

    def test_request_that_is_in_no_file_is_reported(self, log_file, capsys):
        assert explain(Output(as_json=False), 'zz', (log_file,)) is ExitStatus.ERROR
        assert 'reached none of these hosts' in capsys.readouterr().err

    def test_dropped_lines_are_reported(self, tmp_path, capsys):
        path = tmp_path / 'host.log'
        path.write_text(
            f'{LINES[4]} dropped_before=7\n',
            encoding='utf-8',
        )
        explain(Output(as_json=False), 'zz', (str(path),))
        assert '7 request log lines were dropped' in capsys.readouterr().err

    def test_call_without_files_is_a_usage_error(self, capsys):
        assert explain(Output(as_json=False), 'a1', ()) is ExitStatus.USAGE

    def test_unreadable_file_is_named(self, tmp_path, capsys):
        name = str(tmp_path / 'missing.log')
        assert explain(Output(as_json=False), 'a1', (name,)) is ExitStatus.USAGE
        assert 'missing.log' in capsys.readouterr().err
