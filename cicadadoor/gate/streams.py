"""Manage streamed responses while a caller or another gate reads them."""

from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio

from cicadadoor.gate.request import SteeredRequest, SteeredResponse
from cicadadoor.kernel import Kernel, OnFault
from cicadadoor.telemetry import logs

log = logs.logger('stream')


class StreamBrokenError(Exception):
    """Signal that the rest of a streamed response is not available."""


def release_after_stream(
    kernel: Kernel,
    request: SteeredRequest,
    response: SteeredResponse,
    release: Callable[[], None],
    left_s: float,
) -> SteeredResponse:
    """Return a response that calls `release` once its stream has ended.

    The stream of an idempotent request is aborted when its reader disconnects. Other
    streams are read to the end, because aborting them could interrupt the backend
    server in the middle of its work.
    """
    managed = _ManagedStream(response, release)
    if request.is_idempotent:
        response.on_close = managed.close
        return response
    send_chunk, receive_chunk = anyio.create_memory_object_stream[bytes](0)
    relayed = SteeredResponse(
        status=response.status,
        headers=response.headers,
        stream=managed.relay(receive_chunk),
        on_close=receive_chunk.aclose,
        run=response.run,
        deadline_s=response.deadline_s,
    )
    kernel.spawn(managed.pump, send_chunk, left_s, on_fault=OnFault.CONTINUE)
    return relayed


class _ManagedStream:
    """Read a stream to its end even if its reader disconnects."""

    def __init__(self, response: SteeredResponse, release: Callable[[], None]) -> None:
        self._stream = response.stream
        self._close_inner = response.on_close
        self._release = release
        self._is_complete = False

    async def close(self) -> None:
        """Close the stream and release its resources."""
        try:
            if self._close_inner is not None:
                with anyio.CancelScope(shield=True):
                    await self._close_inner()
        finally:
            self._release()

    async def pump(self, send_chunk: Any, left_s: float) -> None:
        """Read to the end; discard chunks once the reader has disconnected."""
        try:
            with anyio.move_on_after(left_s):
                await self._pump(send_chunk)
        except Exception as error:
            log.info('stream_broken', error=type(error).__name__)
        finally:
            send_chunk.close()
            await self.close()

    async def _pump(self, send_chunk: Any) -> None:
        has_reader = True
        async for chunk in self._stream:
            if has_reader:
                has_reader = await _try_send(send_chunk, chunk)
        self._is_complete = True

    async def relay(self, receive_chunk: Any) -> AsyncIterator[bytes]:
        """Yield the chunks that the pump reads; raise if the stream failed."""
        async for chunk in receive_chunk:
            yield chunk
        if not self._is_complete:
            raise StreamBrokenError


async def _try_send(send_chunk: Any, chunk: bytes) -> bool:
    try:
        await send_chunk.send(chunk)
    except anyio.BrokenResourceError:
        return False
    return True


class StoredStream:
    """Track a streamed response that another gate pulls in parts."""

    __slots__ = ('is_busy', 'last_used_s', 'next_part', 'region', 'response')

    def __init__(
        self,
        response: SteeredResponse,
        now_s: float,
        region: str | None,
    ) -> None:
        self.response = response
        # Region whose link carries the response; None for no link.
        self.region = region
        self.next_part = 1
        self.last_used_s = now_s
        self.is_busy = False


async def read_part(stream: AsyncIterator[bytes], wanted_bytes: int) -> bytes:
    """Return at least `wanted_bytes` of the stream, less only at its end."""
    # One contiguous buffer: a list of small chunks would take many times their size.
    part = bytearray()
    while len(part) < wanted_bytes:
        chunk = await anext(stream, None)
        if chunk is None:
            break
        part += chunk
    return bytes(part)
