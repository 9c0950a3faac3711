"""Fence off automatic changes that were planned before an operator's change."""

from cicadadoor.config.acceptance import ROOT_KIND, ROOT_NAME
from cicadadoor.config.operations import DRAIN_KIND
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.object_store.base import ObjectStore
from cicadadoor.object_store.writes import ObjectWriter

_VERSION_CHANGED_KINDS = frozenset(
    (ErrorKind.STORE_CONFLICT, ErrorKind.STORE_NOT_FOUND)
)


async def fence(store: ObjectStore, writer: ObjectWriter) -> Failure | None:
    """Make every automatic change that was planned before this call fail.

    A planner reads the root, then shifts and holds, and its write requires the
    version of the root that it read. Updating that version invalidates each step
    that was planned without the object that the caller has just written. The content
    of the root stays the same, so that no host has to load a new generation.
    """
    root = await store.get(ROOT_KIND, ROOT_NAME)
    if isinstance(root, Failure):
        is_empty = root.kind is ErrorKind.STORE_NOT_FOUND
        return None if is_empty else root
    written = await writer.update(root, root.body)
    # A conflict means that the version has already changed since it was read here.
    if isinstance(written, Failure) and written.kind not in _VERSION_CHANGED_KINDS:
        return written
    return await _touch_drains(store, writer)


async def _touch_drains(store: ObjectStore, writer: ObjectWriter) -> Failure | None:
    # A write to a drain depends on the drain's own version, not on the root's.
    listed = await store.list(DRAIN_KIND)
    if isinstance(listed, Failure):
        return listed
    for stored in listed.objects:
        touched = await writer.update(stored, stored.body)
        if isinstance(touched, Failure) and touched.kind not in _VERSION_CHANGED_KINDS:
            return touched
    return None
