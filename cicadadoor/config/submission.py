"""Merge an operator's submission with concurrent changes and submit the result."""

from collections.abc import Awaitable, Callable

from cicadadoor.config import acceptance, checks, chunks, merge, model
from cicadadoor.config.acceptance import AcceptedRoot, ConfigIndex, Submitter
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.ids import new_nonce
from cicadadoor.object_store.base import ObjectStore
from cicadadoor.object_store.writes import ObjectWriter

_MAX_ATTEMPTS = 8
WITHDRAWAL_KIND = 'withdrawal'


class Change:
    """Hold the sections that a submission changes relative to the accepted ones."""

    __slots__ = ('printed_weights', 'sections')

    def __init__(
        self,
        sections: dict[str, bytes | None],
        printed_weights: bytes | None = None,
    ) -> None:
        self.sections = sections
        self.printed_weights = printed_weights


class SubmissionResult:
    """Hold the outcome of a submission; `is_new` is False if nothing changed."""

    __slots__ = ('accepted', 'is_new')

    def __init__(self, accepted: AcceptedRoot, *, is_new: bool) -> None:
        self.accepted = accepted
        self.is_new = is_new


Prepare = Callable[[AcceptedRoot | None], Awaitable[Change | Failure]]


class Submission:
    """Submit one change; merge and retry when another submission was first."""

    def __init__(self, store: ObjectStore, author: str, wall_s: float) -> None:
        self.name = new_nonce()
        # The generation number of the last attempt to write.
        self.generation = 0
        self._store = store
        self._author = author
        self._wall_s = wall_s
        self._submitter = Submitter(store, ObjectWriter(store, self.name))

    async def submit(
        self,
        submitted: dict[str, bytes],
        base_generation: int,
    ) -> SubmissionResult | Failure:
        """Submit printed sections that were reviewed against the base generation.

        CONFIG_CONFLICT names the sections that were also changed since the base.
        """

        async def prepare(current: AcceptedRoot | None) -> Change | Failure:
            return await merge_submission(
                self._store, current, base_generation, submitted
            )

        return await self._submit_with_retries(prepare)

    async def grant(self, record: model.KeyRecord) -> SubmissionResult | Failure:
        """Add a key; CONFIG_CONFLICT if it was withdrawn or has another owner."""

        async def prepare(current: AcceptedRoot | None) -> Change | Failure:
            return await self._prepare_grant(current, record)

        return await self._submit_with_retries(prepare)

    async def remove_key(self, key_hash: str) -> SubmissionResult | Failure:
        """Remove a withdrawn key from the configuration."""

        async def prepare(current: AcceptedRoot | None) -> Change | Failure:
            records = await read_keys(self._store, current)
            if isinstance(records, Failure):
                return records
            return _replace_keys(
                record for record in records if record.key_hash != key_hash
            )

        return await self._submit_with_retries(prepare)

    async def _submit_with_retries(
        self, prepare: Prepare
    ) -> SubmissionResult | Failure:
        outcome: AcceptedRoot | Failure | None = None
        for _ in range(_MAX_ATTEMPTS):
            current = await read_accepted_root(self._store)
            if isinstance(current, Failure):
                return current
            change = await prepare(current)
            if isinstance(change, Failure):
                return change
            if current is not None and _changes_nothing(current, change):
                return SubmissionResult(current, is_new=False)
            self.generation = current.root.generation + 1 if current else 1
            outcome = await self._submitter.submit_changes(
                current,
                change.sections,
                self._author,
                self._wall_s,
                printed_weights=change.printed_weights,
                submission=self.name,
            )
            if isinstance(outcome, AcceptedRoot):
                return SubmissionResult(outcome, is_new=True)
            if outcome.kind is not ErrorKind.STORE_CONFLICT:
                return outcome
        return outcome

    async def _prepare_grant(
        self,
        current: AcceptedRoot | None,
        record: model.KeyRecord,
    ) -> Change | Failure:
        refused = await self._refuse_withdrawn(record.key_hash)
        if refused is not None:
            return refused
        records = await read_keys(self._store, current)
        if isinstance(records, Failure):
            return records
        limits = await read_part(self._store, current, 'organisations')
        if isinstance(limits, Failure):
            return limits
        names = sorted(entry.name for entry in limits.organisations)
        if record.organisation not in names:
            return Failure(
                ErrorKind.CONFIG_INVALID,
                f'organisation {record.organisation!r} does not exist; '
                f'known: {", ".join(names)}',
            )
        for known in records:
            if known.key_hash == record.key_hash and known != record:
                return Failure(
                    ErrorKind.CONFIG_CONFLICT,
                    f'key {record.key_hash[:8]} already belongs to organisation '
                    f'{known.organisation!r}; grant a new key',
                )
        return _replace_keys({*records, record})

    async def _refuse_withdrawn(self, key_hash: str) -> Failure | None:
        found = await self._store.get(WITHDRAWAL_KIND, key_hash)
        if not isinstance(found, Failure):
            return Failure(
                ErrorKind.CONFIG_CONFLICT,
                f'key {key_hash[:8]} was withdrawn and cannot be granted again; '
                'grant a new key',
            )
        return None if found.kind is ErrorKind.STORE_NOT_FOUND else found


async def read_accepted_root(store: ObjectStore) -> AcceptedRoot | Failure | None:
    """Return the accepted root, or None before the first submission."""
    found = await acceptance.read_root(store)
    if isinstance(found, Failure) and found.kind is ErrorKind.STORE_NOT_FOUND:
        return None
    return found


