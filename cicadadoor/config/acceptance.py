"""Read the accepted configuration from the platform and submit a new one."""

import msgspec

from cicadadoor.config import chunks
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.object_store.base import ObjectStore, StoredObject
from cicadadoor.object_store.writes import ObjectWriter

ROOT_KIND = 'config_root'
ROOT_NAME = 'root'
CHUNK_KIND = 'config_chunk'


class ConfigRoot(msgspec.Struct, frozen=True, kw_only=True):
    """Name the sections of the accepted generation."""

    generation: int
    section_digests: dict[str, str]
    author: str
    wall_s: float


class AcceptedRoot:
    """Hold the root and the object it was read from."""

    __slots__ = ('root', 'stored')

    def __init__(self, root: ConfigRoot, stored: StoredObject) -> None:
        self.root = root
        self.stored = stored

    @property
    def digest(self) -> str:
        """Return the digest of the whole configuration."""
        return chunks.digest_sections(self.root.section_digests)


async def read_root(store: ObjectStore) -> AcceptedRoot | Failure:
    """Read the accepted root; STORE_NOT_FOUND before the first submission."""
    stored = await store.get(ROOT_KIND, ROOT_NAME)
    if isinstance(stored, Failure):
        return stored
    return parse_root(stored)


def parse_root(stored: StoredObject) -> AcceptedRoot | Failure:
    """Decode a stored root."""
    try:
        root = msgspec.json.decode(stored.body, type=ConfigRoot)
    except msgspec.MsgspecError as error:
        return Failure(ErrorKind.CONFIG_INVALID, f'malformed root: {error}')
    return AcceptedRoot(root, stored)


async def read_sections(
    store: ObjectStore,
    section_digests: dict[str, str],
) -> dict[str, bytes] | Failure:
    """Read the content of the named sections."""
    sections = {}
    for name, digest in section_digests.items():
        stored = await store.get(CHUNK_KIND, digest)
        if isinstance(stored, Failure):
            return stored
        sections[name] = stored.body
    return sections


class Submitter:
    """Make a set of sections the accepted configuration."""

    def __init__(self, store: ObjectStore, writer: ObjectWriter) -> None:
        self._store = store
        self._writer = writer

    async def submit(
        self,
        base: AcceptedRoot | None,
        sections: dict[str, bytes],
        author: str,
        wall_s: float,
    ) -> AcceptedRoot | Failure:
        """Write the sections, then the root, if the base is still accepted."""
        section_digests = chunks.digests(sections)
        present = set(base.root.section_digests.values()) if base else set()
        for name, digest in section_digests.items():
            if digest in present:
                continue
            failure = await self._write_chunk(digest, sections[name])
            if failure is not None:
                return failure
        root = ConfigRoot(
            generation=base.root.generation + 1 if base else 1,
            section_digests=section_digests,
            author=author,
            wall_s=wall_s,
        )
        body = msgspec.json.encode(root)
        if base is None:
            stored = await self._writer.create(ROOT_KIND, ROOT_NAME, body)
        else:
            stored = await self._writer.update(base.stored, body)
        if isinstance(stored, Failure):
            return stored
        return AcceptedRoot(root, stored)

    async def _write_chunk(self, digest: str, content: bytes) -> Failure | None:
        stored = await self._writer.create(CHUNK_KIND, digest, content)
        if isinstance(stored, Failure) and stored.kind is not ErrorKind.STORE_CONFLICT:
            return stored
        # A conflict means that the same content is there already.
        return None
