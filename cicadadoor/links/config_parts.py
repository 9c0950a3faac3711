"""Split a configuration delta into messages, and put it together again."""

from collections.abc import Iterator

from cicadadoor.config.chunks import digest_sections
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.ids import digest_of
from cicadadoor.links.messages import ConfigUpdate, Section

# Leaves room for section names and digests below MAX_MESSAGE_BYTES.
_PART_BYTES = 1_000_000


class Generation:
    """Hold one accepted generation with the content of its sections."""

    __slots__ = ('contents', 'number', 'section_digests')

    def __init__(
        self,
        number: int,
        section_digests: dict[str, str],
        contents: dict[str, bytes],
    ) -> None:
        self.number = number
        self.section_digests = section_digests
        self.contents = contents

    @property
    def digest(self) -> str:
        """Return the digest of the whole configuration."""
        return digest_sections(self.section_digests)


def parts_of(
    generation: Generation,
    have_digests: dict[str, str],
    base_generation: int,
) -> Iterator[ConfigUpdate]:
    """Yield the messages that bring a receiver to the generation."""
    wanted = [
        name
        for name, digest in generation.section_digests.items()
        if have_digests.get(name) != digest
    ]
    sections: dict[str, Section] = {}
    size_bytes = 0
    for name in wanted:
        content = generation.contents[name]
        if sections and size_bytes + len(content) > _PART_BYTES:
            yield _part(generation, base_generation, sections)
            sections = {}
            size_bytes = 0
        sections[name] = Section(generation.section_digests[name], content)
        size_bytes += len(content)
    yield _part(generation, base_generation, sections)


def _part(
    generation: Generation,
    base_generation: int,
    sections: dict[str, Section],
) -> ConfigUpdate:
    return ConfigUpdate(
        generation=generation.number,
        base_generation=base_generation,
        digest=generation.digest,
        section_digests=generation.section_digests,
        sections=sections,
    )


class Assembler:
    """Collect the parts of the newest generation seen."""

    def __init__(self) -> None:
        self._target: ConfigUpdate | None = None
        self._received: dict[str, bytes] = {}

    def add(
        self,
        update: ConfigUpdate,
        present: Generation | None,
    ) -> Generation | Failure | None:
        """Return the generation once it is complete, None until then.

        A lower generation than the present one, or one whose content does not
        match its digests, is a failure.
        """
        present_number = present.number if present else 0
        if update.generation <= present_number:
            return Failure(
                ErrorKind.CONFIG_CONFLICT,
                f'generation {update.generation} is not above {present_number}',
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
                f'generation {update.generation} differs from the one in progress',
            )
        failure = self._take(update)
        if failure is not None:
            return failure
        return self._complete(present)

    def _take(self, update: ConfigUpdate) -> Failure | None:
        for name, section in update.sections.items():
            wanted = update.section_digests.get(name)
            if wanted != section.digest or digest_of(section.content) != wanted:
                return Failure(
                    ErrorKind.MESSAGE_INVALID,
                    f'section {name!r}: the content does not match its digest',
                )
            self._received[name] = section.content
        return None

    def _complete(self, present: Generation | None) -> Generation | None:
        if self._target is None:
            return None
        contents: dict[str, bytes] = {}
        for name, digest in self._target.section_digests.items():
            content = self._received.get(name)
            if content is None and present is not None:
                if present.section_digests.get(name) == digest:
                    content = present.contents[name]
            if content is None:
                return None
            contents[name] = content
        complete = Generation(
            self._target.generation,
            self._target.section_digests,
            contents,
        )
        self._target = None
        self._received = {}
        return complete
