"""Define the commands for shifts, holds and drains."""

import getpass
import math
import time
from collections.abc import Callable

import anyio
import msgspec

from cicadadoor.cli.context import parse_whole_number
from cicadadoor.cli.output import Output
from cicadadoor.config.acceptance import read_root, read_sections
from cicadadoor.config.chunks import decode
from cicadadoor.config.operation_store import OperationStore, StoredOperation
from cicadadoor.config.operations import (
    Approval,
    Drain,
    DrainState,
    Hold,
    Scope,
    Shift,
    ShiftState,
    operation_name,
)
from cicadadoor.decisions.weights import moved_share
from cicadadoor.errors import ErrorKind, ExitStatus, Failure
from cicadadoor.ids import new_instance_id
from cicadadoor.object_store.base import ObjectStore
from cicadadoor.object_store.writes import ObjectWriter
from cicadadoor.settings import parse_name

_HOLD_SCOPES = (Scope.SERVICE, Scope.REGION, Scope.BACKEND_SERVER)

StoreOpener = Callable[[], ObjectStore | Failure]


class _CommandGroup:
    """Base of the command groups; fire does not list private members as commands."""

    _operation_type: type

    def __init__(self, open_store: StoreOpener, output: Output) -> None:
        self._open_store = open_store
        self._output = output

    def _run(self, command: Callable[..., object], *arguments: object) -> ExitStatus:
        return anyio.run(self._run_with_store, command, *arguments)

    def _at_version(
        self,
        command: Callable[..., object],
        name: str,
        version: object,
        *arguments: object,
    ) -> ExitStatus:
        number = parse_whole_number('version', version)
        if isinstance(number, Failure):
            return self._output.fail(number)
        return self._run(command, name, number, *arguments)

    async def _run_with_store(
        self,
        command: Callable[..., object],
        *arguments: object,
    ) -> ExitStatus:
        store = self._open_store()
        if isinstance(store, Failure):
            return self._output.fail(store)
        try:
            return await command(store, *arguments)
        finally:
            await store.close()

    def _operations(self, store: ObjectStore) -> OperationStore:
        writer = ObjectWriter(store, new_instance_id())
        return OperationStore(store, writer, self._operation_type)

    async def _list(self, store: ObjectStore) -> ExitStatus:
        found = await self._operations(store).find_all()
        if isinstance(found, Failure):
            return self._output.fail(found)
        lines = [
            line
            for stored_operation in found
            for line in _operation_lines(stored_operation)
        ]
        listed = [
            {
                'name': stored_operation.name,
                'version': stored_operation.stored.version,
                **msgspec.to_builtins(stored_operation.operation),
            }
            for stored_operation in found
        ]
        self._output.result(lines or ['none'], listed=listed)
        return ExitStatus.SUCCESS

    def _finish(self, result: StoredOperation | Failure, advice: str) -> ExitStatus:
        if isinstance(result, Failure):
            return self._output.fail(result, advice)
        self._output.result(
            [result.describe()],
            name=result.name,
            version=result.stored.version,
        )
        return ExitStatus.SUCCESS

    async def _fence_and_finish(
        self,
        operations: OperationStore,
        result: StoredOperation | Failure,
        advice: str,
    ) -> ExitStatus:
        if not isinstance(result, Failure):
            failure = await operations.fence()
            if failure is not None:
                return self._output.fail(failure, 'run the command again')
        return self._finish(result, advice)


