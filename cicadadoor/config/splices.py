"""Encode a changed section as the part that differs from its previous content."""

from collections.abc import Callable

import msgspec

from cicadadoor.errors import ErrorKind, Failure


class Splice(msgspec.Struct, frozen=True):
    """Replacement of the middle of the previous content."""

    kept_before_bytes: int
    kept_after_bytes: int
    middle: bytes


def make(before: bytes, after: bytes) -> Splice:
    """Return the splice that turns `before` into `after`."""
    shorter_bytes = min(len(before), len(after))
    head_bytes = _common_length(
        shorter_bytes, lambda size: before[:size] == after[:size]
    )
    tail_bytes = _common_length(
        shorter_bytes - head_bytes,
        lambda size: before[len(before) - size :] == after[len(after) - size :],
    )
    return Splice(head_bytes, tail_bytes, after[head_bytes : len(after) - tail_bytes])


def apply(before: bytes, splice: Splice) -> bytes | Failure:
    """Return the new content, or MESSAGE_INVALID if the splice does not fit."""
    kept_bytes = splice.kept_before_bytes + splice.kept_after_bytes
    lowest = min(splice.kept_before_bytes, splice.kept_after_bytes)
    if lowest < 0 or kept_bytes > len(before):
        return Failure(
            ErrorKind.MESSAGE_INVALID,
            f'splice keeps {splice.kept_before_bytes} and {splice.kept_after_bytes} '
            f'bytes of a base of {len(before)} bytes',
        )
    head = before[: splice.kept_before_bytes]
    tail = before[len(before) - splice.kept_after_bytes :]
    return head + splice.middle + tail


def _common_length(limit_bytes: int, is_same: Callable[[int], bool]) -> int:
    low = 0
    high = limit_bytes
    while low < high:
        middle = (low + high + 1) // 2
        if is_same(middle):
            low = middle
        else:
            high = middle - 1
    return low
