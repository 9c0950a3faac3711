"""Limit the bytes that a backend server sends before the end of a response head.

httpx skips interim responses (1xx) until the deadline, and parses 64 KB of them, about
4,000, in one step that blocks the event loop.
"""

from types import TracebackType
from typing import Any

import httpx

# The HTTP client itself rejects a single head that exceeds 100 KiB.
MAX_HEAD_BYTES = 131_072
# Parsed in one step, like about 250 interim responses.
_READ_BYTES = 4096


class HeadLimit:
    """Limit the bytes that a transport receives while the context is open.

    Replaces the private network backend of the transport, because httpx has no option
    for it and reports no event for an interim response.
    """

    def __init__(self, transport: httpx.AsyncHTTPTransport) -> None:
        pool: Any = transport._pool
        self._backend = pool._network_backend
        self._is_in_head = False
        self._received_bytes = 0
        pool._network_backend = self

    def __enter__(self) -> None:
        self._is_in_head = True
        self._received_bytes = 0

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._is_in_head = False

    async def connect_tcp(self, *args: Any, **options: Any) -> '_LimitedStream':
        """Connect as the replaced backend does."""
        return _LimitedStream(await self._backend.connect_tcp(*args, **options), self)

    def read_size(self, max_bytes: int) -> int:
        """Return how many bytes to read at once."""
        return min(max_bytes, _READ_BYTES) if self._is_in_head else max_bytes

    def count(self, received: bytes) -> None:
        """Raise httpx.RemoteProtocolError if the head exceeds the limit."""
        self._received_bytes += len(received)
        if self._is_in_head and self._received_bytes > MAX_HEAD_BYTES:
            raise httpx.RemoteProtocolError(
                f'no final response within {MAX_HEAD_BYTES} bytes'
            )


class _LimitedStream:
    """Count the bytes that a stream of the HTTP client receives."""

    def __init__(self, stream: Any, head_limit: HeadLimit) -> None:
        self._stream = stream
        self._head_limit = head_limit
        self.write = stream.write
        self.aclose = stream.aclose
        self.get_extra_info = stream.get_extra_info

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read bytes, fewer at once in a head."""
        received = await self._stream.read(
            self._head_limit.read_size(max_bytes), timeout
        )
        self._head_limit.count(received)
        return received

    async def start_tls(self, *args: Any, **options: Any) -> '_LimitedStream':
        """Return the encrypted stream, with the same limit."""
        encrypted = await self._stream.start_tls(*args, **options)
        return _LimitedStream(encrypted, self._head_limit)
