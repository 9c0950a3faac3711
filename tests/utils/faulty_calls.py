"""Inject faults at chosen calls of the object API."""

from cicadadoor.config.acceptance import ROOT_KIND
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.object_store.base import ObjectStore
from cicadadoor.object_store.memory import MemoryObjectStore

# 'lost': the call takes effect, but its answer is lost. 'late': the same, and a write
# takes effect only in deliver_late(). 'pause': on_pause() runs before the call.
FAULTS = ('unavailable', 'lost', 'late', 'crash_before', 'crash_after', 'pause')


class Crashed(Exception):  # noqa: N818
    """Simulate a crash of the calling process."""


class FaultyCalls(ObjectStore):
    """Forward calls to a store, with faults set per call number."""

    def __init__(self, inner: MemoryObjectStore, now_s) -> None:
        self.inner = inner
        self.calls = 0
        self.faults: dict[int, str] = {}
        self.is_down = False
        self.on_pause = None
        self.late = []
        self.roots = []
        self.root_times = []
        self.now_s = now_s

    async def get(self, kind, name):
        """Read one object."""
        return await self._call(self.inner.get, kind, name)

    async def list(self, kind):
        """Read all objects of a kind."""
        return await self._call(self.inner.list, kind)

    async def create(self, new_object):
        """Create an object."""
        return await self._call(self.inner.create, new_object, writes=True)

    async def update(self, new_object):
        """Update an object."""
        return await self._call(self.inner.update, new_object, writes=True)

    async def delete(self, kind, name, version):
        """Delete an object."""
        return await self._call(self.inner.delete, kind, name, version, writes=True)

    def watch(self, kind, since_version):
        """Watch the inner store, without faults."""
        return self.inner.watch(kind, since_version)

    async def deliver_late(self) -> None:
        """Apply the delayed writes."""
        while self.late:
            work, arguments = self.late.pop(0)
            await self._perform(work, arguments)

    async def _call(self, work, *arguments, writes=False):
        self.calls += 1
        fault = self.faults.get(self.calls)
        unavailable = Failure(ErrorKind.STORE_UNAVAILABLE, 'fault')
        if self.is_down or fault == 'unavailable':
            return unavailable
        if fault == 'crash_before':
            raise Crashed
        if fault == 'pause':
            await self.on_pause()
        if fault == 'late' and writes:
            self.late.append((work, arguments))
            return Failure(ErrorKind.STORE_OUTCOME_UNKNOWN, 'late')
        answer = await self._perform(work, arguments)
        if fault == 'crash_after':
            raise Crashed
        if fault in {'lost', 'late'}:
            lost = Failure(ErrorKind.STORE_OUTCOME_UNKNOWN, 'lost')
            return lost if writes else unavailable
        return answer

    async def _perform(self, work, arguments):
        answer = await work(*arguments)
        is_root = getattr(answer, 'kind', '') == ROOT_KIND
        if is_root and work == self.inner.update:
            self.roots.append(answer)
            self.root_times.append(self.now_s())
        return answer
