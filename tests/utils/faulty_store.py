"""Provide an in-memory object store with faults at chosen writes."""

from collections.abc import Awaitable, Callable
from enum import Enum, unique

from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.object_store.base import StoredObject
from cicadadoor.object_store.memory import MemoryObjectStore

Hook = Callable[[], Awaitable[object]]


@unique
class Fault(Enum):
    """List the faults of a write."""

    REFUSED = 'refused'
    ANSWER_LOST = 'answer_lost'
    WRITE_LOST = 'write_lost'
    # The write takes effect only in release().
    DELAYED = 'delayed'
    CRASH = 'crash'
    CRASH_AFTER = 'crash_after'


class CrashError(Exception):
    """Simulate a crash of the writer in the middle of an operation."""


class FaultyStore(MemoryObjectStore):
    """Behave like the platform, with faults set per write number."""

    def __init__(self) -> None:
        super().__init__()
        self.is_down = False
        self.writes = 0
        self.reads = 0
        self.faults: dict[int, Fault] = {}
        self.before_write: dict[int, Hook] = {}
        self.down_after_write: int | None = None
        self._held: list[tuple[str, StoredObject]] = []

    def reset(self) -> None:
        """Restart the write count at zero and clear all faults."""
        self.writes = 0
        self.faults = {}
        self.before_write = {}
        self.is_down = False
        self.down_after_write = None

    async def release(self) -> None:
        """Apply the delayed writes."""
        held, self._held = self._held, []
        for method, new_object in held:
            await getattr(super(), method)(new_object)

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Read one object."""
        self.reads += 1
        return _unavailable() if self.is_down else await super().get(kind, name)

    async def list(self, kind: str):
        """Read all objects of a kind."""
        return _unavailable() if self.is_down else await super().list(kind)

    async def create(self, new_object: StoredObject) -> StoredObject | Failure:
        """Write an object that must not exist yet."""
        return await self._write('create', new_object)

    async def update(self, new_object: StoredObject) -> StoredObject | Failure:
        """Replace the object whose version is the given one."""
        return await self._write('update', new_object)

    async def watch(self, kind: str, since_version: int):
        """Yield changes; an outage ends the watch."""
        async for event in super().watch(kind, since_version):
            if self.is_down:
                yield _unavailable()
                return
            yield event

    async def _write(self, method: str, new_object: StoredObject):
        number = self.writes
        self.writes += 1
        hook = self.before_write.pop(number, None)
        if hook is not None:
            await hook()
        if self.is_down:
            return _unavailable()
        fault = self.faults.get(number)
        if fault is Fault.REFUSED:
            return _unavailable()
        if fault is Fault.CRASH:
            raise CrashError
        unknown = Failure(ErrorKind.STORE_OUTCOME_UNKNOWN, 'no answer')
        if fault is Fault.WRITE_LOST:
            return unknown
        if fault is Fault.DELAYED:
            self._held.append((method, new_object))
            return unknown
        answer = await getattr(super(), method)(new_object)
        if number == self.down_after_write:
            self.is_down = True
        if fault is Fault.CRASH_AFTER:
            raise CrashError
        return unknown if fault is Fault.ANSWER_LOST else answer


def _unavailable() -> Failure:
    return Failure(ErrorKind.STORE_UNAVAILABLE, 'platform is down')