async def merge_submission(
    store: ObjectStore,
    current: AcceptedRoot | None,
    base_generation: int,
    submitted: dict[str, bytes],
) -> Change | Failure:
    """Return the changes of printed sections, merged with changes since the base."""
    printed = submitted[merge.WEIGHTS_SECTION]
    if current is None:
        if base_generation:
            return Failure(
                ErrorKind.CONFIG_CONFLICT,
                f'base {base_generation} does not exist: no configuration has been '
                'accepted yet; use base 0',
            )
        return Change(dict(submitted), printed)
    base = await _base_index(store, current, base_generation)
    if isinstance(base, Failure):
        return base
    weights = await _merge_weights(store, base, current, printed)
    if isinstance(weights, Failure):
        return weights
    entries = dict(current.root.index.sections)
    base_digests = {name: entry.digest for name, entry in base.sections.items()}
    submitted = dict(submitted)
    for name in (merge.KEYS_SECTION, merge.WEIGHTS_SECTION):
        submitted.pop(name)
        base_digests.pop(name, None)
    others = {
        name: entry for name, entry in entries.items() if name not in _SEPARATELY_MERGED
    }
    changed = merge.merge_sections(base_digests, others, submitted)
    if isinstance(changed, Failure):
        return changed
    changed[merge.WEIGHTS_SECTION] = weights
    failure = await _validate_merged(store, current, submitted, changed)
    return failure or Change(changed, printed)


_SEPARATELY_MERGED = frozenset((merge.KEYS_SECTION, merge.WEIGHTS_SECTION))


async def read_keys(
    store: ObjectStore,
    current: AcceptedRoot | None,
) -> tuple[model.KeyRecord, ...] | Failure:
    """Return the granted keys."""
    return await read_part(store, current, merge.KEYS_SECTION)


async def read_part(
    store: ObjectStore,
    current: AcceptedRoot | None,
    name: str,
) -> object:
    """Return one decoded section of the accepted configuration."""
    if current is None:
        return Failure(
            ErrorKind.CONFIG_INVALID,
            'no configuration has been accepted yet; submit one first',
        )
    digest = current.root.section_digests[name]
    found = await acceptance.read_sections(store, {name: digest})
    if isinstance(found, Failure):
        return found
    return chunks.decode(name, found[name])


async def _base_index(
    store: ObjectStore,
    current: AcceptedRoot,
    base_generation: int,
) -> ConfigIndex | Failure:
    number = current.root.generation
    if base_generation == number:
        return current.root.index
    if 0 < base_generation < number:
        record = await acceptance.read_record(store, base_generation)
        if isinstance(record, Failure):
            if record.kind is not ErrorKind.STORE_NOT_FOUND:
                return record
        else:
            return await acceptance.read_index(store, record.index_digest)
    return Failure(
        ErrorKind.CONFIG_CONFLICT,
        f'base {base_generation} does not exist or has expired; the accepted '
        f'generation is {number}, by {current.root.author}',
    )


async def _merge_weights(
    store: ObjectStore,
    base: ConfigIndex,
    current: AcceptedRoot,
    printed: bytes,
) -> bytes | Failure:
    # A base that was written by `Submitter.submit` has no printed weights.
    digest = base.printed_weights or base.sections[merge.WEIGHTS_SECTION].digest
    found = await acceptance.read_sections(
        store,
        {
            'base': digest,
            'current': current.root.section_digests[merge.WEIGHTS_SECTION],
        },
    )
    if isinstance(found, Failure):
        return found
    decoded = []
    for content in (found['base'], found['current'], printed):
        weights = merge.decode_weights(content)
        if isinstance(weights, Failure):
            return weights
        decoded.append(weights)
    merged = merge.merge_weights(*decoded)
    return merged if isinstance(merged, Failure) else chunks.encode(merged)


async def _validate_merged(
    store: ObjectStore,
    current: AcceptedRoot,
    submitted: dict[str, bytes],
    changed: dict[str, bytes | None],
) -> Failure | None:
    # Sections that are valid on their own can contradict each other after a merge,
    # such as a key whose organisation was removed.
    merged = {name: part for name, part in changed.items() if part is not None}
    missing: dict[str, str] = {}
    for name, digest in current.root.section_digests.items():
        if name in changed:
            continue
        if (
            name in submitted
            and chunks.digests({name: submitted[name]})[name] == digest
        ):
            merged[name] = submitted[name]
        else:
            missing[name] = digest
    found = await acceptance.read_sections(store, missing)
    if isinstance(found, Failure):
        return found
    configuration = chunks.join(merged | found)
    if isinstance(configuration, Failure):
        return configuration
    validation_errors = checks.find_errors(configuration)
    if validation_errors:
        return Failure(ErrorKind.CONFIG_INVALID, '; '.join(validation_errors))
    return None


def _changes_nothing(current: AcceptedRoot, change: Change) -> bool:
    digests = current.root.section_digests
    for name, content in change.sections.items():
        if content is None:
            return False
        if chunks.digests({name: content})[name] != digests.get(name):
            return False
    if change.printed_weights is None:
        return True
    printed = chunks.digests({'': change.printed_weights})['']
    return printed == current.root.index.printed_weights


def _replace_keys(records: object) -> Change:
    ordered = sorted(records, key=_key_hash)
    return Change({merge.KEYS_SECTION: chunks.encode(tuple(ordered))})


def _key_hash(record: model.KeyRecord) -> str:
    return record.key_hash
