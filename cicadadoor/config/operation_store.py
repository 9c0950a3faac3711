"""Store shifts, holds and drains, and report conflicting changes."""

from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

from cicadadoor.config.fence import fence
from cicadadoor.config.operations import (
    DRAIN_KIND,
    HOLD_KIND,
    SHIFT_KIND,
    Drain,
    Hold,
    Shift,
)
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.json_decoding import decode_json
from cicadadoor.object_store.base import ObjectStore, StoredObject
from cicadadoor.object_store.writes import ObjectWriter

Operation = Shift | Hold | Drain
_OperationT = TypeVar('_OperationT', Shift, Hold, Drain)
_KINDS: dict[type, str] = {Shift: SHIFT_KIND, Hold: HOLD_KIND, Drain: DRAIN_KIND}


class StoredOperation(Generic[_OperationT]):
    """Hold an operation with its name and its store object."""

    __slots__ = ('name', 'operation', 'stored')

    def __init__(self, stored: StoredObject, operation: _OperationT) -> None:
        self.name = stored.name
        self.stored = stored
        self.operation = operation

    def describe(self) -> str:
        """Return a line with its kind, name, version, last change and author."""
        return (
            f'{self.stored.kind} {self.name!r} is at version {self.stored.version}: '
            f'{self.operation.change}, by {self.operation.changed_by}'
        )


class OperationStore(Generic[_OperationT]):
    """Read and write the operations of one type.

    After a change that must take precedence over automatic decisions, call `fence`:
    once it succeeds, no step that was planned without the change can be accepted.
    """

    def __init__(
        self,
        store: ObjectStore,
        writer: ObjectWriter,
        operation_type: type[_OperationT],
    ) -> None:
        self._store = store
        self._writer = writer
        self._operation_type = operation_type
        self._kind = _KINDS[operation_type]

    async def find(self, name: str) -> StoredOperation[_OperationT] | Failure:
        """Return one operation."""
        stored = await self._store.get(self._kind, name)
        return stored if isinstance(stored, Failure) else self._decode(stored)

    async def find_all(self) -> list[StoredOperation[_OperationT]] | Failure:
        """Return all operations of the type."""
        listed = await self._store.list(self._kind)
        if isinstance(listed, Failure):
            return listed
        found = []
        for stored in listed.objects:
            stored_operation = self._decode(stored)
            if isinstance(stored_operation, Failure):
                return stored_operation
            found.append(stored_operation)
        return found

    async def create(
        self, name: str, operation: _OperationT
    ) -> StoredOperation[_OperationT] | Failure:
        """Create an operation; STORE_CONFLICT describes the existing one."""
        body = msgspec.json.encode(operation)
        stored = await self._writer.create(self._kind, name, body)
        if isinstance(stored, Failure):
            return await self._explain_conflict(name, stored)
        return self._decode(stored)

    async def change(
        self,
        name: str,
        version: int,
        transform: Callable[[_OperationT], _OperationT | Failure],
    ) -> StoredOperation[_OperationT] | Failure:
        """Change the operation at a version; STORE_CONFLICT describes a newer one."""
        current = await self.find(name)
        if isinstance(current, Failure):
            return current
        if current.stored.version != version:
            return _version_conflict(current, version)
        changed = transform(current.operation)
        if isinstance(changed, Failure):
            return changed
        body = msgspec.json.encode(changed)
        stored = await self._writer.update(current.stored, body)
        if isinstance(stored, Failure):
            return await self._explain_conflict(name, stored)
        return self._decode(stored)

    async def delete(
        self, name: str, version: int
    ) -> StoredOperation[_OperationT] | Failure:
        """Delete the operation if it has the version, and return it."""
        current = await self.find(name)
        if isinstance(current, Failure):
            return current
        if current.stored.version != version:
            return _version_conflict(current, version)
        failure = await self._store.delete(self._kind, name, version)
        if failure is None:
            return current
        if failure.kind is not ErrorKind.STORE_OUTCOME_UNKNOWN:
            return await self._explain_conflict(name, failure)
        after = await self._store.get(self._kind, name)
        is_gone = isinstance(after, Failure) and (
            after.kind is ErrorKind.STORE_NOT_FOUND
        )
        return current if is_gone else failure

    async def fence(self) -> Failure | None:
        """Make every automatic change that was planned before this call fail."""
        failure = await fence(self._store, self._writer)
        if failure is None:
            return None
        return Failure(
            failure.kind,
            f'the change is recorded, but an earlier planned step may still run: '
            f'{failure.reason}',
        )

    async def _explain_conflict(self, name: str, failure: Failure) -> Failure:
        if failure.kind is not ErrorKind.STORE_CONFLICT:
            return failure
        current = await self.find(name)
        if isinstance(current, Failure):
            return failure
        return Failure(ErrorKind.STORE_CONFLICT, current.describe())

    def _decode(self, stored: StoredObject) -> StoredOperation[_OperationT] | Failure:
        try:
            operation = decode_json(stored.body, type=self._operation_type)
        except msgspec.MsgspecError as error:
            return Failure(
                ErrorKind.CONFIG_INVALID,
                f'{stored.kind} {stored.name!r} is malformed: {error}',
            )
        return StoredOperation(stored, operation)


def _version_conflict(current: StoredOperation, version: int) -> Failure:
    return Failure(
        ErrorKind.STORE_CONFLICT,
        f'{current.describe()}; the given version is {version}',
    )
