"""Determine the outcome of writes whose answer was lost."""

import msgspec

from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.ids import new_nonce
from cicadadoor.object_store.base import ObjectStore, StoredObject


class ObjectWriter:
    """Mark writes with a writer id and a nonce; read back when an answer is lost."""

    def __init__(self, store: ObjectStore, writer: str) -> None:
        self._store = store
        self._writer = writer

    async def create(self, kind: str, name: str, body: bytes) -> StoredObject | Failure:
        """Create an object; STORE_OUTCOME_UNKNOWN if reading back does not decide."""
        wanted = self._stamp(StoredObject(kind=kind, name=name, body=body))
        return await self._resolve_outcome(wanted, await self._store.create(wanted))

    async def update(
        self,
        present: StoredObject,
        body: bytes,
    ) -> StoredObject | Failure:
        """Replace the body if the object still has the version of `present`."""
        wanted = self._stamp(msgspec.structs.replace(present, body=body))
        return await self._resolve_outcome(wanted, await self._store.update(wanted))

    def _stamp(self, wanted: StoredObject) -> StoredObject:
        return msgspec.structs.replace(
            wanted,
            writer=self._writer,
            nonce=new_nonce(),
        )

    async def _resolve_outcome(
        self,
        wanted: StoredObject,
        answer: StoredObject | Failure,
    ) -> StoredObject | Failure:
        if isinstance(answer, StoredObject):
            return answer
        if answer.kind is not ErrorKind.STORE_OUTCOME_UNKNOWN:
            return answer
        # The write may have taken effect already or may do so after this read. Only a
        # different version from another writer proves that it no longer can.
        stored = await self._store.get(wanted.kind, wanted.name)
        if isinstance(stored, Failure):
            return answer
        if stored.nonce == wanted.nonce and stored.writer == wanted.writer:
            return stored
        if stored.version != wanted.version:
            return Failure(
                ErrorKind.STORE_CONFLICT,
                f'{wanted.kind}/{wanted.name} was changed by {stored.writer}',
            )
        return answer
