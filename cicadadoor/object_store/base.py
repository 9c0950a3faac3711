"""Define the interface of the platform's object API."""

import abc
from collections.abc import AsyncIterator
from enum import Enum, unique

import msgspec

from cicadadoor.errors import Failure

MAX_OBJECT_BYTES = 1_000_000


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one object; `writer` and `nonce` identify the write that made it."""

    kind: str
    name: str
    body: bytes
    version: int = 0
    writer: str = ''
    nonce: str = ''


@unique
class ChangeType(Enum):
    """Type of a change of an object."""

    PUT = 'put'
    DELETED = 'deleted'


class ChangeEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one change that a watch delivers."""

    change: ChangeType
    changed: StoredObject


class ObjectList(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all objects of a kind and the store version of the read."""

    version: int
    objects: list[StoredObject]


class ObjectStore(abc.ABC):
    """Call the platform's object API; every call returns a result or a failure."""

    @abc.abstractmethod
    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Return one object."""

    @abc.abstractmethod
    async def list(self, kind: str) -> ObjectList | Failure:
        """Return all objects of a kind."""

    @abc.abstractmethod
    async def create(self, new_object: StoredObject) -> StoredObject | Failure:
        """Create an object; it must not exist yet."""

    @abc.abstractmethod
    async def update(self, new_object: StoredObject) -> StoredObject | Failure:
        """Replace the object if it still has the version of `new_object`."""

    @abc.abstractmethod
    async def delete(self, kind: str, name: str, version: int) -> None | Failure:
        """Delete the object if it still has the version."""

    @abc.abstractmethod
    def watch(
        self,
        kind: str,
        since_version: int,
    ) -> AsyncIterator[ChangeEvent | Failure]:
        """Yield changes after the version; a failure ends the watch."""

    async def close(self) -> None:  # noqa: B027
        """Release connections."""
