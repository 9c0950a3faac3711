"""Order an operator's change before every later automatic one."""

from cicadadoor.config.acceptance import ROOT_KIND, ROOT_NAME
from cicadadoor.config.operations import DRAIN_KIND
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.object_store.base import ObjectStore
from cicadadoor.object_store.writes import ObjectWriter

_VERSION_CHANGED_KINDS = frozenset(
    (ErrorKind.STORE_CONFLICT, ErrorKind.STORE_NOT_FOUND)
)


async def fence(store: ObjectStore, writer: ObjectWriter) -> Failure | None:
    """Make every automatic change fail that was planned before this call.

    A planner reads the root first, then shifts and holds, and writes on condition of
    the root's version. Once the version has moved, no step is accepted that was
    planned without the object that the caller wrote before. The content of the root
    stays, so that no host has to take a new generation.
    """
    root = await store.get(ROOT_KIND, ROOT_NAME)
    if isinstance(root, Failure):
        is_empty = root.kind is ErrorKind.STORE_NOT_FOUND
        return None if is_empty else root
    written = await writer.update(root, root.body)
    # A conflict means that the version has moved since it was read here.
    if isinstance(written, Failure) and written.kind not in _VERSION_CHANGED_KINDS:
        return written
    return await _touch_drains(store, writer)


async def _touch_drains(store: ObjectStore, writer: ObjectWriter) -> Failure | None:
    # A drain changes state on condition of its own version.
    listed = await store.list(DRAIN_KIND)
    if isinstance(listed, Failure):
        return listed
    for stored in listed.objects:
        touched = await writer.update(stored, stored.body)
        if isinstance(touched, Failure) and touched.kind not in _VERSION_CHANGED_KINDS:
            return touched
    return None
