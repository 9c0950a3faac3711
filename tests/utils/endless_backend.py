"""Stand in for a backend server that sends bytes until its connection is closed."""

import anyio
import h11

from tests.utils.hostile_clients import StreamingBackend

_PIECE = bytes(65_536)
_CHUNK = b'10000\r\n' + _PIECE + b'\r\n'
_SIGNED = b'HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nResponse-Signature: signed\r\n'
_HEADS = {
    b'unframed': _SIGNED + b'Connection: close\r\n\r\n',
    b'chunked': _SIGNED + b'Transfer-Encoding: chunked\r\n\r\n',
    b'head': _SIGNED + b'A: ',
    b'garbage': b'%b',
}


class EndlessBackend(StreamingBackend):
    """Send without end if the path asks for it, and hold unsafe requests.

    Paths end in `endless/FRAMING`. Requests with another method than GET are answered
    once `released` is set.
    """

    def __init__(self) -> None:
        super().__init__()
        self.released = anyio.Event()
        self.running = 0

    async def _answer(self, request: h11.Request, writer) -> None:
        if request.method != b'GET':
            self.running += 1
            await self.released.wait()
        rest, _, framing = request.target.rpartition(b'/')
        if not rest.endswith(b'endless'):
            await super()._answer(request, writer)
            return
        fields = dict(request.headers)
        writer.write(_HEADS[framing] % fields[b'attempt-id'])
        piece = _CHUNK if framing == b'chunked' else _PIECE
        while True:
            writer.write(piece)
            await writer.drain()
            self.moved_bytes += len(piece)


class HeldBackend(EndlessBackend):
    """Hold all requests for endless responses, and answer them at the same time."""

    def __init__(self) -> None:
        super().__init__()
        self.waiting = 0
        self.answered = 0
        self.may_answer = anyio.Event()

    async def _answer(self, request: h11.Request, writer) -> None:
        if b'/endless/' in request.target:
            self.waiting += 1
            await self.may_answer.wait()
            self.answered += 1
        await super()._answer(request, writer)