class ShiftCommands(_CommandGroup):
    """Move a service's traffic between regions in steps."""

    _operation_type = Shift

    def create(
        self,
        name: str,
        *,
        service: str,
        source: str,
        target: str,
        step: float,
        interval_s: float = 60,
        approval: str = 'manual',
        keep: float = 0,
    ) -> ExitStatus:
        """Create a shift; `keep` is the weight that stays at the source.

        With `--approval=automatic` steps need no approval.
        """
        numbers = _parse_numbers(step=step, interval_s=interval_s, keep=keep)
        if isinstance(numbers, Failure):
            return self._output.fail(numbers)
        approvals = [each.value for each in Approval]
        if approval not in approvals:
            text = f'approval {approval!r} is not one of {", ".join(approvals)}'
            return self._output.fail(Failure(ErrorKind.BAD_REQUEST, text))
        if parse_name(name) is None or numbers['keep'] >= 1:
            text = (
                f'name {name!r} or keep {keep} is invalid; use lower-case letters, '
                'digits and hyphens in the name, and a keep below 1'
            )
            return self._output.fail(Failure(ErrorKind.BAD_REQUEST, text))
        shift = Shift(
            **_creation_fields('created'),
            service=service,
            source=source,
            target=target,
            step_size=numbers['step'],
            interval_s=numbers['interval_s'],
            approval=Approval(approval),
            keep_weight=numbers['keep'],
        )
        return self._run(self._create, name, shift)

    def list(self) -> ExitStatus:
        """List all shifts with their versions, proposed steps and forecasts."""
        return self._run(self._list)

    def approve(self, name: str, version: int) -> ExitStatus:
        """Approve the proposed step if the shift is still at the version."""
        return self._at_version(self._change, name, version, _approved)

    def reject(self, name: str, version: int) -> ExitStatus:
        """End a shift; after success no further step is made."""
        return self._at_version(self._change, name, version, _rejected)

    async def _create(self, store: ObjectStore, name: str, shift: Shift) -> ExitStatus:
        failure = await _validate_shift(store, shift)
        if failure is not None:
            return self._output.fail(failure)
        result = await self._operations(store).create(name, shift)
        return self._finish(
            result, 'use another name; `shift list` prints the existing shifts'
        )

    async def _change(
        self,
        store: ObjectStore,
        name: str,
        version: int,
        transform: Callable[[Shift], Shift | Failure],
    ) -> ExitStatus:
        operations = self._operations(store)
        result = await operations.change(name, version, transform)
        advice = 'check `shift list` before you try again'
        if transform is _approved:
            return self._finish(result, advice)
        return await self._fence_and_finish(operations, result, advice)


class HoldCommands(_CommandGroup):
    """Stop automatic decisions about a service, region or backend server."""

    _operation_type = Hold

    def set(self, scope: str, target: str, reason: str = '') -> ExitStatus:
        """Hold a `service`, `region` or `backend_server`.

        After success no step that was planned before can be made.
        """
        parsed_scope = _parse_scope(scope, _HOLD_SCOPES)
        if isinstance(parsed_scope, Failure):
            return self._output.fail(parsed_scope)
        hold = Hold(
            **_creation_fields('held'), scope=parsed_scope, target=target, reason=reason
        )
        return self._run(self._set, operation_name(parsed_scope, target), hold)

    def clear(self, name: str, version: int) -> ExitStatus:
        """Remove a hold if it is still at the version."""
        return self._at_version(self._clear, name, version)

    def list(self) -> ExitStatus:
        """List all holds with their names and versions."""
        return self._run(self._list)

    async def _set(self, store: ObjectStore, name: str, hold: Hold) -> ExitStatus:
        failure = await _validate_target(store, hold.scope, hold.target)
        if failure is not None:
            return self._output.fail(failure)
        operations = self._operations(store)
        result = await operations.create(name, hold)
        advice = 'check `hold list`'
        if isinstance(result, Failure) and result.kind is ErrorKind.STORE_CONFLICT:
            # A hold exists, but the command that set it may have missed its fence.
            failure = await operations.fence()
            if failure is not None:
                return self._output.fail(failure, 'run the command again')
            advice = 'the hold of the other operator stays in force'
            current = await operations.find(name)
            if not isinstance(current, Failure):
                if current.operation.author == hold.author:
                    return self._finish(current, advice)
        return await self._fence_and_finish(operations, result, advice)

    async def _clear(self, store: ObjectStore, name: str, version: int) -> ExitStatus:
        result = await self._operations(store).delete(name, version)
        if isinstance(result, Failure):
            return self._output.fail(result, 'check `hold list` before you try again')
        self._output.result([f'hold {name!r} is cleared'], name=name)
        return ExitStatus.SUCCESS


