"""Call the platform's metadata store."""

from http import HTTPStatus
from urllib.parse import quote

import httpx
import msgspec

from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.http_client import fetch
from cicadadoor.sockets import KEEP_ALIVE_OPTIONS

# An answer takes 4 ms when the store is well; a call that takes longer than this is
# given up, so that a silent connection is replaced within the bounds of the rules.
CALL_TIMEOUT_S = 1.0
# What a watch may take beyond the time that it asked for.
_WATCH_TIMEOUT_MARGIN_S = 1.0
_MS_PER_S = 1000
# A page has about 1 MB; a watch brings what changed meanwhile, of which 16 MB leave
# room in the 300 MB of a host.
_MAX_ANSWER_BYTES = 16_777_216
# Costs a tenth of the price; the answer may be seconds old.
_ALLOW_STALE = 'allow_stale=1'

_FAILURE_KINDS: dict[int, ErrorKind] = {
    HTTPStatus.NOT_FOUND: ErrorKind.STORE_NOT_FOUND,
    HTTPStatus.CONFLICT: ErrorKind.STORE_CONFLICT,
    HTTPStatus.GONE: ErrorKind.STORE_COMPACTED,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ErrorKind.STORE_TOO_LARGE,
}
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class Metadata(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Name an object and the revision of its last change.

    A revision that is sent has to be the object's; without one a write replaces any.
    """

    name: str
    revision: int = 0
    created: int = 0
    finalizers: list[str] = []
    deleting: bool = False


class StoreObject(msgspec.Struct, kw_only=True):
    """Hold one object; `spec` and `status` are encoded as JSON."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')
    status: msgspec.Raw = msgspec.Raw(b'null')


class Page(msgspec.Struct, kw_only=True):
    """Hold some of the objects of a kind, each encoded as JSON."""

    items: list[msgspec.Raw]
    more: bool = False
    at: int


class Event(msgspec.Struct, kw_only=True):
    """Tell a change of one object."""

    object: msgspec.Raw
    deleted: bool = False


class Events(msgspec.Struct, kw_only=True):
    """Hold changes up to the revision `at`."""

    events: list[Event]
    at: int


class StoreClient:
    """Send one call each; nothing is repeated here."""

    def __init__(self, address: str) -> None:
        self._client = httpx.AsyncClient(
            base_url=f'http://{address}/v1/objects/',
            timeout=CALL_TIMEOUT_S,
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
        """Read objects of a kind, from the name that follows `after`."""
        query = [f'after={quote(after, safe="")}'] if after else []
        if allow_stale:
            query.append(_ALLOW_STALE)
        path = f'{kind}?{"&".join(query)}' if query else kind
        return _decode(await self._call('GET', path), Page)

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_s: float,
        *,
        allow_stale: bool = False,
    ) -> Events | Failure:
        """Wait for changes after the revision."""
        path = f'{kind}?watch={revision}&wait_ms={int(wait_s * _MS_PER_S)}'
        if allow_stale:
            path = f'{path}&{_ALLOW_STALE}'
        answer = await self._call(
            'GET', path, read_timeout_s=wait_s + _WATCH_TIMEOUT_MARGIN_S
        )
        return _decode(answer, Events)

    async def get(self, kind: str, name: str) -> StoreObject | Failure:
        """Read one object."""
        return _decode(await self._call('GET', _path(kind, name)), StoreObject)

    async def create(self, kind: str, wanted: StoreObject) -> StoreObject | Failure:
        """Write an object that must not exist yet."""
        body = await self._call('POST', kind, msgspec.json.encode(wanted))
        return _decode(body, StoreObject)

    async def replace(self, kind: str, wanted: StoreObject) -> StoreObject | Failure:
        """Replace an object; its revision has to match if there is one."""
        path = _path(kind, wanted.metadata.name)
        body = await self._call('PUT', path, msgspec.json.encode(wanted))
        return _decode(body, StoreObject)

    async def delete(self, kind: str, name: str, revision: int) -> None | Failure:
        """Delete an object if it has the revision."""
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
            response = await fetch(
                self._client,
                method,
                path,
                limit_bytes=_MAX_ANSWER_BYTES,
                within_s=CALL_TIMEOUT_S + read_timeout_s,
                content=encoded,
                headers=headers,
                timeout=httpx.Timeout(CALL_TIMEOUT_S, read=read_timeout_s),
            )
        except _NOT_SENT_ERRORS as error:
            return _call_failure(ErrorKind.STORE_UNAVAILABLE, method, path, error)
        except httpx.HTTPError as error:
            # A call without an answer may have been executed, or may be later.
            kind = ErrorKind.STORE_OUTCOME_UNKNOWN
            if method == 'GET':
                kind = ErrorKind.STORE_UNAVAILABLE
            return _call_failure(kind, method, path, error)
        if response.is_success:
            return response.content
        kind = _FAILURE_KINDS.get(
            response.status,
            ErrorKind.STORE_UNAVAILABLE,
        )
        return Failure(kind, f'{method} {path}: status {response.status}')


def _path(kind: str, name: str) -> str:
    return f'{kind}/{quote(name, safe="")}'


def _call_failure(kind: ErrorKind, method: str, path: str, error: Exception) -> Failure:
    return Failure(kind, f'{method} {path}: {type(error).__name__}')


def _decode(body: bytes | Failure, wanted: type) -> 'Page | Failure':
    if isinstance(body, Failure):
        return body
    try:
        return msgspec.json.decode(body, type=wanted)
    except (msgspec.MsgspecError, RecursionError) as error:
        return Failure(
            ErrorKind.STORE_UNAVAILABLE,
            f'the store sent a malformed answer: {error}',
        )
