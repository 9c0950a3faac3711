"""Replace the weights alone, and order operators' changes before later steps."""

import msgspec

from cicadadoor.config import chunks, model
from cicadadoor.config.acceptance import (
    CHUNK_KIND,
    AcceptedRoot,
    ConfigRoot,
    read_root,
)
from cicadadoor.config.operations import DRAIN_KIND
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.ids import digest_of
from cicadadoor.object_store.base import ObjectStore
from cicadadoor.object_store.writes import ObjectWriter

WEIGHTS_SECTION = 'weights'
_MOVED = frozenset((ErrorKind.STORE_CONFLICT, ErrorKind.STORE_NOT_FOUND))


async def store_weights(writer: ObjectWriter, weights: model.Weights) -> str | Failure:
    """Write the content of a weights section and return its digest."""
    content = chunks.encode(weights)
    digest = digest_of(content)
    chunk = await writer.create(CHUNK_KIND, digest, content)
    # A conflict means that the same content is there already.
    if isinstance(chunk, Failure) and chunk.kind is not ErrorKind.STORE_CONFLICT:
        return chunk
    return digest


async def accept_weights(
    writer: ObjectWriter,
    base: AcceptedRoot,
    digest: str,
    author: str,
    wall_s: float,
) -> AcceptedRoot | Failure:
    """Accept stored weights, on condition that the root is still the one read."""
    root = ConfigRoot(
        generation=base.root.generation + 1,
        section_digests={**base.root.section_digests, WEIGHTS_SECTION: digest},
        author=author,
        wall_s=wall_s,
    )
    stored = await writer.update(base.stored, msgspec.json.encode(root))
    if isinstance(stored, Failure):
        return stored
    return AcceptedRoot(root, stored)


async def fence(store: ObjectStore, writer: ObjectWriter) -> Failure | None:
    """Make every automatic change fail that was planned before this call.

    A planner reads the root first, then shifts and holds, and writes on condition of
    the root's version. Once the version has moved, no step is accepted that was
    planned without the object that the caller wrote before. The content of the root
    stays, so that no host has to take a new generation.
    """
    accepted = await read_root(store)
    if isinstance(accepted, Failure):
        is_empty = accepted.kind is ErrorKind.STORE_NOT_FOUND
        return None if is_empty else accepted
    moved = await writer.update(accepted.stored, accepted.stored.body)
    if isinstance(moved, Failure) and moved.kind is not ErrorKind.STORE_CONFLICT:
        return moved
    # A conflict means that the version has moved since it was read here.
    return await _touch_drains(store, writer)


async def _touch_drains(store: ObjectStore, writer: ObjectWriter) -> Failure | None:
    # A drain changes state on condition of its own version.
    listed = await store.list(DRAIN_KIND)
    if isinstance(listed, Failure):
        return listed
    for stored in listed.objects:
        touched = await writer.update(stored, stored.body)
        if isinstance(touched, Failure) and touched.kind not in _MOVED:
            return touched
    return None