class DrainCommands(_CommandGroup):
    """Drain a backend server, failure domain, region or service."""

    _operation_type = Drain

    def start(self, scope: str, target: str, within_s: float = 600) -> ExitStatus:
        """Send no new requests to a target and wait for requests in flight.

        `scope` is `backend_server`, `failure_domain`, `region` or `service`. After
        `within_s` seconds the drain ends and reports what is left.
        """
        parsed_scope = _parse_scope(scope, tuple(Scope))
        if isinstance(parsed_scope, Failure):
            return self._output.fail(parsed_scope)
        numbers = _parse_numbers(within_s=within_s)
        if isinstance(numbers, Failure):
            return self._output.fail(numbers)
        is_gradual = parsed_scope in {Scope.REGION, Scope.FAILURE_DOMAIN}
        drain = Drain(
            **_creation_fields('started'),
            scope=parsed_scope,
            target=target,
            deadline_wall_s=time.time() + numbers['within_s'],
            state=DrainState.SHIFTING if is_gradual else DrainState.LEAVING,
        )
        return self._run(self._start, operation_name(parsed_scope, target), drain)

    def cancel(self, name: str, version: int) -> ExitStatus:
        """Send traffic to a target again if the drain is still at the version."""
        return self._at_version(self._cancel, name, version)

    def list(self) -> ExitStatus:
        """List all drains with their states and what is left to drain."""
        return self._run(self._list)

    async def _start(self, store: ObjectStore, name: str, drain: Drain) -> ExitStatus:
        failure = await _validate_target(store, drain.scope, drain.target)
        held = await _check_not_held(store, drain)
        if failure is not None or held is not None:
            return self._output.fail(failure or held)
        operations = self._operations(store)
        advice = 'check `drain list`'
        current = await operations.find(name)
        if isinstance(current, Failure):
            if current.kind is not ErrorKind.STORE_NOT_FOUND:
                return self._output.fail(current)
            return self._finish(await operations.create(name, drain), advice)
        if current.operation.is_open:
            failure = Failure(ErrorKind.STORE_CONFLICT, current.describe())
            return self._output.fail(
                failure, 'the drain is in progress; `drain list` shows it'
            )
        version = current.stored.version
        result = await operations.change(name, version, lambda _: drain)
        return self._finish(result, advice)

    async def _cancel(self, store: ObjectStore, name: str, version: int) -> ExitStatus:
        operations = self._operations(store)
        result = await operations.change(name, version, _cancelled)
        advice = 'check `drain list` before you try again'
        return await self._fence_and_finish(operations, result, advice)


def _approved(shift: Shift) -> Shift | Failure:
    if shift.state is not ShiftState.PROPOSED or shift.proposal is None:
        text = f'no step is proposed for approval; the shift is {shift.state.value}'
        return Failure(ErrorKind.STORE_CONFLICT, f'{text}, by {shift.changed_by}')
    change = f'step {shift.proposal.number} is approved'
    return msgspec.structs.replace(
        shift,
        **_change_fields(change),
        state=ShiftState.APPROVED,
        waits_for='',
    )


def _rejected(shift: Shift) -> Shift | Failure:
    if not shift.is_open:
        text = f'the shift is {shift.state.value}, by {shift.changed_by}'
        return Failure(ErrorKind.STORE_CONFLICT, text)
    return msgspec.structs.replace(
        shift,
        **_change_fields('rejected'),
        state=ShiftState.REJECTED,
        proposal=None,
    )


def _cancelled(drain: Drain) -> Drain:
    return msgspec.structs.replace(
        drain,
        **_change_fields('cancelled'),
        state=DrainState.CANCELLED,
    )


def _change_fields(change: str) -> dict[str, object]:
    return {
        'changed_by': getpass.getuser(),
        'change': change,
        'wall_s': time.time(),
    }


def _creation_fields(change: str) -> dict[str, object]:
    return {'author': getpass.getuser(), **_change_fields(change)}


def _parse_numbers(**given: object) -> dict[str, float] | Failure:
    """Parse finite numbers of 0 or more that fire passes as text."""
    numbers = {}
    for name, text in given.items():
        try:
            numbers[name] = float(text)
        except ValueError:
            numbers[name] = -1.0
        if not 0 <= numbers[name] < math.inf:
            return Failure(
                ErrorKind.BAD_REQUEST,
                f'{name}: {text!r} must be a number of 0 or more',
            )
    return numbers


