"""Hold the copy of the records of one topic, and what is known of its age."""

import math
import zlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import msgspec

from cicadadoor.decisions.restored_records import RestoredRecords
from cicadadoor.entry.model import (
    Changes,
    Position,
    Record,
    RequestPolicy,
    Snapshot,
    Topic,
    later_record,
)
from cicadadoor.entry.restore_rules import RULES
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.telemetry import logs, metrics

log = logs.logger('mirror')


class TopicCopy:
    """Hold the copy of one topic; times are on the boot clock."""

    __slots__ = (
        'behind_since_s',
        'change_heard_s',
        'changed_s',
        'digest',
        'failing_since_s',
        'has_snapshot',
        'is_history_gone',
        'is_read_ignored',
        'may_be_silent',
        'may_read_stale',
        'confirmed_s',
        'is_current',
        'is_renewed',
        'position',
        'records',
        'read_scope',
        '_remembered_era',
        'restored',
        'topic',
    )

    def __init__(self, topic: Topic, *, may_read_stale: bool) -> None:
        self.topic = topic
        self.position = Position(0, 0)
        self.records: dict[str, Record | None] = {}
        self.restored = RestoredRecords(RULES[topic])
        # The latest era of which it is known what was seen before it.
        self._remembered_era = 0
        # When the store last answered, or the copy of another host was adopted.
        self.confirmed_s = -math.inf
        self.has_snapshot = False
        # The first read may be stale: the watch from its revision delivers what it
        # misses, such as backend servers that have left. So that watch is not stale.
        self.may_read_stale = may_read_stale
        # Whether a read or watch that may not be stale has been answered.
        self.is_current = False
        # Set while the watch is cancelled to be started again.
        self.is_renewed = False
        # Whether the store may not answer the connection of the next watch, as it has
        # not answered another one.
        self.may_be_silent = False
        # Set until the copy is replaced after a watch whose history was gone.
        self.is_history_gone = False
        # Set until the copy is replaced after a read that was older than it.
        self.is_read_ignored = False
        self.failing_since_s: float | None = None
        self.behind_since_s: float | None = None
        # When another host was first heard to have a change that this copy lacks.
        self.change_heard_s: float | None = None
        # When the latest change of the copy was first known of: when the heartbeat of
        # another host first showed a change that it lacked, or when it changed.
        self.changed_s = -math.inf
        self.read_scope: anyio.CancelScope | None = None
        self.digest = 0

    @property
    def revision(self) -> int:
        """Return the revision of the copy, or 0 if there is none yet."""
        return self.position.revision

    @property
    def lacks_former_era(self) -> bool:
        """Return whether it is unknown what was seen before the present era."""
        return self.has_snapshot and self.position.era > self._remembered_era

    @property
    def snapshot(self) -> Snapshot:
        """Return the records and their position, to send to another host."""
        era, revision = self.position
        return Snapshot(era=era, revision=revision, records=self.records)

    def record_answer(self, now_s: float) -> None:
        """Record that the store answered, and log the end of a failure."""
        self.is_renewed = False
        self.may_be_silent = False
        self.is_current = self.has_snapshot or not self.may_read_stale
        self.has_snapshot = True
        if self.failing_since_s is None:
            return
        log.info(
            'store_regained',
            topic=self.topic.value,
            away_s=round(now_s - self.failing_since_s, 3),
        )
        self.failing_since_s = None

    def record_failure(self, failure: Failure, now_s: float) -> None:
        """Record that a call got no answer, and log the first failure."""
        if self.failing_since_s is None:
            self.failing_since_s = now_s
            log.warning(
                'store_lost',
                topic=self.topic.value,
                revision=self.revision,
                reason=failure.reason,
            )

    def record_history_gone(self) -> None:
        """Count a watch whose history is gone, and log the first of a series."""
        metrics.STORE_HISTORY_GONE.labels(self.topic.value).inc()
        if not self.is_history_gone:
            self.is_history_gone = True
            log.warning(
                'store_history_gone', topic=self.topic.value, revision=self.revision
            )

    def apply(self, answer: Snapshot | Changes, now_s: float, *, is_next: bool) -> bool:
        """Apply an answer of the store; return whether the records have changed.

        `is_next` tells that a read was not stale and began at the present copy: what it
        returns is later, whatever its revision.
        """
        self.confirmed_s = now_s
        if isinstance(answer, Snapshot):
            if is_next or answer.position >= self.position:
                return self.replace(answer, now_s)
            # A stale replica of the store gives an older revision.
            self._record_ignored_read(answer.revision)
            return False
        if answer.position <= self.position:
            return False
        if not answer.changed and not answer.removed:
            self._move_to(answer.position)
            return False
        records = dict(self.records)
        for name in (*answer.removed, *answer.replaced):
            self.restored.note_removal(name, records.pop(name, None), now_s)
        for name, record in answer.changed.items():
            if self.restored.note_change(name, record):
                records[name] = _later(records.get(name), record)
        return self._use(records, answer.position, now_s)

    def replace(
        self, snapshot: Snapshot, now_s: float, *, is_adopted: bool = False
    ) -> bool:
        """Replace the records by all of a later state; return whether they differ."""
        if not self.revision:
            return self._use(snapshot.records, snapshot.position, now_s)
        position = snapshot.position
        if position.era == self.position.era and position >= self.position:
            records = self.restored.read_again(
                self.records, snapshot.records, now_s, is_adopted=is_adopted
            )
            later = {
                name: _later(self.records.get(name), record)
                for name, record in records.items()
            }
            return self._use(later, position, now_s)
        records = self.restored.restore(self.records, snapshot.records, now_s)
        self._remembered_era = position.era
        self._log_restored(position)
        return self._use(records, position, now_s)

    def learn(self, snapshot: Snapshot, now_s: float) -> bool:
        """Take over what another host has seen before the store came back.

        Return whether the records differ.
        """
        records = self.restored.learn(snapshot.records, self.records, now_s)
        self._remembered_era = self.position.era
        return self._use(records, self.position, now_s)

    def expire_restored(self, now_s: float) -> bool:
        """Believe the store where a time has passed; return whether records differ."""
        records = self.restored.expire(self.records, now_s)
        return records is not None and self._use(records, self.position, now_s)

    def _use(
        self, records: dict[str, Record | None], position: Position, now_s: float
    ) -> bool:
        is_same = self.revision > 0 and records == self.records
        self._move_to(position)
        self.is_history_gone = False
        self.is_read_ignored = False
        self.behind_since_s = None
        heard_s, self.change_heard_s = self.change_heard_s, None
        if is_same:
            return False
        self.changed_s = now_s if heard_s is None else heard_s
        self.records = records
        self.digest = _digest(records)
        return True

    def reread(self) -> None:
        """Cancel the current watch and read the whole topic."""
        if self.read_scope is not None:
            self.read_scope.cancel()

    def read_anew(self) -> None:
        """Read the whole topic next, also if no call is under way to be cancelled."""
        self.is_renewed = False
        if self.read_scope is None:
            self.prepare_next_call()
        self.reread()

    def renew_watch(self) -> None:
        """Start the watch again, on a new connection."""
        if self.read_scope is not None:
            self.is_renewed = True
            self.may_be_silent = True
            self.read_scope.cancel()

    def prepare_next_call(self) -> None:
        """Read the whole topic next, unless its watch was cancelled to be renewed."""
        if not self.is_renewed:
            self.has_snapshot = False
            self.may_read_stale = False
        self.is_renewed = False

    @contextmanager
    def recording_faults(self, now_s: Callable[[], float]) -> Iterator[None]:
        """Record an exception of the reader as a failure, and re-raise it.

        The copy is no longer updated then, so it must not count as current.
        """
        try:
            yield
        except Exception as error:
            reason = f'{type(error).__name__}: {error}'
            self.record_failure(Failure(ErrorKind.INTERNAL, reason), now_s())
            raise

    def _log_restored(self, position: Position) -> None:
        held, withheld = self.restored.counts
        log.warning(
            'copy_restored',
            topic=self.topic.value,
            era=position.era,
            revision=position.revision,
            had=self.revision,
            held=held,
            withheld=withheld,
        )

    def _move_to(self, position: Position) -> None:
        self.position = position
        metrics.COPY_REVISION.labels(self.topic.value).set(position.revision)

    def _record_ignored_read(self, revision: int) -> None:
        """Count a read that is older than the copy, and log the first of a series."""
        metrics.STORE_READS_IGNORED.labels(self.topic.value).inc()
        if not self.is_read_ignored:
            self.is_read_ignored = True
            log.warning(
                'store_read_ignored',
                topic=self.topic.value,
                revision=revision,
                had=self.revision,
            )


def _later(known: Record | None, record: Record | None) -> Record | None:
    later = later_record(known, record)
    if later is not record and isinstance(known, RequestPolicy):
        log.info(
            'policy_ignored',
            in_force=known.version,
            version=record.version if isinstance(record, RequestPolicy) else None,
        )
    return later


def _digest(records: dict[str, Record | None]) -> int:
    return zlib.crc32(msgspec.msgpack.encode(sorted(records.items())))
