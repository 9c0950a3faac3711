"""Call the platform's object API over HTTP."""

from collections.abc import AsyncIterator
from contextlib import aclosing
from http import HTTPStatus
from urllib.parse import quote

import anyio
import httpx
import msgspec

from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.http_client import (
    IDENTITY_ENCODING_HEADERS,
    DirectClient,
    check_status,
    fetch,
    no_cookies,
    read_lines,
)
from cicadadoor.json_decoding import decode_json
from cicadadoor.object_store.base import (
    MAX_OBJECT_BYTES,
    ChangeEvent,
    ObjectList,
    ObjectStore,
    StoredObject,
)

_CALL_TIMEOUT_S = 3.0
# A watch that receives nothing for this long is broken: the platform sends an empty
# line every few seconds.
_WATCH_READ_TIMEOUT_S = 15.0
_MAX_DETAIL_BYTES = 200
# Leaves room for the encoding of the body. A list holds all objects of a kind.
_MAX_OBJECT_ANSWER_BYTES = 4 * MAX_OBJECT_BYTES
_MAX_LIST_ANSWER_BYTES = 67_108_864

_FAILURE_KINDS: dict[int, ErrorKind] = {
    HTTPStatus.NOT_FOUND: ErrorKind.STORE_NOT_FOUND,
    HTTPStatus.CONFLICT: ErrorKind.STORE_CONFLICT,
    HTTPStatus.GONE: ErrorKind.STORE_COMPACTED,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ErrorKind.STORE_TOO_LARGE,
}
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class HttpObjectStore(ObjectStore):
    """Client of the object API at a base URL."""

    def __init__(self, base_url: str) -> None:
        self._client = DirectClient(
            base_url=f'{base_url}/api/v1/',
            headers=IDENTITY_ENCODING_HEADERS,
            timeout=_CALL_TIMEOUT_S,
            cookies=no_cookies(),
            trust_env=False,
        )

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Return one object."""
        body = await self._call('GET', _path(kind, name))
        return body if isinstance(body, Failure) else _decode(body, StoredObject)

    async def list(self, kind: str) -> ObjectList | Failure:
        """Return all objects of a kind."""
        body = await self._call('GET', kind, limit_bytes=_MAX_LIST_ANSWER_BYTES)
        return body if isinstance(body, Failure) else _decode(body, ObjectList)

    async def create(self, new_object: StoredObject) -> StoredObject | Failure:
        """Create an object; it must not exist yet."""
        return await self._write('POST', new_object.kind, new_object)

    async def update(self, new_object: StoredObject) -> StoredObject | Failure:
        """Replace the object if it still has the version of `new_object`."""
        return await self._write(
            'PUT', _path(new_object.kind, new_object.name), new_object
        )

    async def delete(self, kind: str, name: str, version: int) -> None | Failure:
        """Delete the object if it still has the version."""
        path = f'{_path(kind, name)}?version={version}'
        body = await self._call('DELETE', path, writes=True)
        return body if isinstance(body, Failure) else None

    async def watch(
        self,
        kind: str,
        since_version: int,
    ) -> AsyncIterator[ChangeEvent | Failure]:
        """Yield changes after the version; a failure ends the watch."""
        path = f'{kind}?watch=1&since={since_version}'
        try:
            async with aclosing(await self._open_watch(path)) as response:
                check_status(response)
                if response.status_code != HTTPStatus.OK:
                    yield _status_failure(response.status_code, path, b'')
                    return
                async for line in read_lines(response, _MAX_OBJECT_ANSWER_BYTES):
                    if line:
                        yield _decode(line, ChangeEvent)
        except httpx.HTTPError as error:
            yield Failure(
                ErrorKind.STORE_UNAVAILABLE,
                f'watch of {kind} failed: {type(error).__name__}',
            )
            return
        yield Failure(
            ErrorKind.STORE_UNAVAILABLE, f'the platform ended the watch of {kind}'
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def _open_watch(self, path: str) -> httpx.Response:
        timeout = httpx.Timeout(_CALL_TIMEOUT_S, read=_WATCH_READ_TIMEOUT_S)
        request = self._client.build_request('GET', path, timeout=timeout)
        # The time-out of httpx applies to each read, and a head may come byte by byte.
        try:
            with anyio.fail_after(_WATCH_READ_TIMEOUT_S):
                return await self._client.send(request, stream=True)
        except TimeoutError as error:
            raise httpx.ReadTimeout('no complete response head') from error

    async def _write(
        self,
        method: str,
        path: str,
        new_object: StoredObject,
    ) -> StoredObject | Failure:
        if len(new_object.body) > MAX_OBJECT_BYTES:
            return Failure(
                ErrorKind.STORE_TOO_LARGE,
                f'{new_object.kind}/{new_object.name} has {len(new_object.body)} '
                f'bytes; at most {MAX_OBJECT_BYTES} are allowed',
            )
        encoded = msgspec.json.encode(new_object)
        body = await self._call(method, path, encoded, writes=True)
        return body if isinstance(body, Failure) else _decode(body, StoredObject)

    async def _call(
        self,
        method: str,
        path: str,
        encoded: bytes | None = None,
        *,
        writes: bool = False,
        limit_bytes: int = _MAX_OBJECT_ANSWER_BYTES,
    ) -> bytes | Failure:
        try:
            response = await fetch(
                self._client,
                method,
                path,
                limit_bytes=limit_bytes,
                within_s=2 * _CALL_TIMEOUT_S,
                content=encoded,
            )
        except _NOT_SENT_ERRORS as error:
            return _unavailable(method, path, error)
        except httpx.HTTPError as error:
            if writes:
                return Failure(
                    ErrorKind.STORE_OUTCOME_UNKNOWN,
                    f'{method} {path}: no answer ({type(error).__name__}); the write '
                    'may have taken effect',
                )
            return _unavailable(method, path, error)
        if response.is_success:
            return response.content
        failure = _status_failure(response.status, path, response.content)
        is_unclear = writes and failure.kind is ErrorKind.STORE_UNAVAILABLE
        if is_unclear and response.status != HTTPStatus.SERVICE_UNAVAILABLE:
            failure.kind = ErrorKind.STORE_OUTCOME_UNKNOWN
        return failure


def _path(kind: str, name: str) -> str:
    return f'{kind}/{quote(name, safe="")}'


def _decode(body: bytes, expected_type: type) -> 'StoredObject | ObjectList | Failure':
    try:
        return decode_json(body, type=expected_type)
    except msgspec.MsgspecError as error:
        return Failure(
            ErrorKind.STORE_UNAVAILABLE,
            f'malformed answer of the platform: {error}',
        )


def _unavailable(method: str, path: str, error: Exception) -> Failure:
    return Failure(
        ErrorKind.STORE_UNAVAILABLE,
        f'{method} {path} failed: {type(error).__name__}',
    )


def _status_failure(status: int, path: str, content: bytes) -> Failure:
    kind = _FAILURE_KINDS.get(status, ErrorKind.STORE_UNAVAILABLE)
    detail = content[:_MAX_DETAIL_BYTES].decode(errors='replace')
    return Failure(kind, f'{path}: status {status}: {detail}')
