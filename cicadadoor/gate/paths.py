"""Validate the paths of requests."""

from urllib.parse import unquote

from cicadadoor.errors import ErrorKind, Failure

_DOT_SEGMENTS = frozenset(('.', '..'))
_SHOWN_CHARACTERS = 100


def path_at_service(raw_path: str, prefix: str) -> str | Failure:
    """Return the path to send to a backend server, or BAD_REQUEST if ambiguous.

    A backend server may resolve dot segments, including encoded ones, and then run
    another route than the one whose rules were checked.
    """
    if not raw_path.startswith(prefix):
        return _bad_path(raw_path, 'must not percent-encode the service name')
    path = raw_path.removeprefix(prefix) or '/'
    segments = unquote(path).replace('\\', '/').split('/')
    for segment in segments:
        if segment.partition(';')[0] in _DOT_SEGMENTS:
            return _bad_path(raw_path, 'contains a dot segment; resolve it first')
    return path


def _bad_path(raw_path: str, text: str) -> Failure:
    shown = raw_path[:_SHOWN_CHARACTERS]
    return Failure(ErrorKind.BAD_REQUEST, f'path {shown!r} {text}')
