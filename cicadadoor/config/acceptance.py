"""Read the accepted configuration from the platform and submit a new one."""

from collections.abc import Iterable

import msgspec

from cicadadoor.config import chunks, splices
from cicadadoor.config.merge import SectionEntry
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.ids import digest_of, new_nonce
from cicadadoor.json_decoding import decode_json
from cicadadoor.object_store.base import ObjectStore, StoredObject
from cicadadoor.object_store.writes import ObjectWriter

ROOT_KIND = 'config_root'
ROOT_NAME = 'root'
CHUNK_KIND = 'config_chunk'
GENERATION_KIND = 'config_generation'

# Splices above this total are left out and the new content is read from its chunk.
# The root is sent to every watch and has to stay small.
_ROOT_SPLICE_BYTES = 16_384
# How long a replaced generation can serve as a merge base and its chunks be read.
RETENTION_S = 3600.0
_MAX_DELETIONS_PER_SUBMISSION = 4
_CHUNK_ATTEMPTS = 3


class SectionChange(msgspec.Struct, frozen=True):
    """Hold the new digest of a section, and the splice to it if that is small."""

    digest: str
    splice: splices.Splice | None = None


class ConfigIndex(msgspec.Struct, frozen=True, kw_only=True):
    """List all sections of one generation."""

    sections: dict[str, SectionEntry]
    # Digest of the weights as last submitted. Shift steps change only the section, so
    # a later merge needs the submitted weights as its base.
    printed_weights: str = ''


