"""Read the planner's input in the order that makes its writes safe."""

from typing import Generic, TypeVar

import msgspec

from cicadadoor.agent.loads import LoadReports
from cicadadoor.config import chunks, model
from cicadadoor.config.acceptance import AcceptedRoot, read_root, read_sections
from cicadadoor.config.operations import (
    DRAIN_KIND,
    HOLD_KIND,
    SHIFT_KIND,
    Drain,
    Hold,
    Shift,
)
from cicadadoor.decisions.shift_steps import LastWeightChange, Measurements
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.json_decoding import decode_json
from cicadadoor.object_store.base import ObjectStore, StoredObject

_Operation = TypeVar('_Operation')
_SECTIONS = ('weights', 'topology', 'services')


class StoredOperation(Generic[_Operation]):
    """Pair a decoded operation with the stored object it was read from."""

    __slots__ = ('operation', 'stored')

    def __init__(self, operation: _Operation, stored: StoredObject) -> None:
        self.operation = operation
        self.stored = stored

    @property
    def name(self) -> str:
        """Return the name of the stored object."""
        return self.stored.name


class PlanContext:
    """Hold the input of one planning round; the root was read before the rest."""

    __slots__ = (
        'accepted',
        'drains',
        'holds',
        'measurements',
        'last_changes',
        'read_s',
        'reports',
        'services',
        'shifts',
        'topology',
        'weights',
    )

    def __init__(self, accepted: AcceptedRoot, parts: dict[str, object]) -> None:
        self.accepted = accepted
        self.weights: model.Weights = parts['weights']
        self.topology: model.Topology = parts['topology']
        self.services: tuple[model.Service, ...] = parts['services']
        self.shifts: list[StoredOperation[Shift]] = []
        self.drains: list[StoredOperation[Drain]] = []
        self.holds: list[Hold] = []
        self.reports = LoadReports([], {})
        self.measurements = Measurements({}, {}, 0, 0, [])
        self.last_changes: dict[str, LastWeightChange] = {}
        self.read_s = 0.0

    def last_weight_change(self, service: str) -> LastWeightChange:
        """Return the last change of the weights of a service."""
        return self.last_changes[service]

    def latest_weight_change(self) -> LastWeightChange:
        """Return the latest weight change of all services, as they share the links."""
        return max(self.last_changes.values(), key=lambda change: change.seen_s)

    def link_capacity(self) -> dict[tuple[str, str], float]:
        """Return the capacity of each link in bytes per second."""
        return {
            (link.source, link.target): link.capacity_bytes_per_s
            for link in self.topology.links
        }

    def domains_of(self, region: str) -> set[str]:
        """Return the failure domains of a region."""
        return {
            domain.name
            for domain in self.topology.failure_domains
            if domain.region == region
        }


class ContextReader:
    """Read the root first, then sections, shifts, drains and holds."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._decoded: dict[str, tuple[str, object]] = {}

    async def read(self) -> PlanContext | Failure:
        """Return a context without measurements, or the failure to read it.

        Holds are read after the root. A hold that is set after that read also
        rewrites the root, so that the store rejects a step planned without it.
        """
        accepted = await read_root(self._store)
        if isinstance(accepted, Failure):
            return accepted
        failure = await self._read_sections(accepted)
        if failure is not None:
            return failure
        parts = {name: part for name, (_, part) in self._decoded.items()}
        context = PlanContext(accepted, parts)
        for kind, operation_type, found_operations in (
            (SHIFT_KIND, Shift, context.shifts),
            (DRAIN_KIND, Drain, context.drains),
        ):
            failure = await self._read_kind(kind, operation_type, found_operations)
            if failure is not None:
                return failure
        holds: list[StoredOperation[Hold]] = []
        failure = await self._read_kind(HOLD_KIND, Hold, holds)
        if failure is not None:
            return failure
        context.holds = [hold.operation for hold in holds]
        return context

    async def _read_sections(self, accepted: AcceptedRoot) -> Failure | None:
        digests = accepted.root.section_digests
        for name in _SECTIONS:
            digest = digests.get(name, '')
            known = self._decoded.get(name)
            if known is not None and known[0] == digest:
                continue
            sections = await read_sections(self._store, {name: digest})
            if isinstance(sections, Failure):
                return sections
            part = chunks.decode(name, sections[name])
            if isinstance(part, Failure):
                return part
            self._decoded[name] = (digest, part)
        return None

    async def _read_kind(
        self,
        kind: str,
        operation_type: type[_Operation],
        found_operations: list[StoredOperation[_Operation]],
    ) -> Failure | None:
        listed = await self._store.list(kind)
        if isinstance(listed, Failure):
            return listed
        for stored in listed.objects:
            try:
                operation = decode_json(stored.body, type=operation_type)
            except msgspec.MsgspecError as error:
                # Stop planning: the unreadable object may be a hold on any target.
                return Failure(
                    ErrorKind.CONFIG_INVALID,
                    f'{kind}/{stored.name} is malformed: {error}',
                )
            found_operations.append(StoredOperation(operation, stored))
        return None
