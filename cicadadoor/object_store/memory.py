"""Store objects in memory, for tests and experiments."""

from collections.abc import AsyncIterator

import anyio
import msgspec

from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.object_store.base import (
    MAX_OBJECT_BYTES,
    ChangeEvent,
    ChangeType,
    ObjectList,
    ObjectStore,
    StoredObject,
)


class MemoryObjectStore(ObjectStore):
    """In-process implementation of the platform's object API."""

    def __init__(self) -> None:
        self.version = 0
        self.oldest_event_version = 0
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._events: list[ChangeEvent] = []
        self._changed = anyio.Event()

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Return one object."""
        found = self._objects.get((kind, name))
        if found is None:
            return Failure(ErrorKind.STORE_NOT_FOUND, f'{kind}/{name} does not exist')
        return found

    async def list(self, kind: str) -> ObjectList | Failure:
        """Return all objects of a kind, ordered by name."""
        of_kind = [
            stored
            for (stored_kind, _), stored in sorted(self._objects.items())
            if stored_kind == kind
        ]
        return ObjectList(version=self.version, objects=of_kind)

    async def create(self, new_object: StoredObject) -> StoredObject | Failure:
        """Create an object; it must not exist yet."""
        current = self._objects.get((new_object.kind, new_object.name))
        if current is not None:
            return Failure(
                ErrorKind.STORE_CONFLICT,
                f'{new_object.kind}/{new_object.name} exists at version '
                f'{current.version}',
            )
        return self._put(new_object)

    async def update(self, new_object: StoredObject) -> StoredObject | Failure:
        """Replace the object if it still has the version of `new_object`."""
        current = self._objects.get((new_object.kind, new_object.name))
        if current is None:
            return Failure(
                ErrorKind.STORE_NOT_FOUND,
                f'{new_object.kind}/{new_object.name} does not exist',
            )
        if current.version != new_object.version:
            return _version_conflict(
                new_object.kind, new_object.name, new_object.version, current.version
            )
        return self._put(new_object)

    async def delete(self, kind: str, name: str, version: int) -> None | Failure:
        """Delete the object if it still has the version."""
        current = self._objects.get((kind, name))
        if current is None:
            return Failure(ErrorKind.STORE_NOT_FOUND, f'{kind}/{name} does not exist')
        if current.version != version:
            return _version_conflict(kind, name, version, current.version)
        self._objects.pop((kind, name))
        self.version += 1
        deleted = msgspec.structs.replace(current, version=self.version)
        self._publish(ChangeEvent(change=ChangeType.DELETED, changed=deleted))
        return None

    async def watch(
        self,
        kind: str,
        since_version: int,
    ) -> AsyncIterator[ChangeEvent | Failure]:
        """Yield changes after the version; a failure ends the watch."""
        seen_version = since_version
        while True:
            if seen_version < self.oldest_event_version:
                yield Failure(
                    ErrorKind.STORE_COMPACTED,
                    f'changes after version {seen_version} were compacted; a watch can '
                    f'start from {self.oldest_event_version}; list the objects again',
                )
                return
            changed = self._changed
            for event in list(self._events):
                if event.changed.version <= seen_version:
                    continue
                seen_version = event.changed.version
                if event.changed.kind == kind:
                    yield event
            if changed is self._changed:
                await changed.wait()

    def compact(self) -> None:
        """Discard the change events stored so far."""
        self._events.clear()
        self.oldest_event_version = self.version

    def _put(self, new_object: StoredObject) -> StoredObject | Failure:
        if len(new_object.body) > MAX_OBJECT_BYTES:
            return Failure(
                ErrorKind.STORE_TOO_LARGE,
                f'{new_object.kind}/{new_object.name} has {len(new_object.body)} '
                f'bytes; at most {MAX_OBJECT_BYTES} are allowed',
            )
        self.version += 1
        stored = msgspec.structs.replace(new_object, version=self.version)
        self._objects[stored.kind, stored.name] = stored
        self._publish(ChangeEvent(change=ChangeType.PUT, changed=stored))
        return stored

    def _publish(self, event: ChangeEvent) -> None:
        self._events.append(event)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


def _version_conflict(kind: str, name: str, expected: int, current: int) -> Failure:
    return Failure(
        ErrorKind.STORE_CONFLICT,
        f'{kind}/{name} is at version {current}, expected {expected}',
    )
