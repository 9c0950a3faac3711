"""Test the commands for shifts, holds and drains, and races between operators."""

import anyio
import pytest

from cicadadoor.cli.output import Output
from cicadadoor.cli.steering_commands import (
    DrainCommands,
    HoldCommands,
    ShiftCommands,
)
from cicadadoor.config.acceptance import read_root
from cicadadoor.config.operations import Drain, Hold, Shift, ShiftState
from cicadadoor.errors import ExitStatus
from tests.utils.faulty_calls import FAULTS, Crashed
from tests.utils.planning import Planning

# fire passes numbers as text.
SHIFT_ARGUMENTS = {
    'service': 'kursbuchung',
    'source': 'm',
    'target': 'n',
    'step': '0.2',
}


class Operators:
    """Run commands as several operators."""

    def __init__(self, monkeypatch) -> None:
        self.planning = Planning()
        anyio.run(self.planning.start)
        self._monkeypatch = monkeypatch
        output = Output(as_json=False)
        self.shift = ShiftCommands(self._open, output)
        self.hold = HoldCommands(self._open, output)
        self.drain = DrainCommands(self._open, output)
        self.act_as('ann')

    def act_as(self, name: str) -> None:
        """Run the next commands as another operator."""
        self._monkeypatch.setenv('LOGNAME', name)

    def read_operation(self, wanted, name: str):
        """Return a stored operation."""
        return anyio.run(self.planning.operations(wanted).find, name)

    def drain_version(self, name: str) -> int:
        """Return the version of a drain."""
        return self.read_operation(Drain, name).stored.version

    def read_root_version(self) -> int:
        """Return the version of the root."""
        return anyio.run(read_root, self.planning.inner).stored.version

    def propose(self) -> int:
        """Create a shift, let a planner propose a step, and return its version."""
        assert self.shift.create('s', **SHIFT_ARGUMENTS) is ExitStatus.SUCCESS
        anyio.run(self.planning.run, 10)
        return self.read_operation(Shift, 's').stored.version

    def _open(self):
        return self.planning.store


@pytest.fixture
def operators(monkeypatch):
    """Return commands on a store with an accepted configuration."""
    return Operators(monkeypatch)


class TestShiftCommands:
    """No step runs without approval, and the loser of a race gets an error."""

    @pytest.mark.parametrize(
        ('fields', 'status', 'text'),
        [
            ({'step': 0.5}, ExitStatus.CONFLICT, 'at most 0.25'),
            ({'step': '0'}, ExitStatus.CONFLICT, 'above 0'),
            ({'step': 'x'}, ExitStatus.USAGE, "step: 'x'"),
            ({'keep': 'nan'}, ExitStatus.USAGE, "keep: 'nan'"),
            ({'target': 'x'}, ExitStatus.USAGE, "no region is named 'x'"),
            ({'target': 'm'}, ExitStatus.USAGE, 'same region'),
            ({'service': 'x'}, ExitStatus.USAGE, "no service is named 'x'"),
            ({'approval': 'x'}, ExitStatus.USAGE, 'manual'),
        ],
    )
    def test_invalid_shift_is_refused(self, operators, capsys, fields, status, text):
        assert operators.shift.create('s', **{**SHIFT_ARGUMENTS, **fields}) is status
        assert text in capsys.readouterr().err

    def test_approval_names_the_version(self, operators, capsys):
        version = operators.propose()
        operators.shift.list()
        shown = capsys.readouterr().out
        assert f'shift approve s {version}' in shown
        assert 'moves 0.200 of m' in shown
        assert operators.shift.approve('s', version) is ExitStatus.SUCCESS
        operators.act_as('bob')
        assert operators.shift.reject('s', version) is ExitStatus.CONFLICT
        message = capsys.readouterr().err
        assert 'step 1 is approved, by ann' in message
        assert 'shift list' in message

    def test_rejected_shift_cannot_be_approved(self, operators, capsys):
        version = operators.propose()
        assert operators.shift.reject('s', version) is ExitStatus.SUCCESS
        operators.act_as('bob')
        assert operators.shift.approve('s', version) is ExitStatus.CONFLICT
        assert 'rejected, by ann' in capsys.readouterr().err
        version = operators.read_operation(Shift, 's').stored.version
        assert operators.shift.approve('s', version) is ExitStatus.CONFLICT
        assert (
            operators.read_operation(Shift, 's').operation.state is ShiftState.REJECTED
        )

    def test_second_creator_sees_who_was_first(self, operators, capsys):
        operators.shift.create('s', **SHIFT_ARGUMENTS)
        operators.act_as('bob')
        assert operators.shift.create('s', **SHIFT_ARGUMENTS) is ExitStatus.CONFLICT
        assert 'created, by ann' in capsys.readouterr().err


