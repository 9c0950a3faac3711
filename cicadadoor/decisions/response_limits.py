"""Limit what a server may send in one response besides its body, and its status.

Protects against endless interim responses, header lines, chunks and chunk extensions:
the response is aborted once it exceeds the limit, not only at its deadline.
"""

import re

_STATUS_START = b'HTTP/1.'
_STATUS_LINE = re.compile(rb'HTTP/1\.[0-9] [0-9]{3}( |\r?$)')
_CONTINUATION_STARTS = (b' ', b'\t')
# Covers the head, the trailers and the framing of small chunks.
# A usual response as a whole is smaller.
MAX_OVERHEAD_BYTES = 65_536
# A long body may come in chunks of about ten bytes, so each of these body bytes
# allows one more byte of framing.
_BODY_BYTES_PER_OVERHEAD_BYTE = 8
# Requests never ask for an interim response (1xx).
_MAX_INTERIM_RESPONSES = 16
# Of final responses (RFC 9110, section 15). HTTP parsers let 600 to 999 pass.
_MIN_STATUS = 200
_MAX_STATUS = 599


class ResponseProgress:
    """Track the progress of one response."""

    __slots__ = ('_interim_responses', 'body_bytes', 'received_bytes')

    def __init__(self) -> None:
        self._interim_responses = 0
        self.body_bytes = 0
        self.received_bytes = 0

    def note_interim(self) -> None:
        """Count an interim response (1xx)."""
        self._interim_responses += 1

    def find_fault(self) -> str:
        """Return why the response must be aborted, or an empty string."""
        if self._interim_responses > _MAX_INTERIM_RESPONSES:
            return f'{self._interim_responses} interim responses (1xx)'
        overhead_bytes = self.received_bytes - self.body_bytes
        allowed_bytes = (
            MAX_OVERHEAD_BYTES + self.body_bytes // _BODY_BYTES_PER_OVERHEAD_BYTE
        )
        if overhead_bytes > allowed_bytes:
            return f'{overhead_bytes} bytes of head, trailers and chunk framing'
        return ''


def find_status_fault(status: int) -> str:
    """Return why a status belongs to no final response, or an empty string."""
    if _MIN_STATUS <= status <= _MAX_STATUS:
        return ''
    return f'status {status} is outside {_MIN_STATUS}..{_MAX_STATUS}'


def find_head_fault(unparsed: bytes) -> str:
    """Return why an incomplete response head is invalid, or an empty string."""
    if unparsed[: len(_STATUS_START)] != _STATUS_START[: len(unparsed)]:
        return 'no status line'
    first, *lines = unparsed.split(b'\n')
    if lines and not _STATUS_LINE.match(first):
        return 'no status line'
    # The last line may be incomplete.
    for line in lines[:-1]:
        if b':' not in line and not line.startswith(_CONTINUATION_STARTS):
            return 'a header line without a colon'
    return ''
