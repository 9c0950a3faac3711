"""Find the organisation of a caller's key, and remove the key from the request."""

from urllib.parse import parse_qsl, urlencode

from cicadadoor.config.model import Organisation
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.state import GateState
from cicadadoor.ids import digest_of
from cicadadoor.kernel import Kernel, Service

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


class KeyCheck(Service):
    """Check the key of every request against the configuration in force."""

    name = 'keys'

    def __init__(self) -> None:
        self._state: GateState

    async def start(self, kernel: Kernel) -> None:
        """Find the state."""
        self._state = kernel.find('state')

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
        return organisation


def take_key(headers: dict[str, str], query: str) -> PresentedKey | Failure:
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
    if _may_hold_key(query):
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


def _may_hold_key(query: str) -> bool:
    # A percent sign may hide the parameter's name.
    return _KEY_PARAMETER in query or '%' in query
