"""Stand in for a backend server of gates that sends without end.

Run `python -m tests.utils.endless_server IP:PORT`. The last part of a path names what
is sent; an unknown one is answered at once.
"""

import sys

import anyio

from tests.utils.raw_server import RawConnection, RawRequest, serving

_HEAD = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
_PIECE = bytes(65_536)
# What is sent once, and what is then sent without end.
ENDLESS = {
    'head': (_HEAD + b'A: ', _PIECE),
    'garbage': (b'', _PIECE),
    'interim': (b'', b'HTTP/1.1 102 X\r\n\r\n' * 4096),
    'trailer': (_CHUNKED + b'0\r\n', b'a: b\r\n' * 8192),
    'extension': (_CHUNKED, b'1;x=' + b'y' * 8192 + b'\r\na\r\n'),
    'small_chunks': (_CHUNKED, b'2\r\nab\r\n' * 8192),
    'chunks': (_CHUNKED, b'10000\r\n' + _PIECE + b'\r\n'),
    'sized': (_HEAD + b'Content-Length: 999999999999\r\n\r\n', _PIECE),
    'error': (b'HTTP/1.1 500 X\r\nContent-Length: 999999999999\r\n\r\n', _PIECE),
    'surplus': (_HEAD + b'Content-Length: 2\r\n\r\nab', _PIECE),
}


async def _handle(request: RawRequest, connection: RawConnection) -> None:
    what = request.target.rpartition('/')[2]
    if what not in ENDLESS:
        await connection.answer(200, body=b'{}')
        return
    start, part = ENDLESS[what]
    await connection.write(start)
    while True:
        await connection.write(part)


async def _serve(address: str) -> None:
    async with serving(_handle, address):
        await anyio.sleep_forever()


if __name__ == '__main__':
    anyio.run(_serve, sys.argv[1])
