"""Define the store's answers, and decode them entry by entry where needed."""

from typing import TypeVar

import msgspec

from cicadadoor.platform.nesting import limit_nesting
from cicadadoor.platform.splitting import elements, members, read_text

# Deeper than in any object that the platform or this host writes, and far below what
# the decoder can read.
_MAX_NESTING = 64

Answer = TypeVar('Answer')


class Metadata(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Hold the name of an object and the revision of its last change.

    A write with a revision succeeds only if it is the current one; a write without one
    replaces any.
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
    """Hold one page of the objects of a kind, each encoded as JSON."""

    items: list[msgspec.Raw]
    more: bool = False
    at: int


class Event(msgspec.Struct, kw_only=True):
    """Describe a change of one object."""

    object: msgspec.Raw
    deleted: bool = False


class Events(msgspec.Struct, kw_only=True):
    """Hold the changes up to the revision `at`."""

    events: list[Event]
    at: int


def decode_page(body: bytes) -> Page:
    """Decode a page, also if some of its objects are unreadable."""
    try:
        return msgspec.json.decode(body, type=Page)
    except (msgspec.MsgspecError, RecursionError):
        # One object of another writer must not hide the others in the list.
        fields = members(body)
    return Page(
        items=[msgspec.Raw(each) for each in _list(fields, 'items')],
        more=msgspec.json.decode(fields.get('more', b'false'), type=bool),
        at=msgspec.json.decode(fields.get('at', b''), type=int),
    )


def decode_events(body: bytes) -> Events:
    """Decode changes, also if some of their objects are unreadable."""
    try:
        return msgspec.json.decode(body, type=Events)
    except (msgspec.MsgspecError, RecursionError):
        fields = members(body)
    changes = [members(each) for each in _list(fields, 'events')]
    return Events(
        events=[
            Event(
                object=msgspec.Raw(each.get('object', b'null')),
                deleted=each.get('deleted') == b'true',
            )
            for each in changes
        ],
        at=msgspec.json.decode(fields.get('at', b''), type=int),
    )


def decode_object(encoded: bytes | msgspec.Raw) -> StoreObject:
    """Decode one object; values that are nested too deeply become null."""
    try:
        return msgspec.json.decode(encoded, type=StoreObject)
    except RecursionError:
        limited = limit_nesting(bytes(encoded), _MAX_NESTING)
        return msgspec.json.decode(limited, type=StoreObject)


def object_name(encoded: bytes | msgspec.Raw) -> str:
    """Return the name of an object that may be unreadable, or an empty string."""
    metadata = members(bytes(encoded)).get('metadata', b'')
    return read_text(members(metadata).get('name', b'')) or ''


def _list(fields: dict[str, bytes], name: str) -> list[bytes]:
    encoded = fields.get(name, b'')
    if not encoded.startswith(b'['):
        raise msgspec.ValidationError(f'{name} must be an array')
    return elements(encoded)
