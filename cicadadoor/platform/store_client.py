"""HTTP client of the platform's metadata store."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import httpx
import msgspec

from cicadadoor.decisions.memory_account import MemoryAccount, Owner
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.http_client import (
    DirectClient,
    FetchedResponse,
    ResponseNotHeldError,
    fetch,
    no_cookies,
)
from cicadadoor.platform.answers import (
    Answer,
    Events,
    Page,
    StoreObject,
    decode_events,
    decode_object,
    decode_page,
)
from cicadadoor.platform.store_era import StoreEra
from cicadadoor.sockets import KEEP_ALIVE_OPTIONS
from cicadadoor.telemetry import metrics

# A healthy store answers in 4 ms. Calls time out after this, so that a silent
# connection is replaced early enough for changes to take effect in time.
CALL_TIMEOUT_S = 1.0
# Time that a watch may take beyond its requested wait.
_WATCH_TIMEOUT_MARGIN_S = 1.0
_MS_PER_S = 1000
# A page has about 1 MB. A watch returns all changes since its revision; 16 MB of them
# leave room in the 300 MB of memory of a host.
_MAX_ANSWER_BYTES = 16_777_216
_ACCOUNT_KIND = 'store'
# Without a shared account: a long answer for each of four topics, held twice.
_MAX_HELD_BYTES = 8 * _MAX_ANSWER_BYTES
_ERA_HEADER = 'store-era'
# Such a read costs a tenth of a consistent one, and may return data seconds old.
_ALLOW_STALE = 'allow_stale=1'

_FAILURE_KINDS: dict[int, ErrorKind] = {
    HTTPStatus.NOT_FOUND: ErrorKind.STORE_NOT_FOUND,
    HTTPStatus.CONFLICT: ErrorKind.STORE_CONFLICT,
    HTTPStatus.GONE: ErrorKind.STORE_COMPACTED,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ErrorKind.STORE_TOO_LARGE,
}
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class StoreClient:
    """Send one HTTP request per method call; callers retry.

    Answers count in the account while they are read, so that several long ones at a
    time are read one after another where they do not fit together.
    """

    def __init__(self, address: str, account: MemoryAccount | None = None) -> None:
        self._account = account or MemoryAccount(_MAX_HELD_BYTES)
        self._owner = Owner(address)
        self.era = StoreEra()
        self._client = DirectClient(
            base_url=f'http://{address}/v1/objects/',
            timeout=CALL_TIMEOUT_S,
            cookies=no_cookies(),
            trust_env=False,
            transport=httpx.AsyncHTTPTransport(
                socket_options=KEEP_ALIVE_OPTIONS,
                trust_env=False,
                verify=False,  # noqa: S501 - the store speaks plain HTTP
            ),
        )

    async def page(
        self,
        kind: str,
        after: str = '',
        *,
        allow_stale: bool = False,
    ) -> Page | Failure:
        """Return a page of the objects of a kind whose names follow `after`."""
        query = [f'after={quote(after, safe="")}'] if after else []
        if allow_stale:
            query.append(_ALLOW_STALE)
        path = f'{kind}?{"&".join(query)}' if query else kind
        return _decode(await self._call('GET', path), decode_page)

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_s: float,
        *,
        allow_stale: bool = False,
    ) -> Events | Failure:
        """Wait up to `wait_s` for changes after the revision."""
        path = f'{kind}?watch={revision}&wait_ms={int(wait_s * _MS_PER_S)}'
        if allow_stale:
            path = f'{path}&{_ALLOW_STALE}'
        answer = await self._call(
            'GET', path, read_timeout_s=wait_s + _WATCH_TIMEOUT_MARGIN_S
        )
        return _decode(answer, decode_events)

    async def get(self, kind: str, name: str) -> StoreObject | Failure:
        """Return one object."""
        return _decode(await self._call('GET', _path(kind, name)), decode_object)

    async def create(self, kind: str, new_object: StoreObject) -> StoreObject | Failure:
        """Create an object; it must not exist yet."""
        body = await self._call('POST', kind, msgspec.json.encode(new_object))
        return _decode(body, decode_object)

    async def replace(
        self, kind: str, new_object: StoreObject
    ) -> StoreObject | Failure:
        """Replace an object; a revision in its metadata must be the current one."""
        path = _path(kind, new_object.metadata.name)
        body = await self._call('PUT', path, msgspec.json.encode(new_object))
        return _decode(body, decode_object)

    async def delete(self, kind: str, name: str, revision: int) -> None | Failure:
        """Delete an object if the revision is its current one."""
        path = f'{_path(kind, name)}?revision={revision}'
        body = await self._call('DELETE', path)
        return body if isinstance(body, Failure) else None

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def _call(
        self,
        method: str,
        path: str,
        encoded: bytes | None = None,
        read_timeout_s: float = CALL_TIMEOUT_S,
    ) -> bytes | Failure:
        headers = {'content-type': 'application/json'} if encoded else None
        try:
            response = await self._fetch(
                method,
                path,
                within_s=CALL_TIMEOUT_S + read_timeout_s,
                content=encoded,
                headers=headers,
                timeout=httpx.Timeout(CALL_TIMEOUT_S, read=read_timeout_s),
            )
        except _NOT_SENT_ERRORS as error:
            return _call_failure(ErrorKind.STORE_UNAVAILABLE, method, path, error)
        except httpx.HTTPError as error:
            return _call_failure(_unanswered_kind(method), method, path, error)
        era = response.headers.get(_ERA_HEADER)
        if not self.era.note(era):
            # The store has lost what it acknowledged by an answer of a former era.
            return Failure(
                _unanswered_kind(method),
                f'{method} {path}: the answer is of era {era} of the store, '
                f'not of era {self.era.current}',
            )
        if response.is_success:
            return response.content
        kind = _FAILURE_KINDS.get(
            response.status,
            ErrorKind.STORE_UNAVAILABLE,
        )
        return Failure(
            kind, f'{method} {path}: the store answered with status {response.status}'
        )

    async def _fetch(self, method: str, path: str, **options: Any) -> FetchedResponse:
        reservation = self._account.open(_ACCOUNT_KIND, self._owner)
        try:
            return await fetch(
                self._client,
                method,
                path,
                limit_bytes=_MAX_ANSWER_BYTES,
                reserve=reservation.grow,
                **options,
            )
        except ResponseNotHeldError:
            metrics.REFUSED_HOLDINGS.labels(_ACCOUNT_KIND).inc()
            raise
        finally:
            # The answer is decoded in the same step of the event loop.
            reservation.release()


def _path(kind: str, name: str) -> str:
    return f'{kind}/{quote(name, safe="")}'


def _unanswered_kind(method: str) -> ErrorKind:
    if method == 'GET':
        return ErrorKind.STORE_UNAVAILABLE
    # A write without an answer may have been executed, or may still be.
    return ErrorKind.STORE_OUTCOME_UNKNOWN


def _call_failure(kind: ErrorKind, method: str, path: str, error: Exception) -> Failure:
    return Failure(
        kind, f'{method} {path}: the store call failed: {type(error).__name__}'
    )


def _decode(
    body: bytes | Failure, decode: Callable[[bytes], Answer]
) -> Answer | Failure:
    if isinstance(body, Failure):
        return body
    try:
        return decode(body)
    except msgspec.MsgspecError as error:
        return Failure(
            ErrorKind.STORE_UNAVAILABLE,
            f'malformed answer from the store: {error}',
        )
