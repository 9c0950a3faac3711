"""Send HTTP requests with limits on the size and the duration of the response.

httpx applies its timeouts to each read, not to the whole response, and would buffer an
endless body without limit.
"""

from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from http.cookiejar import CookieJar, DefaultCookiePolicy
from typing import Any

import anyio
import httpx

from cicadadoor.decisions.response_limits import find_status_fault

# The limit counts received bytes; a small compressed body may expand to any size.
IDENTITY_ENCODING_HEADERS = {'accept-encoding': 'identity'}
# A body is held as it is received, and once more as the content of the response.
_COPIES = 2

Reserve = Callable[[int], bool]


class ResponseTooLongError(httpx.RemoteProtocolError):
    """Report a response, or one of its lines, that exceeds the size limit."""


class ResponseNotHeldError(httpx.RemoteProtocolError):
    """Report a response for which there was no memory."""


class InvalidStatusError(httpx.RemoteProtocolError):
    """Report a response whose status is no HTTP status."""


class FetchedResponse:
    """Hold a response whose body was read completely."""

    __slots__ = ('content', 'headers', 'status')

    def __init__(self, status: int, headers: httpx.Headers, content: bytes) -> None:
        self.status = status
        self.headers = headers
        self.content = content

    @property
    def is_success(self) -> bool:
        """Tell whether the status is 2xx."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES


def no_cookies() -> CookieJar:
    """Return a jar for a client of httpx that neither keeps nor sends cookies.

    By default, a client keeps all cookies that it receives, without a limit, and sends
    them with later requests, whoever these are for.
    """
    return CookieJar(DefaultCookiePolicy(allowed_domains=()))


class DirectClient(httpx.AsyncClient):
    """Return redirects like other responses, without parsing their Location header.

    httpx parses it even if it follows no redirects, and raises InvalidURL, which is no
    HTTPError, for one such as `mailto:a`.
    """

    def _build_redirect_request(
        self, request: httpx.Request, response: httpx.Response
    ) -> httpx.Request:
        return request


async def fetch(
    client: httpx.AsyncClient,
    method: str,
    url: str,
    *,
    limit_bytes: int,
    within_s: float,
    reserve: Reserve | None = None,
    **options: Any,
) -> FetchedResponse:
    """Return the complete response; raise httpx.HTTPError on failure.

    `reserve` is called with a number of bytes before they are stored; the response is
    abandoned if it returns False.
    """
    headers = {**IDENTITY_ENCODING_HEADERS, **(options.pop('headers', None) or {})}
    try:
        with anyio.fail_after(within_s):
            async with client.stream(
                method, url, headers=headers, **options
            ) as response:
                check_status(response)
                content = await _read_body(response, limit_bytes, reserve)
    except TimeoutError as error:
        raise httpx.ReadTimeout(f'no complete response within {within_s} s') from error
    return FetchedResponse(response.status_code, response.headers, content)


def check_status(response: httpx.Response) -> None:
    """Raise InvalidStatusError if the status is no HTTP status."""
    fault = find_status_fault(response.status_code)
    if fault:
        raise InvalidStatusError(fault)


async def read_lines(
    response: httpx.Response,
    limit_bytes: int,
) -> AsyncIterator[bytes]:
    """Yield lines without terminators; raise ResponseTooLongError over the limit."""
    buffer = bytearray()
    async for chunk in _body_chunks(response):
        searched_bytes = len(buffer)
        buffer += chunk
        while (end := buffer.find(b'\n', searched_bytes)) >= 0:
            yield bytes(buffer[:end]).rstrip(b'\r')
            del buffer[: end + 1]
            searched_bytes = 0
        if len(buffer) > limit_bytes:
            raise ResponseTooLongError(f'response line exceeds {limit_bytes} bytes')
    if buffer:
        yield bytes(buffer)


async def _body_chunks(response: httpx.Response) -> AsyncIterator[bytes]:
    if response.headers.get('content-encoding', 'identity') != 'identity':
        raise httpx.DecodingError('response is encoded; only identity was accepted')
    async for chunk in response.aiter_bytes():
        yield chunk


async def _read_body(
    response: httpx.Response,
    limit_bytes: int,
    reserve: Reserve | None,
) -> bytes:
    content = bytearray()
    async for chunk in _body_chunks(response):
        if len(content) + len(chunk) > limit_bytes:
            raise ResponseTooLongError(f'response body exceeds {limit_bytes} bytes')
        if reserve is not None and not reserve(_COPIES * len(chunk)):
            raise ResponseNotHeldError(
                f'no memory for more than {len(content)} bytes of the response body'
            )
        content += chunk
    return bytes(content)