class TestHoldCommands:
    """A hold that is reported as set is in force."""

    def test_second_holder_gets_a_conflict_and_the_hold_stays(self, operators, capsys):
        assert operators.hold.set('region', 'm', 'audit') is ExitStatus.SUCCESS
        assert operators.hold.set('region', 'm') is ExitStatus.SUCCESS
        operators.act_as('bob')
        assert operators.hold.set('region', 'm') is ExitStatus.CONFLICT
        assert 'held, by ann' in capsys.readouterr().err
        held = operators.read_operation(Hold, 'region.m')
        stale = held.stored.version - 1
        assert operators.hold.clear('region.m', stale) is ExitStatus.CONFLICT
        version = held.stored.version
        assert operators.hold.clear('region.m', version) is ExitStatus.SUCCESS

    @pytest.mark.parametrize('scope', ['failure_domain', 'x'])
    def test_unknown_scope_is_refused(self, operators, scope):
        assert operators.hold.set(scope, 'm-1') is ExitStatus.USAGE

    def test_platform_down_is_unavailable(self, operators):
        operators.planning.store.is_down = True
        assert operators.hold.set('region', 'm') is ExitStatus.UNAVAILABLE

    @pytest.mark.parametrize('fault', FAULTS[:-1])
    def test_success_means_in_force_at_every_fault(self, monkeypatch, fault):
        """Success implies an updated root, and a repeated command completes a hold."""
        for call in range(1, 12):
            operators = Operators(monkeypatch)
            store = operators.planning.store
            store.faults[store.calls + call] = fault
            before = operators.read_root_version()
            status = set_hold(operators)
            if status is ExitStatus.SUCCESS:
                assert operators.read_root_version() > before
            store.faults.clear()
            anyio.run(store.deliver_late)
            assert set_hold(operators) is ExitStatus.SUCCESS
            assert operators.read_operation(Hold, 'region.m').operation.author == 'ann'
            assert operators.read_root_version() > before


def set_hold(operators) -> ExitStatus | None:
    """Set a hold; return None if the command crashes."""
    try:
        return operators.hold.set('region', 'm')
    except Crashed:
        return None


class TestDrainCommands:
    """Held targets are not drained, and a target has one open drain at most."""

    def test_held_target_is_refused(self, operators, capsys):
        operators.hold.set('region', 'm')
        operators.act_as('bob')
        assert operators.drain.start('region', 'm') is ExitStatus.CONFLICT
        assert 'held, by ann; clear it first' in capsys.readouterr().err

    def test_second_drain_is_a_conflict_and_a_cancelled_one_starts_again(
        self,
        operators,
        capsys,
    ):
        server = ('backend_server', 'kb-m-1-0')
        assert operators.drain.start(*server) is ExitStatus.SUCCESS
        operators.act_as('bob')
        assert operators.drain.start(*server) is ExitStatus.CONFLICT
        assert 'started, by ann' in capsys.readouterr().err
        name = 'backend_server.kb-m-1-0'
        assert operators.drain.cancel(name, 1) is ExitStatus.CONFLICT
        operators.drain.list()
        assert 'leaving' in capsys.readouterr().out
        version = operators.drain_version(name)
        assert operators.drain.cancel(name, version) is ExitStatus.SUCCESS
        assert operators.drain.start(*server) is ExitStatus.SUCCESS