class StoredRoot(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the digests of the accepted generation and its changes to the previous."""

    generation: int
    digest: str
    index_digest: str
    changes: dict[str, SectionChange]
    removed: tuple[str, ...]
    author: str
    submission: str
    wall_s: float
    oldest_generation: int


class GenerationRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a merge with a replaced generation needs."""

    index_digest: str
    author: str
    submission: str
    wall_s: float


class ConfigRoot:
    """Hold the accepted generation with its sections."""

    __slots__ = ('author', 'generation', 'index', 'section_digests', 'wall_s')

    def __init__(self, stored_root: StoredRoot, index: ConfigIndex) -> None:
        self.generation = stored_root.generation
        self.author = stored_root.author
        self.wall_s = stored_root.wall_s
        self.index = index
        self.section_digests = {
            name: entry.digest for name, entry in index.sections.items()
        }


class AcceptedRoot:
    """Hold the root, the store object that it was read from, and its decoded body."""

    __slots__ = ('root', 'stored', 'stored_root')

    def __init__(
        self,
        root: ConfigRoot,
        stored: StoredObject,
        stored_root: StoredRoot,
    ) -> None:
        self.root = root
        self.stored = stored
        self.stored_root = stored_root

    @property
    def digest(self) -> str:
        """Return the digest of the whole configuration."""
        return self.stored_root.digest


async def read_root(store: ObjectStore) -> AcceptedRoot | Failure:
    """Return the accepted root, or STORE_NOT_FOUND before the first submission."""
    stored = await store.get(ROOT_KIND, ROOT_NAME)
    if isinstance(stored, Failure):
        return stored
    stored_root = parse_root(stored)
    if isinstance(stored_root, Failure):
        return stored_root
    index = await read_index(store, stored_root.index_digest)
    if isinstance(index, Failure):
        return _chunk_failure(index, stored_root.index_digest)
    return AcceptedRoot(ConfigRoot(stored_root, index), stored, stored_root)


def parse_root(stored: StoredObject) -> StoredRoot | Failure:
    """Decode a stored root."""
    return _decode(stored.body, StoredRoot, 'root')


async def read_index(store: ObjectStore, digest: str) -> ConfigIndex | Failure:
    """Return the list of sections of a generation."""
    content = await read_chunk(store, digest)
    if isinstance(content, Failure):
        return content
    return _decode(content, ConfigIndex, 'index')


async def read_record(
    store: ObjectStore,
    generation: int,
) -> GenerationRecord | Failure:
    """Return the record of a replaced generation, or STORE_NOT_FOUND if it expired."""
    stored = await store.get(GENERATION_KIND, str(generation))
    if isinstance(stored, Failure):
        return stored
    return _decode(stored.body, GenerationRecord, 'generation record')


async def read_chunk(store: ObjectStore, digest: str) -> bytes | Failure:
    """Return a chunk, or CONFIG_INVALID if its content does not match its digest."""
    stored = await store.get(CHUNK_KIND, digest)
    if isinstance(stored, Failure):
        return stored
    if digest_of(stored.body) != digest:
        return Failure(
            ErrorKind.CONFIG_INVALID,
            f'chunk {digest}: the content does not match its digest; got '
            f'{digest_of(stored.body)}',
        )
    return stored.body


async def read_sections(
    store: ObjectStore,
    section_digests: dict[str, str],
) -> dict[str, bytes] | Failure:
    """Return the content of the named sections."""
    sections = {}
    for name, digest in section_digests.items():
        content = await read_chunk(store, digest)
        if isinstance(content, Failure):
            return _chunk_failure(content, digest)
        sections[name] = content
    return sections


class Submitter:
    """Write sections and make them the accepted configuration."""

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
        """Replace all sections if `base` is still the accepted generation."""
        current_digests = base.root.section_digests if base else {}
        new_digests = chunks.digests(sections)
        changed: dict[str, bytes | None] = {
            name: sections[name]
            for name, digest in new_digests.items()
            if current_digests.get(name) != digest
        }
        changed.update(
            {name: None for name in current_digests if name not in new_digests}
        )
        return await self.submit_changes(base, changed, author, wall_s)

    async def submit_changes(
        self,
        base: AcceptedRoot | None,
        changed: dict[str, bytes | None],
        author: str,
        wall_s: float,
        *,
        printed_weights: bytes | None = None,
        submission: str = '',
    ) -> AcceptedRoot | Failure:
        """Replace the changed sections if `base` is still the accepted generation.

        None as content removes a section. STORE_CONFLICT means that the submission
        was not accepted on this base and never will be. STORE_OUTCOME_UNKNOWN means
        that it was accepted or may still be.
        """
        old_index = base.root.index if base else ConfigIndex(sections={})
        number = base.root.generation + 1 if base else 1
        index = _next_index(old_index, changed, number, author, printed_weights)
        index_body = chunks.encode(index)
        contents = (*changed.values(), printed_weights, index_body)
        failure = await self._write_all(contents)
        if failure is not None:
            return failure
        changes = await self._describe_changes(old_index, changed)
        if isinstance(changes, Failure):
            return changes
        oldest = await self._archive_base(base, wall_s)
        if isinstance(oldest, Failure):
            return oldest
        stored_root = StoredRoot(
            generation=number,
            digest=chunks.digest_sections(
                {name: entry.digest for name, entry in index.sections.items()}
            ),
            index_digest=digest_of(index_body),
            changes=changes,
            removed=_removed_names(changed),
            author=author,
            submission=submission or new_nonce(),
            wall_s=wall_s,
            oldest_generation=oldest,
        )
        stored = await self._update_root(base, stored_root)
        if isinstance(stored, Failure):
            return stored
        return AcceptedRoot(ConfigRoot(stored_root, index), stored, stored_root)

    async def _update_root(
        self,
        base: AcceptedRoot | None,
        stored_root: StoredRoot,
    ) -> StoredObject | Failure:
        body = msgspec.json.encode(stored_root)
        if base is None:
            stored = await self._writer.create(ROOT_KIND, ROOT_NAME, body)
        else:
            stored = await self._writer.update(base.stored, body)
        if isinstance(stored, StoredObject):
            return stored
        if stored.kind is ErrorKind.STORE_CONFLICT:
            # The write may have succeeded, its answer been lost, and another
            # submission replaced the root since. The generation record then still
            # names this submission.
            return await self._resolve_conflict(stored_root, body, stored)
        return stored

    async def _resolve_conflict(
        self,
        stored_root: StoredRoot,
        body: bytes,
        conflict: Failure,
    ) -> StoredObject | Failure:
        outcome = await find_outcome(
            self._store,
            stored_root.submission,
            stored_root.generation,
        )
        if isinstance(outcome, Failure):
            return Failure(ErrorKind.STORE_OUTCOME_UNKNOWN, outcome.reason)
        if outcome:
            return StoredObject(kind=ROOT_KIND, name=ROOT_NAME, body=body)
        return conflict

    async def _write_all(self, contents: Iterable[bytes | None]) -> Failure | None:
        for content in contents:
            if content is None:
                continue
            failure = await self._write_chunk(digest_of(content), content)
            if failure is not None:
                return failure
        return None

    async def _write_chunk(self, digest: str, content: bytes) -> Failure | None:
        outcome: StoredObject | Failure | None = None
        for _ in range(_CHUNK_ATTEMPTS):
            outcome = await self._writer.create(CHUNK_KIND, digest, content)
            if isinstance(outcome, StoredObject):
                return None
            if outcome.kind is not ErrorKind.STORE_CONFLICT:
                continue
            # The chunk exists already. Writing it again gives it a new version, so that
            # a clean-up in progress, which deletes by version, does not remove it.
            outcome = await self._store.get(CHUNK_KIND, digest)
            if isinstance(outcome, StoredObject):
                outcome = await self._writer.update(outcome, content)
            if isinstance(outcome, StoredObject):
                return None
            if outcome.kind is ErrorKind.STORE_CONFLICT:
                # Another submission has just written the same content again.
                return None
        return _not_accepted_failure(outcome)

    async def _describe_changes(
        self,
        old_index: ConfigIndex,
        changed: dict[str, bytes | None],
    ) -> dict[str, SectionChange] | Failure:
        changes: dict[str, SectionChange] = {}
        left_bytes = _ROOT_SPLICE_BYTES
        for name, content in changed.items():
            if content is None:
                continue
            entry = old_index.sections.get(name)
            before = await read_chunk(self._store, entry.digest) if entry else b''
            if isinstance(before, Failure):
                return _chunk_failure(before, name)
            splice = splices.make(before, content)
            is_small = len(splice.middle) <= left_bytes
            if is_small:
                left_bytes -= len(splice.middle)
            changes[name] = SectionChange(
                digest_of(content),
                splice if is_small else None,
            )
        return changes

    async def _archive_base(
        self,
        base: AcceptedRoot | None,
        wall_s: float,
    ) -> int | Failure:
        if base is None:
            return 1
        failure = await self._write_generation_record(base)
        if failure is not None:
            return failure
        return await delete_expired_chunks(self._store, base.stored_root, wall_s)

    async def _write_generation_record(self, base: AcceptedRoot) -> Failure | None:
        # Written before the root is replaced, so that each replaced generation has a
        # record even if the submitter crashes in between.
        name = str(base.root.generation)
        body = msgspec.json.encode(
            GenerationRecord(
                index_digest=base.stored_root.index_digest,
                author=base.stored_root.author,
                submission=base.stored_root.submission,
                wall_s=base.stored_root.wall_s,
            )
        )
        stored = await self._writer.create(GENERATION_KIND, name, body)
        if isinstance(stored, Failure) and stored.kind is not ErrorKind.STORE_CONFLICT:
            return _not_accepted_failure(stored)
        return None


async def find_outcome(
    store: ObjectStore,
    submission: str,
    generation: int,
) -> bool | Failure:
    """Return whether a submission was accepted as the generation.

    STORE_OUTCOME_UNKNOWN while the root is older than the generation, since the write
    may still take effect.
    """
    stored = await store.get(ROOT_KIND, ROOT_NAME)
    if isinstance(stored, Failure):
        if stored.kind is not ErrorKind.STORE_NOT_FOUND:
            return stored
        return Failure(
            ErrorKind.STORE_OUTCOME_UNKNOWN,
            'no configuration has been accepted yet; the write may still take effect',
        )
    stored_root = parse_root(stored)
    if isinstance(stored_root, Failure):
        return stored_root
    if stored_root.generation < generation:
        return Failure(
            ErrorKind.STORE_OUTCOME_UNKNOWN,
            f'generation {stored_root.generation} is accepted; the write of generation '
            f'{generation} may still take effect',
        )
    if stored_root.generation == generation:
        return stored_root.submission == submission
    record = await read_record(store, generation)
    if isinstance(record, Failure):
        return record
    return record.submission == submission


async def delete_expired_chunks(
    store: ObjectStore, stored_root: StoredRoot, wall_s: float
) -> int:
    """Delete chunks used only by expired generations; return the oldest one kept.

    A chunk is deleted only if it has not been written since the generation was
    replaced: a submission that uses the content again writes a new version first.
    """
    oldest = stored_root.oldest_generation
    for number in range(oldest, oldest + _MAX_DELETIONS_PER_SUBMISSION):
        if number + 1 >= stored_root.generation:
            break
        successor = await read_record(store, number + 1)
        if isinstance(successor, Failure) or successor.wall_s > wall_s - RETENTION_S:
            break
        if not await _delete_generation(store, number, successor):
            break
        oldest = number + 1
    return oldest


async def _delete_generation(
    store: ObjectStore,
    number: int,
    successor: GenerationRecord,
) -> bool:
    stored = await store.get(GENERATION_KIND, str(number))
    if isinstance(stored, Failure):
        return stored.kind is ErrorKind.STORE_NOT_FOUND
    record = _decode(stored.body, GenerationRecord, 'generation record')
    if isinstance(record, Failure):
        return False
    old = await read_index(store, record.index_digest)
    new = await read_index(store, successor.index_digest)
    if isinstance(new, Failure):
        return False
    unused_digests = {record.index_digest}
    if isinstance(old, ConfigIndex):
        unused_digests.update(_chunk_digests(old))
    elif old.kind is not ErrorKind.STORE_NOT_FOUND:
        return False
    # The index is deleted last: after a crash it still lists the remaining chunks.
    for digest in sorted(
        unused_digests - _chunk_digests(new), key=record.index_digest.__eq__
    ):
        chunk = await store.get(CHUNK_KIND, digest)
        if isinstance(chunk, StoredObject) and chunk.version < stored.version:
            await store.delete(CHUNK_KIND, digest, chunk.version)
    await store.delete(GENERATION_KIND, str(number), stored.version)
    return True


def _chunk_digests(index: ConfigIndex) -> set[str]:
    digests = {entry.digest for entry in index.sections.values()}
    digests.add(index.printed_weights)
    return digests


def _next_index(
    old: ConfigIndex,
    changed: dict[str, bytes | None],
    generation: int,
    author: str,
    printed_weights: bytes | None,
) -> ConfigIndex:
    sections = dict(old.sections)
    for name, content in changed.items():
        if content is None:
            sections.pop(name, None)
            continue
        sections[name] = SectionEntry(
            digest=digest_of(content),
            generation=generation,
            author=author,
        )
    printed = old.printed_weights
    if printed_weights is not None:
        printed = digest_of(printed_weights)
    return ConfigIndex(sections=sections, printed_weights=printed)


def _removed_names(changed: dict[str, bytes | None]) -> tuple[str, ...]:
    return tuple(name for name, content in changed.items() if content is None)


def _not_accepted_failure(failure: Failure) -> Failure:
    # The root was not written yet. Whatever happened to the chunk or record, the
    # submission was not accepted.
    return Failure(
        ErrorKind.STORE_UNAVAILABLE,
        f'the submission was not accepted: {failure.reason}',
    )


def _chunk_failure(failure: Failure, name: str) -> Failure:
    if failure.kind is not ErrorKind.STORE_NOT_FOUND:
        return failure
    # Callers take STORE_NOT_FOUND to mean that no configuration was ever accepted.
    return Failure(
        ErrorKind.STORE_UNAVAILABLE,
        f'chunk {name} no longer exists: its generation expired; read the '
        'configuration again',
    )


def _decode(body: bytes, expected_type: type, label: str) -> object:
    try:
        return decode_json(body, type=expected_type)
    except msgspec.MsgspecError as error:
        return Failure(ErrorKind.CONFIG_INVALID, f'malformed {label}: {error}')
