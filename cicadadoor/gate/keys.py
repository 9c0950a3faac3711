"""Find the organisation of a caller's key, and remove the key from the request."""

from collections.abc import AsyncIterator
from urllib.parse import parse_qsl, urlencode

from cicadadoor.config.model import Organisation
from cicadadoor.decisions.isolation import isolated_at_gate_s, may_serve
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.request import SteeredAnswer, SteeredRequest
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
    """Hold the hash of the presented key and the request parts without it."""

    __slots__ = ('headers', 'key_hash', 'query')

    def __init__(self, key_hash: str, headers: dict[str, str], query: str) -> None:
        self.key_hash = key_hash
        self.headers = headers
        self.query = query


class KeyWithdrawnError(Exception):
    """End a streamed answer without its last part."""


class KeyAuthenticator(Service):
    """Check the key of every request against the configuration in force."""

    name = 'keys'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._isolated_for_s = 0.0
        self._isolation_received_s: float | None = None

    async def start(self, kernel: Kernel) -> None:
        """Find the state, and hear of isolation."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        link: DaemonLink = kernel.find('daemon_link')
        link.on(IsolationUpdate, self._handle_isolation)

    async def _handle_isolation(self, update: IsolationUpdate) -> None:
        self._isolated_for_s = update.isolated_for_s
        self._isolation_received_s = self._timer.now_s()

    def is_withdrawn(self, key_hash: str) -> bool:
        """Tell whether a key was withdrawn, also after its request began."""
        return key_hash in self._state.withdrawn_keys

    def cut_on_withdrawal(
        self, request: SteeredRequest, answer: SteeredAnswer | Failure
    ) -> None:
        """Cut a streamed answer before its next part once the key is withdrawn.

        The answer to a non-idempotent request goes on: the caller could not tell
        whether it ran.
        """
        if isinstance(answer, Failure) or answer.stream is None:
            return
        if request.key_hash and request.is_idempotent:
            answer.stream = self._until_withdrawn(request.key_hash, answer.stream)

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
        """Return the organisation that the key belongs to."""
        view = self._state.view
        if view is None:
            return Failure(ErrorKind.NOT_READY, 'no configuration is in force yet')
        if not key_hash:
            return Failure(ErrorKind.KEY_MISSING, 'no key was sent')
        if key_hash in self._state.withdrawn_keys:
            return Failure(ErrorKind.KEY_WITHDRAWN, 'the key was withdrawn')
        owner = view.key_owners.get(key_hash, '')
        organisation = view.organisations.get(owner)
        if organisation is None:
            return Failure(ErrorKind.KEY_UNKNOWN, 'the key is not known')
        isolated_s = isolated_at_gate_s(
            self._timer.now_s(),
            self._isolation_received_s,
            self._isolated_for_s,
        )
        if not may_serve(organisation, isolated_s):
            return Failure(
                ErrorKind.KEY_UNVERIFIABLE,
                f'this domain is cut off for {isolated_s:.0f} s and can not learn of '
                'withdrawn keys',
            )
        return organisation


def extract_key(headers: dict[str, str], query: str) -> PresentedKey | Failure:
    """Separate the key from headers and query; several different keys are refused."""
    found = set()
    kept_headers = {}
    for name, content in headers.items():
        if name not in KEY_HEADERS:
            kept_headers[name] = content
        elif name == 'authorization':
            found.add(_bearer(content))
        elif name == 'x-api-key':
            found.add(content.strip())
    kept_query = query
    if _may_contain_key(query):
        pairs = parse_qsl(query, keep_blank_values=True)
        found.update(text for name, text in pairs if name == _KEY_PARAMETER)
        kept = [pair for pair in pairs if pair[0] != _KEY_PARAMETER]
        kept_query = urlencode(kept)
    found.discard('')
    if len(found) > 1:
        return Failure(ErrorKind.BAD_REQUEST, 'several different keys were sent')
    key = found.pop() if found else ''
    if len(key) > _MAX_KEY_LENGTH:
        return Failure(
            ErrorKind.BAD_REQUEST,
            f'the key has {len(key)} characters; at most {_MAX_KEY_LENGTH} are allowed',
        )
    return PresentedKey(
        digest_of(key.encode()) if key else '', kept_headers, kept_query
    )


def _bearer(content: str) -> str:
    scheme, _, credentials = content.partition(' ')
    return credentials.strip() if scheme.lower() == 'bearer' else ''


def _may_contain_key(query: str) -> bool:
    # A percent sign may hide the parameter's name.
    return _KEY_PARAMETER in query or '%' in query
