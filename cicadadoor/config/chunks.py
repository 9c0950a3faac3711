"""Split a configuration into sections that are addressed by their digest."""

from collections.abc import Container

import msgspec

from cicadadoor.config import model
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.ids import digest_of
from cicadadoor.json_decoding import decode_json

BLOCKS_PER_SECTION = 4096
BLOCK_SECTION_PREFIX = 'blocks/'

# Sections besides the client blocks. Keys are changed by commands of their own, not
# by an operator's program.
_TYPES: dict[str, type] = {
    'topology': model.Topology,
    'services': tuple[model.Service, ...],
    'organisations': model.OrganisationLimits,
    'keys': tuple[model.KeyRecord, ...],
    'weights': model.Weights,
}


def split(configuration: model.Configuration) -> dict[str, bytes]:
    """Return the content of each section in canonical form."""
    sections = {
        'topology': encode(configuration.topology),
        'services': encode(configuration.services),
        'organisations': encode(configuration.limits),
        'keys': encode(configuration.keys),
        'weights': encode(configuration.weights),
    }
    blocks = configuration.client_blocks
    for number, start in enumerate(range(0, len(blocks), BLOCKS_PER_SECTION)):
        part = blocks[start : start + BLOCKS_PER_SECTION]
        sections[f'{BLOCK_SECTION_PREFIX}{number:04d}'] = encode(part)
    return sections


def join(sections: dict[str, bytes]) -> model.Configuration | Failure:
    """Return the configuration of sections; CONFIG_INVALID names a malformed one."""
    decoded: dict[str, object] = {}
    blocks: list[model.ClientBlock] = []
    for name, content in sorted(sections.items()):
        part = decode(name, content)
        if isinstance(part, Failure):
            return part
        if name.startswith(BLOCK_SECTION_PREFIX):
            blocks.extend(part)
        else:
            decoded[name] = part
    missing = check_required_sections(decoded)
    if missing is not None:
        return missing
    return model.Configuration(
        format=model.FORMAT_VERSION,
        topology=decoded['topology'],
        services=decoded['services'],
        limits=decoded['organisations'],
        keys=decoded['keys'],
        weights=decoded['weights'],
        client_blocks=tuple(blocks),
    )


def check_required_sections(names: Container[str]) -> Failure | None:
    """Return CONFIG_INVALID if a required section is missing."""
    for name in _TYPES:
        if name not in names:
            return Failure(ErrorKind.CONFIG_INVALID, f'section {name!r} is missing')
    return None


def decode(name: str, content: bytes) -> object:
    """Decode one section; CONFIG_INVALID if it is malformed or unknown."""
    expected_type = _TYPES.get(name)
    if name.startswith(BLOCK_SECTION_PREFIX):
        expected_type = tuple[model.ClientBlock, ...]
    if expected_type is None:
        return Failure(ErrorKind.CONFIG_INVALID, f'section {name!r} is unknown')
    try:
        return decode_json(content, type=expected_type)
    except msgspec.MsgspecError as error:
        return Failure(ErrorKind.CONFIG_INVALID, f'section {name!r}: {error}')


def encode(part: object) -> bytes:
    """Encode a part as canonical JSON: sorted fields, no white space."""
    return msgspec.json.encode(part, order='sorted')


def digest_sections(section_digests: dict[str, str]) -> str:
    """Return the digest of a configuration, computed from its section digests."""
    lines = [f'{name} {digest}\n' for name, digest in sorted(section_digests.items())]
    return digest_of(''.join(lines).encode())


def digests(sections: dict[str, bytes]) -> dict[str, str]:
    """Return the digest of each section."""
    return {name: digest_of(content) for name, content in sections.items()}