def _parse_scope(given: str, allowed: tuple[Scope, ...]) -> Scope | Failure:
    values = {scope.value: scope for scope in allowed}
    if given in values:
        return values[given]
    text = f'{given!r} is not one of {", ".join(values)}'
    return Failure(ErrorKind.BAD_REQUEST, text)


async def _validate_shift(store: ObjectStore, shift: Shift) -> Failure | None:
    for scope, target in (
        (Scope.SERVICE, shift.service),
        (Scope.REGION, shift.source),
        (Scope.REGION, shift.target),
    ):
        failure = await _validate_target(store, scope, target)
        if failure is not None:
            return failure
    if shift.source == shift.target:
        return Failure(
            ErrorKind.BAD_REQUEST,
            f'source and target are the same region {shift.source!r}',
        )
    weights = await _read_section(store, 'weights')
    if isinstance(weights, Failure):
        return weights
    if 0 < shift.step_size <= weights.max_step:
        return None
    return Failure(
        ErrorKind.CAP_EXCEEDED,
        f'step {shift.step_size} must be above 0 and at most {weights.max_step}, the '
        'max_step of the accepted configuration',
    )


async def _validate_target(
    store: ObjectStore, scope: Scope, target: str
) -> Failure | None:
    topology = await _read_section(store, 'topology')
    services = await _read_section(store, 'services')
    for part in (topology, services):
        if isinstance(part, Failure):
            return part
    names = {
        Scope.REGION: [region.name for region in topology.regions],
        Scope.FAILURE_DOMAIN: [domain.name for domain in topology.failure_domains],
        Scope.SERVICE: [service.name for service in services],
        Scope.BACKEND_SERVER: [
            server.name for service in services for server in service.backend_servers
        ],
    }
    if target in names[scope]:
        return None
    return Failure(ErrorKind.BAD_REQUEST, f'no {scope.value} is named {target!r}')


async def _check_not_held(store: ObjectStore, drain: Drain) -> Failure | None:
    holds = OperationStore(store, ObjectWriter(store, ''), Hold)
    found = await holds.find_all()
    if isinstance(found, Failure):
        return found
    for stored_operation in found:
        hold = stored_operation.operation
        if (hold.scope, hold.target) == (drain.scope, drain.target):
            text = f'{stored_operation.describe()}; clear it first'
            return Failure(ErrorKind.OPERATION_HELD, text)
    return None


async def _read_section(store: ObjectStore, name: str) -> object:
    accepted = await read_root(store)
    if isinstance(accepted, Failure):
        return accepted
    digest = accepted.root.section_digests[name]
    sections = await read_sections(store, {name: digest})
    if isinstance(sections, Failure):
        return sections
    return decode(name, sections[name])


def _operation_lines(stored_operation: StoredOperation) -> list[str]:
    operation = stored_operation.operation
    lines = [stored_operation.describe()]
    if isinstance(operation, Shift):
        lines.append(
            f'  {operation.service} from {operation.source} to {operation.target}: '
            f'{operation.state.value}, {operation.steps_done} steps made, '
            f'{operation.approval.value}'
        )
        if operation.waits_for:
            lines.append(f'  waits for {operation.waits_for}')
        lines.extend(
            _proposal_lines(
                stored_operation.name, stored_operation.stored.version, operation
            )
        )
    elif isinstance(operation, Drain):
        left = f', {operation.left}' if operation.left else ''
        lines.append(f'  {operation.state.value}{left}')
    elif operation.reason:
        lines.append(f'  {operation.reason}')
    return lines


def _proposal_lines(name: str, version: int, shift: Shift) -> list[str]:
    step = shift.proposal
    if step is None:
        return []
    lines = []
    for home, before in step.before.items():
        share = moved_share(before, step.after[home], home)
        lines.append(f'  step {step.number} moves {share:.3f} of {home}')
    forecast = step.forecast
    lines.append(
        f'  forecast in slots: {forecast.receiver_load:.1f} in use at the target, '
        f'{forecast.moved_load:.1f} moved, {forecast.failure_share:.1f} if another '
        f'region fails, limit {forecast.limit:.1f}; measured {forecast.age_s:.1f} s '
        'before the proposal'
    )
    if shift.state is ShiftState.PROPOSED:
        lines.append(f'  approve it with `cicadadoor shift approve {name} {version}`')
    return lines
