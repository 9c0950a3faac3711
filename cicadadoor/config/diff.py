"""Compare two configurations."""

import difflib

import msgspec

from cicadadoor.config.chunks import BLOCK_SECTION_PREFIX


def sections(current: dict[str, bytes], submitted: dict[str, bytes]) -> list[str]:
    """Return the differences as printable lines, section by section."""
    lines: list[str] = []
    for name in sorted(set(current) | set(submitted)):
        before = current.get(name)
        after = submitted.get(name)
        if before == after:
            continue
        if before is None:
            lines.append(f'section {name}: new')
        elif after is None:
            lines.append(f'section {name}: removed')
        else:
            lines.append(f'section {name}: changed')
            lines.extend(_changed_lines(name, before, after))
    return lines or ['no change']


def _changed_lines(name: str, before: bytes, after: bytes) -> list[str]:
    if name.startswith(BLOCK_SECTION_PREFIX):
        return _set_difference(before, after)
    compared = difflib.unified_diff(
        _pretty(before),
        _pretty(after),
        lineterm='',
        n=1,
    )
    return [f'  {line}' for line in list(compared)[2:]]


def _pretty(content: bytes) -> list[str]:
    return msgspec.json.format(content, indent=2).decode().splitlines()


def _set_difference(before: bytes, after: bytes) -> list[str]:
    old = {msgspec.json.encode(entry) for entry in msgspec.json.decode(before)}
    new = {msgspec.json.encode(entry) for entry in msgspec.json.decode(after)}
    removed = [f'  -{entry.decode()}' for entry in sorted(old - new)]
    added = [f'  +{entry.decode()}' for entry in sorted(new - old)]
    return removed + added
