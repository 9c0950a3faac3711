"""Bound what one answer of a backend server may send beside its body.

Answers servers that send interim answers, header lines, chunks or chunk extensions
without end: the stream is given up after few bytes, not at the request's deadline.
"""

import re

_STATUS_START = b'HTTP/1.'
_STATUS_LINE = re.compile(rb'HTTP/1\.[0-9] [0-9]{3}( |\r?$)')
_CONTINUATION_STARTS = (b' ', b'\t')
# Head, trailers and the framing of small chunks; a whole answer of the usual size.
MAX_OVERHEAD_BYTES = 65_536
# A long body may come in chunks of some ten bytes: so many bytes of it allow one more
# byte of framing.
_BODY_BYTES_PER_OVERHEAD_BYTE = 8
# Requests never ask for an interim answer.
_MAX_INTERIM_ANSWERS = 16


class AnswerProgress:
    """Count what has come of one answer."""

    __slots__ = ('_interim_answers', 'body_bytes', 'received_bytes')

    def __init__(self) -> None:
        self._interim_answers = 0
        self.body_bytes = 0
        self.received_bytes = 0

    def note_interim(self) -> None:
        """Count an interim answer."""
        self._interim_answers += 1

    def find_fault(self) -> str:
        """Return why the answer is given up, or an empty text."""
        if self._interim_answers > _MAX_INTERIM_ANSWERS:
            return f'{self._interim_answers} interim answers'
        overhead_bytes = self.received_bytes - self.body_bytes
        allowed_bytes = (
            MAX_OVERHEAD_BYTES + self.body_bytes // _BODY_BYTES_PER_OVERHEAD_BYTE
        )
        if overhead_bytes > allowed_bytes:
            return f'{overhead_bytes} bytes that are not of its body'
        return ''


def find_head_fault(unparsed: bytes) -> str:
    """Return why an unfinished head can't become one, or an empty text."""
    if unparsed[: len(_STATUS_START)] != _STATUS_START[: len(unparsed)]:
        return 'no status line'
    first, *lines = unparsed.split(b'\n')
    if lines and not _STATUS_LINE.match(first):
        return 'no status line'
    # The last line may go on.
    for line in lines[:-1]:
        if b':' not in line and not line.startswith(_CONTINUATION_STARTS):
            return 'a header line without a colon'
    return ''
