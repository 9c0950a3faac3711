"""Split a JSON text into its members or elements without decoding them."""

import re
from collections.abc import Iterator

import msgspec

# Strings may contain brackets and commas. Runs of brackets are matched together, as
# another writer may nest a megabyte of them.
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[{]+|[\]}]+|,', re.DOTALL)
_KEY = re.compile(rb'\s*("(?:[^"\\]|\\.)*+")\s*:', re.DOTALL)
_OPENING = frozenset(b'[{')
_CLOSING = frozenset(b']}')
_COMMA = ord(',')


def elements(encoded: bytes) -> list[bytes]:
    """Return the elements of an array, or none if it is not an array."""
    text = encoded.strip()
    if not text.startswith(b'[') or not text.endswith(b']'):
        return []
    return [part for part in _parts(text[1:-1]) if part]


def members(encoded: bytes) -> dict[str, bytes]:
    """Return the members of an object by name; the last one of a name counts."""
    text = encoded.strip()
    if not text.startswith(b'{') or not text.endswith(b'}'):
        return {}
    found: dict[str, bytes] = {}
    for part in _parts(text[1:-1]):
        key = _KEY.match(part)
        name = read_text(key.group(1)) if key else None
        if key and name is not None:
            found[name] = part[key.end() :].strip()
    return found


def read_text(encoded: bytes) -> str | None:
    """Return a string, or None if it is none that Unicode can represent."""
    try:
        return msgspec.json.decode(encoded, type=str)
    except (msgspec.MsgspecError, ValueError):
        return None


def _parts(inner: bytes) -> Iterator[bytes]:
    depth = 0
    part_start = 0
    for token in _TOKENS.finditer(inner):
        kind = inner[token.start()]
        if kind in _OPENING:
            depth += token.end() - token.start()
        elif kind in _CLOSING:
            depth -= token.end() - token.start()
        elif kind == _COMMA and depth == 0:
            yield inner[part_start : token.start()].strip()
            part_start = token.end()
    yield inner[part_start:].strip()
