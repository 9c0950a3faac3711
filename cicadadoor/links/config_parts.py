"""Split a configuration delta into messages, and reassemble it."""

from collections.abc import Iterator, Mapping

from cicadadoor.config import splices
from cicadadoor.config.chunks import digest_sections
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.ids import digest_of
from cicadadoor.links.config_messages import ConfigDelta
from cicadadoor.links.messages import ConfigUpdate, Section
from cicadadoor.links.packing import PackedContents, unpack

# Leaves room for section names and digests below MAX_MESSAGE_BYTES.
PART_BYTES = 1_000_000


class Generation:
    """Hold one accepted generation with the content of its sections."""

    __slots__ = ('contents', 'digest', 'number', 'section_digests')

    def __init__(
        self,
        number: int,
        section_digests: dict[str, str],
        contents: Mapping[str, bytes],
    ) -> None:
        self.number = number
        self.section_digests = section_digests
        self.contents = PackedContents.from_contents(contents)
        self.digest = digest_sections(section_digests)


def apply_delta(current: Generation, delta: ConfigDelta) -> Generation | Failure:
    """Return the next generation; the current one is not modified.

    CONFIG_CONFLICT if the delta is not for the next generation, MESSAGE_INVALID if
    the result does not match its digests.
    """
    if delta.generation != current.number + 1:
        return Failure(
            ErrorKind.CONFIG_CONFLICT,
            f'generation {delta.generation} does not follow {current.number}',
        )
    digests = dict(current.section_digests)
    for name in delta.removed:
        digests.pop(name, None)
    changed: dict[str, bytes] = {}
    for name, change in delta.changes.items():
        old_content = current.contents[name] if name in current.section_digests else b''
        content = _apply_splice(name, old_content, change.digest, change.splice)
        if isinstance(content, Failure):
            return content
        digests[name] = change.digest
        changed[name] = content
    if digest_sections(digests) != delta.digest:
        return Failure(
            ErrorKind.MESSAGE_INVALID,
            f'generation {delta.generation}: the result does not match its digest',
        )
    contents = current.contents.replaced(digests, changed)
    return Generation(delta.generation, digests, contents)


def _apply_splice(
    name: str,
    old_content: bytes,
    digest: str,
    splice: splices.Splice | None,
) -> bytes | Failure:
    if splice is None:
        return Failure(ErrorKind.MESSAGE_INVALID, f'section {name!r} has no splice')
    content = splices.apply(old_content, splice)
    if not isinstance(content, Failure) and digest_of(content) != digest:
        return Failure(
            ErrorKind.MESSAGE_INVALID,
            f'section {name!r}: the content does not match its digest',
        )
    return content


def build_updates(
    generation: Generation,
    known_digests: dict[str, str],
    base_generation: int,
) -> Iterator[ConfigUpdate]:
    """Yield the messages that update a receiver to the generation."""
    wanted = {
        name: digest
        for name, digest in generation.section_digests.items()
        if known_digests.get(name) != digest
    }
    while True:
        sections = select_sections(generation, wanted)
        for name in sections:
            wanted.pop(name)
        yield ConfigUpdate(
            generation=generation.number,
            base_generation=base_generation,
            digest=generation.digest,
            section_digests=generation.section_digests,
            sections=sections,
        )
        if not wanted:
            return


def select_sections(
    generation: Generation,
    wanted: dict[str, str],
) -> dict[str, Section]:
    """Return as many of the wanted sections as fit into one message."""
    sections: dict[str, Section] = {}
    size_bytes = 0
    for name, digest in wanted.items():
        if generation.section_digests.get(name) != digest:
            continue
        content = generation.contents.packed(name)
        if sections and size_bytes + len(content) > PART_BYTES:
            break
        sections[name] = Section(digest, content)
        size_bytes += len(content)
    return sections


class GenerationAssembler:
    """Reassemble the newest generation received from its parts.

    The contents of unchanged sections are not needed, so a receiver does not have to
    store them.
    """

    def __init__(self) -> None:
        self._target: ConfigUpdate | None = None
        self._received: dict[str, bytes] = {}

    def add(
        self,
        update: ConfigUpdate,
        current_generation: int,
        current_digests: dict[str, str],
    ) -> Generation | Failure | None:
        """Return the generation with its new contents once complete, else None.

        A generation that is not newer than the current one, or whose content does not
        match its digests, is a failure.
        """
        failure = self._check(update, current_generation)
        if failure is None:
            failure = self._store_sections(update)
        if failure is not None:
            return failure
        for name, digest in update.section_digests.items():
            is_unchanged = current_digests.get(name) == digest
            if name not in self._received and not is_unchanged:
                return None
        contents = PackedContents(self._received)
        self._target = None
        self._received = {}
        return Generation(update.generation, update.section_digests, contents)

    def _check(
        self,
        update: ConfigUpdate,
        current_generation: int,
    ) -> Failure | None:
        if update.generation <= current_generation:
            return Failure(
                ErrorKind.CONFIG_CONFLICT,
                f'generation {update.generation} is not after {current_generation}',
            )
        if digest_sections(update.section_digests) != update.digest:
            return Failure(
                ErrorKind.MESSAGE_INVALID,
                f'generation {update.generation}: the digest does not match',
            )
        if self._target is None or update.generation > self._target.generation:
            self._target = update
            self._received = {}
        if update.digest != self._target.digest:
            return Failure(
                ErrorKind.MESSAGE_INVALID,
                f'generation {update.generation} differs from its earlier parts',
            )
        return None

    def _store_sections(self, update: ConfigUpdate) -> Failure | None:
        for name, section in update.sections.items():
            wanted = update.section_digests.get(name)
            content = check_section(name, section)
            if wanted != section.digest:
                content = Failure(
                    ErrorKind.MESSAGE_INVALID,
                    f'section {name!r} is not part of the generation',
                )
            if isinstance(content, Failure):
                return content
            self._received[name] = section.content
        return None


def check_section(name: str, section: Section) -> bytes | Failure:
    """Return the content; MESSAGE_INVALID if it does not match its digest."""
    content = unpack(section.content)
    if not isinstance(content, Failure) and digest_of(content) != section.digest:
        return Failure(
            ErrorKind.MESSAGE_INVALID,
            f'section {name!r}: the content does not match its digest',
        )
    return content
