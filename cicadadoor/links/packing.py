"""Compress section contents for transfer and storage."""

import zlib
from collections.abc import Iterator, Mapping

from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.object_store.base import MAX_OBJECT_BYTES

# Higher levels take several times as long and save only a few percent.
_COMPRESSION_LEVEL = 3


def pack(content: bytes) -> bytes:
    """Compress the content of a section."""
    return zlib.compress(content, _COMPRESSION_LEVEL)


def unpack(packed: bytes) -> bytes | Failure:
    """Decompress a section; MESSAGE_INVALID if malformed or over MAX_OBJECT_BYTES."""
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(packed, MAX_OBJECT_BYTES + 1)
    except zlib.error as error:
        return Failure(ErrorKind.MESSAGE_INVALID, f'malformed section: {error}')
    if len(content) > MAX_OBJECT_BYTES or not stream.eof:
        return Failure(ErrorKind.MESSAGE_INVALID, 'section is truncated or too large')
    return content


class PackedContents(Mapping[str, bytes]):
    """Map section names to contents, which are stored compressed."""

    __slots__ = ('_packed',)

    def __init__(self, packed: dict[str, bytes]) -> None:
        self._packed = packed

    @classmethod
    def from_contents(cls, contents: Mapping[str, bytes]) -> 'PackedContents':
        """Compress contents unless they are compressed already."""
        if isinstance(contents, PackedContents):
            return contents
        return cls({name: pack(content) for name, content in contents.items()})

    def __getitem__(self, name: str) -> bytes:
        content = unpack(self._packed[name])
        if isinstance(content, Failure):
            raise KeyError(name)
        return content

    def __iter__(self) -> Iterator[str]:
        return iter(self._packed)

    def __len__(self) -> int:
        return len(self._packed)

    def packed(self, name: str) -> bytes:
        """Return the compressed content."""
        return self._packed[name]

    def all_packed(self) -> dict[str, bytes]:
        """Return all compressed contents."""
        return dict(self._packed)

    def replaced(
        self,
        names: Mapping[str, str],
        changed: Mapping[str, bytes],
    ) -> 'PackedContents':
        """Return the contents of the named sections, with the changes applied."""
        packed = {name: pack(content) for name, content in changed.items()}
        for name in names:
            if name not in packed:
                packed[name] = self._packed[name]
        return PackedContents(packed)
