"""Take the path of a steered request apart."""

from urllib.parse import unquote

from cicadadoor.errors import ErrorKind, Failure

_DOT_SEGMENTS = frozenset(('.', '..'))
_SHOWN_CHARACTERS = 100


def path_at_service(raw_path: str, prefix: str) -> str | Failure:
    """Return the path that a backend server gets; BAD_REQUEST if it is ambiguous.

    A backend server may resolve dot segments, also encoded ones, and would then run
    another route than the one whose rules were checked.
    """
    if not raw_path.startswith(prefix):
        return _fault(raw_path, 'has to name the service without percent signs')
    path = raw_path.removeprefix(prefix) or '/'
    segments = unquote(path).replace('\\', '/').split('/')
    for segment in segments:
        if segment.partition(';')[0] in _DOT_SEGMENTS:
            return _fault(raw_path, 'has a dot segment; send it resolved')
    return path


def _fault(raw_path: str, text: str) -> Failure:
    shown = raw_path[:_SHOWN_CHARACTERS]
    return Failure(ErrorKind.BAD_REQUEST, f'path {shown!r} {text}')
