"""Limit how deeply the values in a JSON text are nested."""

import re

# Strings may contain brackets. Runs of brackets are matched together, as another writer
# may nest a megabyte of them.
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[{]+|[\]}]+', re.DOTALL)
_OPENING = frozenset(b'[{')
_CLOSING = frozenset(b']}')


def limit_nesting(encoded: bytes, max_depth: int) -> bytes:
    """Replace arrays and objects that are nested deeper than `max_depth` by null."""
    parts: list[bytes] = []
    kept_from = 0
    depth = 0
    for token in _TOKENS.finditer(encoded):
        kind, length = encoded[token.start()], token.end() - token.start()
        if kind in _OPENING:
            if depth <= max_depth < depth + length:
                cut = token.start() + max_depth - depth
                parts.extend((encoded[kept_from:cut], b'null'))
            depth += length
        elif kind in _CLOSING:
            if depth - length <= max_depth < depth:
                kept_from = token.start() + depth - max_depth
            depth -= length
    parts.append(encoded[kept_from:])
    return b''.join(parts)
