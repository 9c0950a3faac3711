"""Send answers that no caller may take for a success."""

from collections.abc import Awaitable, Callable
from functools import partial

import anyio

from tests.utils.raw_server import RawConnection

# A path with this part asks for the kind of answer that follows it.
FAULTY_PATH = '/faulty/'
_PIECE = bytes(65_536)
_CHUNK = b'10000\r\n' + _PIECE + b'\r\n'
# Above the largest response that a host takes, so that it must end each answer.
_MAX_SENT_BYTES = 150_000_000
_MAX_SENDING_S = 8.0
_SIP_S = 0.05
_SIGNED = b'Attempt-Id: %b\r\nResponse-Signature: signed\r\n'
_OK = b'HTTP/1.1 200 OK\r\n' + _SIGNED
_UNFRAMED = _OK + b'Connection: close\r\n\r\n'
_CHUNKED = _OK + b'Transfer-Encoding: chunked\r\n\r\n'
_SIZED = _OK + b'Content-Length: 9000000\r\n\r\n'

_Send = Callable[[RawConnection, bytes], Awaitable[None]]


async def _repeat(
    head: bytes, piece: bytes, connection: RawConnection, attempt: bytes
) -> None:
    """Send the head, and the piece without end."""
    await connection.write(head.replace(b'%b', attempt))
    for _ in range(_MAX_SENT_BYTES // len(piece)):
        await connection.write(piece)


async def _drip(connection: RawConnection, attempt: bytes) -> None:
    await connection.write(_CHUNKED.replace(b'%b', attempt))
    while True:
        await connection.write(b'1\r\n0\r\n')
        await anyio.sleep(_SIP_S)


async def _cut(
    head: bytes, end: bytes, connection: RawConnection, attempt: bytes
) -> None:
    """Send a head and a part of the body, and close the connection."""
    await connection.write(head.replace(b'%b', attempt))
    for _ in range(16):
        await connection.write(_CHUNK if head == _CHUNKED else _PIECE)
    await connection.write(end)


async def _reset(connection: RawConnection, attempt: bytes) -> None:
    await _cut(_SIZED, b'', connection, attempt)
    connection.reset()


async def _cut_header(connection: RawConnection, attempt: bytes) -> None:
    await connection.write(_OK.replace(b'%b', attempt))


async def _short_status(connection: RawConnection, attempt: bytes) -> None:
    head = b'HTTP/1.1 000 X\r\n' + _SIGNED + b'Content-Length: 3\r\n\r\ni-0'
    await connection.write(head.replace(b'%b', attempt))


_SENDERS: dict[str, _Send] = {
    'endless-unframed': partial(_repeat, _UNFRAMED, _PIECE),
    'endless-chunked': partial(_repeat, _CHUNKED, _CHUNK),
    'endless-header': partial(_repeat, _OK + b'A: ', _PIECE),
    'endless-lines': partial(_repeat, _OK, b'A: b\r\n' * 8_000),
    'endless-interim': partial(
        _repeat, b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 2_000
    ),
    'endless-noise': partial(_repeat, b'', _PIECE),
    'endless-status-000': partial(
        _repeat, b'HTTP/1.1 000 X\r\n' + _SIGNED + b'Connection: close\r\n\r\n', _PIECE
    ),
    'endless-drip': _drip,
    'status-000': _short_status,
    'cut-sized': partial(_cut, _SIZED, b''),
    'cut-chunked': partial(_cut, _CHUNKED, b''),
    'cut-header': _cut_header,
    'garbled-chunk': partial(_cut, _CHUNKED, b'no chunk size\r\n'),
    'reset-sized': _reset,
}
# The bodies that fill the memory of a host come about as often as all other kinds.
LARGE_ANSWERS = ('endless-unframed', 'endless-chunked')
OTHER_ANSWERS = tuple(kind for kind in _SENDERS if kind not in LARGE_ANSWERS)


async def send_faulty(target: str, attempt: str, connection: RawConnection) -> None:
    """Send the answer that the target asks for, and close the connection."""
    sender = _SENDERS[target.rpartition('/')[2]]
    with anyio.move_on_after(_MAX_SENDING_S):
        await sender(connection, attempt.encode())
    if connection.is_open:
        connection.close()
