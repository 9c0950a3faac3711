"""Call other processes over HTTP with a bound on the length and time of the answer.

The client library bounds each read, not the answer: a body that goes on would be taken
into memory for as long as it comes.
"""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any

import anyio
import httpx

# Bytes are counted as they come; a small compressed body may be of any length.
IDENTITY_ENCODING_HEADERS = {'accept-encoding': 'identity'}


class ResponseTooLongError(httpx.RemoteProtocolError):
    """Raise when an answer, or a line of it, is longer than allowed."""


class FetchedResponse:
    """Hold an answer whose body was read to its end."""

    __slots__ = ('content', 'headers', 'status')

    def __init__(self, status: int, headers: httpx.Headers, content: bytes) -> None:
        self.status = status
        self.headers = headers
        self.content = content

    @property
    def is_success(self) -> bool:
        """Tell whether the call was done."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES


async def fetch(
    client: httpx.AsyncClient,
    method: str,
    url: str,
    *,
    limit_bytes: int,
    within_s: float,
    **options: Any,
) -> FetchedResponse:
    """Return the whole answer; raise httpx.HTTPError if it can't be had."""
    headers = {**IDENTITY_ENCODING_HEADERS, **(options.pop('headers', None) or {})}
    try:
        with anyio.fail_after(within_s):
            async with client.stream(
                method, url, headers=headers, **options
            ) as response:
                content = await _read_body(response, limit_bytes)
    except TimeoutError as error:
        raise httpx.ReadTimeout(f'no whole answer within {within_s} s') from error
    return FetchedResponse(response.status_code, response.headers, content)


async def read_lines(
    response: httpx.Response,
    limit_bytes: int,
) -> AsyncIterator[bytes]:
    """Yield lines without their ends; raise AnswerTooLongError at a longer one."""
    buffer = bytearray()
    async for part in _body_chunks(response):
        searched_bytes = len(buffer)
        buffer += part
        while (end := buffer.find(b'\n', searched_bytes)) >= 0:
            yield bytes(buffer[:end]).rstrip(b'\r')
            del buffer[: end + 1]
            searched_bytes = 0
        if len(buffer) > limit_bytes:
            raise ResponseTooLongError(f'a line of over {limit_bytes} bytes')
    if buffer:
        yield bytes(buffer)


async def _body_chunks(response: httpx.Response) -> AsyncIterator[bytes]:
    if response.headers.get('content-encoding', 'identity') != 'identity':
        raise httpx.DecodingError('an encoded answer, which was not asked for')
    async for part in response.aiter_bytes():
        yield part


async def _read_body(response: httpx.Response, limit_bytes: int) -> bytes:
    content = bytearray()
    async for part in _body_chunks(response):
        content += part
        if len(content) > limit_bytes:
            raise ResponseTooLongError(f'an answer of over {limit_bytes} bytes')
    return bytes(content)
