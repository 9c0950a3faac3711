"""Read and write shared records in the platform's store."""

from collections.abc import Callable

import msgspec

from cicadadoor.entry.model import (
    Changes,
    HostRecord,
    Position,
    Record,
    Snapshot,
    Topic,
    later_record,
)
from cicadadoor.entry.source import RecordSource
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.platform.answers import (
    Metadata,
    Page,
    StoreObject,
    decode_object,
    object_name,
)
from cicadadoor.platform.decoding import MalformedObjectError, decode
from cicadadoor.platform.store_client import StoreClient
from cicadadoor.telemetry import logs

log = logs.logger('platform')

_HOST_KIND = 'cicadadoor-hosts'
_KINDS = {
    Topic.POLICY: 'config',
    Topic.BACKENDS: 'servers',
    Topic.EVACUATIONS: 'evacuations',
    Topic.HOSTS: _HOST_KIND,
}
_POLICY_NAME = 'main'


class PlatformSource(RecordSource):
    """Convert between records and objects of the store."""

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    async def stop(self, grace_s: float) -> None:
        """Close the connections."""
        await self._client.close()

    def subscribe_era(self, on_era: Callable[[int], None]) -> None:
        """Call `on_era` with the era of the store when it has come back from a copy."""
        self._client.era.subscribe(on_era)

    async def read(
        self, topic: Topic, *, may_be_stale: bool = False
    ) -> Snapshot | Failure:
        """Return all records of a topic."""
        records: dict[str, Record | None] = {}
        first: Position | None = None
        after = ''
        followed: set[str] = set()
        while True:
            page = await self._client.page(
                _KINDS[topic],
                after,
                allow_stale=may_be_stale,
            )
            if isinstance(page, Failure):
                return page
            for item in page.items:
                _decode_into(topic, item, records)
            # Changes to earlier pages are not in later ones. The watch starts at the
            # first page's revision and delivers them.
            position = Position(self._era, page.at)
            first = first or position
            if position.era != first.era:
                return Failure(
                    ErrorKind.STORE_COMPACTED,
                    f'{_KINDS[topic]}: the store came back from a copy between pages',
                )
            if not page.more:
                return Snapshot(era=first.era, revision=first.revision, records=records)
            followed.add(after)
            after = _last_name(page)
            if after in followed:
                return Failure(
                    ErrorKind.STORE_UNAVAILABLE,
                    f'{_KINDS[topic]}: the page after {after!r} does not advance',
                )

    async def watch(
        self,
        topic: Topic,
        revision: int,
        wait_s: float,
        *,
        may_be_stale: bool = False,
    ) -> Changes | Failure:
        """Return changes after the revision, or none if `wait_s` passes without any."""
        answer = await self._client.watch(
            _KINDS[topic],
            revision,
            wait_s,
            allow_stale=may_be_stale,
        )
        if isinstance(answer, Failure):
            return answer
        changed: dict[str, Record | None] = {}
        removed: set[str] = set()
        for event in answer.events:
            name = _decode_into(topic, event.object, changed)
            if event.deleted:
                changed.pop(name, None)
                removed.add(name)
        return Changes(
            era=self._era,
            revision=answer.at,
            changed=changed,
            removed=tuple(removed.difference(changed)),
            replaced=tuple(removed.intersection(changed)),
        )

    async def publish_host(self, record: HostRecord) -> None | Failure:
        """Create or replace the record of a host."""
        new_object = _host_object(record)
        answer = await self._client.create(_HOST_KIND, new_object)
        if isinstance(answer, Failure) and answer.kind is ErrorKind.STORE_CONFLICT:
            # The record of an earlier run of this host.
            answer = await self._client.replace(_HOST_KIND, new_object)
        return answer if isinstance(answer, Failure) else None

    async def update_host(self, record: HostRecord) -> None | Failure:
        """Replace the record of a host; fail if there is none."""
        answer = await self._client.replace(_HOST_KIND, _host_object(record))
        return answer if isinstance(answer, Failure) else None

    async def remove_host(self, host: str) -> None | Failure:
        """Remove the record of a host; succeed if it does not exist."""
        present = await self._client.get(_HOST_KIND, host)
        if isinstance(present, Failure):
            is_gone = present.kind is ErrorKind.STORE_NOT_FOUND
            return None if is_gone else present
        revision = present.metadata.revision
        answer = await self._client.delete(_HOST_KIND, host, revision)
        is_gone = answer is not None and answer.kind is ErrorKind.STORE_NOT_FOUND
        return None if is_gone else answer

    @property
    def _era(self) -> int:
        """Return the era of the answer that has just been returned.

        The client returns answers of former eras as failures, and does so in the step
        in which it has read the era.
        """
        return self._client.era.current


def _host_object(record: HostRecord) -> StoreObject:
    return StoreObject(
        metadata=Metadata(name=record.host),
        spec=msgspec.Raw(msgspec.json.encode(record)),
    )


def _last_name(page: Page) -> str:
    names = (object_name(item) for item in reversed(page.items))
    return next(filter(None, names), '')


def _decode_into(
    topic: Topic,
    encoded: msgspec.Raw,
    records: dict[str, Record | None],
) -> str:
    name = ''
    try:
        stored = decode_object(encoded)
        name = stored.metadata.name
        if topic is Topic.POLICY and name != _POLICY_NAME:
            return name
        records[name] = later_record(records.get(name), decode(topic, stored))
    except (msgspec.MsgspecError, MalformedObjectError, RecursionError) as error:
        name = name or object_name(encoded)
        log.warning('object_unreadable', topic=topic.value, name=name, error=error)
        if name and (topic is not Topic.POLICY or name == _POLICY_NAME):
            records[name] = later_record(records.get(name), None)
    return name
