"""Authenticate callers by API key, and remove the key from requests."""

from collections.abc import AsyncIterator
from urllib.parse import parse_qsl, urlencode

from cicadadoor.config.model import Organisation
from cicadadoor.decisions.isolation import isolated_at_gate_s, may_serve
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.request import SteeredRequest, SteeredResponse
from cicadadoor.gate.state import GateState
from cicadadoor.ids import digest_of
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.config_messages import IsolationUpdate
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.timer import TimerService

KEY_HEADERS = frozenset(('authorization', 'proxy-authorization', 'x-api-key'))
_KEY_PARAMETER = 'api_key'
_MAX_KEY_LENGTH = 256


class PresentedKey:
    """Hold the hash of the presented key, and headers and query without the key."""

    __slots__ = ('headers', 'key_hash', 'query')

    def __init__(self, key_hash: str, headers: dict[str, str], query: str) -> None:
        self.key_hash = key_hash
        self.headers = headers
        self.query = query


class KeyWithdrawnError(Exception):
    """Abort a streamed response because its key was withdrawn."""


class KeyAuthenticator(Service):
    """Check the key of every request against the active configuration."""

    name = 'keys'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._isolated_for_s = 0.0
        self._isolation_received_s: float | None = None

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to isolation updates."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        link: DaemonLink = kernel.find('daemon_link')
        link.on(IsolationUpdate, self._handle_isolation)

    async def _handle_isolation(self, update: IsolationUpdate) -> None:
        self._isolated_for_s = update.isolated_for_s
        self._isolation_received_s = self._timer.now_s()

    def is_withdrawn(self, key_hash: str) -> bool:
        """Return whether a key was withdrawn, also after its request started."""
        return key_hash in self._state.withdrawn_keys

    def abort_on_withdrawal(
        self, request: SteeredRequest, response: SteeredResponse | Failure
    ) -> None:
        """Abort a streamed response before its next chunk if its key is withdrawn.

        A response to a non-idempotent request continues, because the caller could not
        tell whether the request ran.
        """
        if isinstance(response, Failure) or response.stream is None:
            return
        if request.key_hash and request.is_idempotent:
            response.stream = self._until_withdrawn(request.key_hash, response.stream)

    async def _until_withdrawn(
        self,
        key_hash: str,
        stream: AsyncIterator[bytes],
    ) -> AsyncIterator[bytes]:
        async for part in stream:
            if self.is_withdrawn(key_hash):
                raise KeyWithdrawnError
            yield part

    def authenticate(self, key_hash: str) -> Organisation | Failure:
        """Return the organisation that owns the key."""
        view = self._state.view
        if view is None:
            return Failure(
                ErrorKind.NOT_READY, 'this host has not received a configuration yet'
            )
        if not key_hash:
            return Failure(ErrorKind.KEY_MISSING, 'the request has no API key')
        if key_hash in self._state.withdrawn_keys:
            return Failure(ErrorKind.KEY_WITHDRAWN, 'the API key was withdrawn')
        owner = view.key_owners.get(key_hash, '')
        organisation = view.organisations.get(owner)
        if organisation is None:
            return Failure(ErrorKind.KEY_UNKNOWN, 'the API key is unknown')
        isolated_s = isolated_at_gate_s(
            self._timer.now_s(),
            self._isolation_received_s,
            self._isolated_for_s,
        )
        if not may_serve(organisation, isolated_s):
            return Failure(
                ErrorKind.KEY_UNVERIFIABLE,
                f'this failure domain has been isolated for {isolated_s:.0f} s and '
                'cannot check for withdrawn keys; use another host',
            )
        return organisation


def extract_key(headers: dict[str, str], query: str) -> PresentedKey | Failure:
    """Separate the key from headers and query; BAD_REQUEST for different keys."""
    found_keys = set()
    kept_headers = {}
    for name, value in headers.items():
        if name not in KEY_HEADERS:
            kept_headers[name] = value
        elif name == 'authorization':
            found_keys.add(_bearer(value))
        elif name == 'x-api-key':
            found_keys.add(value.strip())
    kept_query = query
    if _may_contain_key(query):
        pairs = parse_qsl(query, keep_blank_values=True)
        found_keys.update(text for name, text in pairs if name == _KEY_PARAMETER)
        other_pairs = [pair for pair in pairs if pair[0] != _KEY_PARAMETER]
        kept_query = urlencode(other_pairs)
    found_keys.discard('')
    if len(found_keys) > 1:
        return Failure(
            ErrorKind.BAD_REQUEST, 'the request has several different API keys'
        )
    key = found_keys.pop() if found_keys else ''
    if len(key) > _MAX_KEY_LENGTH:
        return Failure(
            ErrorKind.BAD_REQUEST,
            f'the API key has {len(key)} characters; the limit is {_MAX_KEY_LENGTH}',
        )
    return PresentedKey(
        digest_of(key.encode()) if key else '', kept_headers, kept_query
    )


def _bearer(value: str) -> str:
    scheme, _, credentials = value.partition(' ')
    return credentials.strip() if scheme.lower() == 'bearer' else ''


def _may_contain_key(query: str) -> bool:
    # The parameter's name may be percent-encoded.
    return _KEY_PARAMETER in query or '%' in query
