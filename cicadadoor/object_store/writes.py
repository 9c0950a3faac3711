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
        new_object = self._stamp(StoredObject(kind=kind, name=name, body=body))
        return await self._resolve_outcome(
            new_object, await self._store.create(new_object)
        )

    async def update(
        self,
        current: StoredObject,
        body: bytes,
    ) -> StoredObject | Failure:
        """Replace the body if the object still has the version of `current`."""
        new_object = self._stamp(msgspec.structs.replace(current, body=body))
        return await self._resolve_outcome(
            new_object, await self._store.update(new_object)
        )

    def _stamp(self, new_object: StoredObject) -> StoredObject:
        return msgspec.structs.replace(
            new_object,
            writer=self._writer,
            nonce=new_nonce(),
        )

    async def _resolve_outcome(
        self,
        new_object: StoredObject,
        answer: StoredObject | Failure,
    ) -> StoredObject | Failure:
        if isinstance(answer, StoredObject):
            return answer
        if answer.kind is not ErrorKind.STORE_OUTCOME_UNKNOWN:
            return answer
        # The write may have taken effect already or may do so after this read. Only a
        # different version from another writer proves that it no longer can.
        stored = await self._store.get(new_object.kind, new_object.name)
        if isinstance(stored, Failure):
            return answer
        if stored.nonce == new_object.nonce and stored.writer == new_object.writer:
            return stored
        if stored.version != new_object.version:
            return Failure(
                ErrorKind.STORE_CONFLICT,
                f'{new_object.kind}/{new_object.name} was changed by {stored.writer}',
            )
        return answer
