"""A client that reads its answers at a steady rate."""

import asyncio
import socket
import time

_STEP_S = 0.05
_HEAD_END = b'\r\n\r\n'
# A client that gets nothing for this long gives up.
_SILENCE_S = 10.0


class SlowReader:
    """Send requests on one connection with a small window, and read slowly."""

    def __init__(self, receive_buffer_bytes: int) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
        self._socket.setblocking(False)
        self._loop = asyncio.get_running_loop()

    async def connect(self, address: tuple[str, int]) -> None:
        """Open the connection."""
        await self._loop.sock_connect(self._socket, address)

    async def send(self, request: bytes) -> None:
        """Send a request."""
        await self._loop.sock_sendall(self._socket, request)

    async def read(self, bytes_per_s: float) -> tuple[int, str]:
        """Read an answer; return the bytes read, and 'complete' or how it ended."""
        began_s = time.monotonic()
        head, size, expected = b'', 0, 0
        while not expected or size < expected:
            await asyncio.sleep(_STEP_S)
            allowed = int((time.monotonic() - began_s) * bytes_per_s) + 1
            try:
                part = await asyncio.wait_for(
                    self._loop.sock_recv(self._socket, max(1, allowed - size)),
                    _SILENCE_S,
                )
            except (OSError, TimeoutError) as error:
                return size, type(error).__name__
            if not part:
                return size, 'closed'
            size += len(part)
            if not expected:
                head += part
                expected = _find_size(head)
        return size, 'complete'

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


def _find_size(received: bytes) -> int:
    head, found, _ = received.partition(_HEAD_END)
    for line in head.lower().split(b'\r\n'):
        if found and line.startswith(b'content-length:'):
            return len(head) + len(_HEAD_END) + int(line.partition(b':')[2])
    return 0
