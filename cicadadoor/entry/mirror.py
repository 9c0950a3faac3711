"""Keep a copy of the shared records, from the store or from other hosts."""

import random
from collections.abc import Callable

import anyio
from msgspec import structs

from cicadadoor.entry.eras import StoreEras
from cicadadoor.entry.model import (
    Changes,
    Position,
    Record,
    Snapshot,
    Topic,
)
from cicadadoor.entry.source import RecordSource
from cicadadoor.entry.topic_copy import TopicCopy
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('mirror')

# Each watch that ends without a change costs a store call. Hosts start their watches at
# different times and exchange revisions in heartbeats, so a connection that went silent
# is detected before its watch ends.
_WATCH_WAIT_S = 10.0
# All connections of all hosts may go silent at once, so that no heartbeat shows it. The
# reader of a failure domain notices it by this watch, in less than the time after which
# the users expect changes to arrive again (4 s).
_READER_POLICY_WAIT_S = 2.0
# For hosts that the reader of their failure domain tells of later revisions.
_RELAYED_WATCH_WAIT_S = 29.0
# With a stale configuration a host would refuse new keys and routes.
_NEVER_STALE = frozenset((Topic.POLICY,))
# After a failure, a short watch shows at once whether the store has recovered.
_PROBE_WAIT_S = 0.05
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0
_BATCH_DELAY_S = 0.15
# With more hosts, changes are batched for longer, up to a quarter of the time within
# which they must take effect.
_HOSTS_AT_BASE_DELAY = 16
_MAX_BATCH_DELAY_S = 0.6
# The list of hosts changes with each host that starts; heartbeats tell more quickly
# whether a host lives.
_MAX_HOSTS_BATCH_DELAY_S = 2.0
# If another host has a later revision that the watch has not delivered within this
# time, the watch is no longer served.
WATCH_LAG_LIMIT_S = 0.4

OnChange = Callable[[Topic], None]


class Mirror(Service):
    """Read and watch every topic while the process runs."""

    name = 'mirror'

    def __init__(self) -> None:
        self._source: RecordSource
        self._timer: TimerService
        self._copies = {
            topic: TopicCopy(topic, may_read_stale=topic not in _NEVER_STALE)
            for topic in Topic
        }
        self._subscribers: list[OnChange] = []
        self.eras = StoreEras(self._copies, self._notify_all)
        self._is_stopped = False
        # Whether another host is the reader of this failure domain.
        self.may_be_stale = False
        # Whether that one is relied on for the configuration too. Calls that may be
        # stale cost a tenth, and each change of it ends a watch of every host.
        self.policy_may_be_stale = False
        # Topics of which a later copy is taken from another host without waiting for
        # the watch.
        self.urgent_topics: set[Topic] = set()

    async def start(self, kernel: Kernel) -> None:
        """Start to follow every topic."""
        self._source = kernel.find('source')
        self._timer = kernel.find('timer')
        self.eras.start(self._source, self._timer)
        for topic in Topic:
            kernel.spawn(self._follow, topic, on_fault=OnFault.RESTART)

    async def stop(self, grace_s: float) -> None:
        """Stop following the topics."""
        self._is_stopped = True
        for topic in Topic:
            self.reread(topic)

    def subscribe(self, on_change: OnChange) -> None:
        """Call `on_change` after each change, in the same step of the event loop.

        It is called at once for each topic that has been read already.
        """
        self._subscribers.append(on_change)
        for topic, copy in self._copies.items():
            if copy.revision:
                _notify(on_change, topic)

    def copy(self, topic: Topic) -> TopicCopy:
        """Return the copy of a topic."""
        return self._copies[topic]

    def records(self, topic: Topic) -> dict[str, Record | None]:
        """Return the current records of a topic."""
        return self._copies[topic].records

    def position(self, topic: Topic) -> Position:
        """Return the position of the store at which the copy is."""
        return self._copies[topic].position

    def revision(self, topic: Topic) -> int:
        """Return the revision of the copy, or 0 if there is none yet."""
        return self._copies[topic].revision

    def age_s(self, topic: Topic) -> float:
        """Return the time since the copy was last known to be current, in seconds."""
        copy = self._copies[topic]
        if copy.failing_since_s is None and copy.revision:
            return 0.0
        return self._timer.now_s() - copy.confirmed_s

    def is_failing(self, topic: Topic) -> bool:
        """Return whether the last call for the topic got no answer."""
        return self._copies[topic].failing_since_s is not None

    @property
    def is_served(self) -> bool:
        """Return whether the store answered the last call for each topic."""
        return not any(self.is_failing(topic) for topic in Topic)

    def adopt(self, topic: Topic, snapshot: Snapshot, source: str) -> bool:
        """Replace the copy by that of another host if that is later.

        Return whether it was replaced.
        """
        copy = self._copies[topic]
        position = self.eras.read_as(topic, snapshot.position)
        if position <= copy.position:
            return False
        snapshot = structs.replace(snapshot, era=position.era)
        log.info(
            'copy_adopted',
            topic=topic.value,
            era=snapshot.era,
            revision=snapshot.revision,
            had=copy.revision,
            source=source,
        )
        is_later_era = snapshot.era > copy.position.era
        self.eras.note(snapshot.era)
        if is_later_era or self.eras.is_young:
            self.eras.reread_later(topic)
        copy.confirmed_s = self._timer.now_s()
        if copy.replace(snapshot, copy.confirmed_s, is_adopted=True):
            self._notify_all(topic)
        self.eras.expire_later()
        return True

    def learn(self, topic: Topic, snapshot: Snapshot, source: str) -> None:
        """Take over what another host has seen before the store came back."""
        log.info('copy_learned', topic=topic.value, source=source)
        copy = self._copies[topic]
        if copy.learn(snapshot, self._timer.now_s()):
            self._notify_all(topic)
        # Its first read may have been of the former era, as it may be stale.
        copy.read_anew()
        self.eras.expire_later()

    def check_lag(self, topic: Topic, position: Position, digest: int) -> bool:
        """Return whether another host has had later records for longer than the limit.

        A host whose watches must not be stale, or that has not read the topic in the
        present era of the store, rereads it then.
        """
        copy = self._copies[topic]
        now_s = self._timer.now_s()
        is_later_era = position.era > copy.position.era
        is_same = digest == copy.digest and not is_later_era
        if position <= copy.position or is_same:
            copy.behind_since_s = None
            copy.change_heard_s = None
            return False
        if copy.behind_since_s is None:
            copy.behind_since_s = now_s
        if copy.change_heard_s is None:
            copy.change_heard_s = now_s
        if topic in self.urgent_topics and _may_be_stale(self, topic):
            return True
        lag_limit_s = WATCH_LAG_LIMIT_S + _batch_delay_s(
            topic, len(self.records(Topic.HOSTS))
        )
        if now_s - copy.behind_since_s <= lag_limit_s:
            return False
        may_reread = is_later_era or not _may_be_stale(self, topic)
        if copy.failing_since_s is None and may_reread:
            copy.behind_since_s = None
            log.info('watch_behind', topic=topic.value, had=copy.revision)
            self.reread(topic)
        return True

    def reread(self, topic: Topic) -> None:
        """Cancel the current watch and read the whole topic."""
        self._copies[topic].reread()

    async def _follow(self, topic: Topic) -> None:
        copy = self._copies[topic]
        backoff_s = _MIN_BACKOFF_S
        with copy.recording_faults(self._timer.now_s):
            while not self._is_stopped:
                asked = copy.position
                answer = await self._call(topic)
                if isinstance(answer, Snapshot | Changes):
                    backoff_s = _MIN_BACKOFF_S
                    await self._take(copy, answer, asked)
                elif answer is None:
                    copy.prepare_next_call()
                elif answer.kind is ErrorKind.STORE_COMPACTED:
                    copy.record_history_gone()
                    copy.prepare_next_call()
                else:
                    self._record_failure(topic, answer)
                    await self._timer.sleep(backoff_s * (0.5 + random.random()))
                    backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)

    async def _take(
        self, copy: TopicCopy, answer: Snapshot | Changes, asked: Position
    ) -> None:
        """Apply an answer to a call that began at the position `asked`."""
        if isinstance(answer, Changes) and answer.era != asked.era:
            # They do not follow the revision that the watch began at.
            copy.prepare_next_call()
            return
        is_next = not copy.may_read_stale and asked == copy.position
        copy.record_answer(self._timer.now_s())
        if copy.apply(answer, self._timer.now_s(), is_next=is_next):
            self._notify_all(copy.topic)
        self.eras.expire_later()
        if copy.is_current:
            # Batches changes in quick succession into one call.
            await self._timer.sleep(
                _batch_delay_s(copy.topic, len(self.records(Topic.HOSTS)))
            )

    async def _call(self, topic: Topic) -> Snapshot | Changes | Failure | None:
        """Read or watch a topic; return None if that was cancelled."""
        copy = self._copies[topic]
        answer: Snapshot | Changes | Failure | None = None
        with anyio.CancelScope() as scope:
            copy.read_scope = scope
            if copy.has_snapshot:
                answer = await self._source.watch(
                    topic,
                    copy.revision,
                    _watch_wait_s(
                        topic,
                        is_probe=self.is_failing(topic) or copy.may_be_silent,
                        is_reader=not self.may_be_stale,
                    ),
                    may_be_stale=copy.is_current and _may_be_stale(self, topic),
                )
            else:
                answer = await self._source.read(
                    topic, may_be_stale=copy.may_read_stale
                )
        copy.read_scope = None
        return answer

    def _record_failure(self, topic: Topic, failure: Failure) -> None:
        copy = self._copies[topic]
        if topic is Topic.POLICY and copy.failing_since_s is None:
            # The connections of the other watches may be silent as well.
            for other in self._copies.values():
                other.renew_watch()
        copy.record_failure(failure, self._timer.now_s())

    def _notify_all(self, topic: Topic) -> None:
        for on_change in self._subscribers:
            _notify(on_change, topic)


def _notify(on_change: OnChange, topic: Topic) -> None:
    # An error in one subscriber must not keep the change from the others.
    try:
        on_change(topic)
    except Exception:
        log.exception('change_not_taken', topic=topic.value)


def _may_be_stale(mirror: Mirror, topic: Topic) -> bool:
    if not mirror.may_be_stale or mirror.eras.is_young:
        return False
    return mirror.policy_may_be_stale or topic not in _NEVER_STALE


def _watch_wait_s(topic: Topic, *, is_probe: bool, is_reader: bool) -> float:
    if is_probe:
        return _PROBE_WAIT_S
    wait_s = _WATCH_WAIT_S if is_reader else _RELAYED_WATCH_WAIT_S
    if topic is Topic.POLICY and is_reader:
        wait_s = _READER_POLICY_WAIT_S
    # A random part spreads the watches of hosts that started together.
    return wait_s * (0.5 + random.random() / 2)


def _batch_delay_s(topic: Topic, host_count: int) -> float:
    longest_s = _MAX_BATCH_DELAY_S
    if topic is Topic.HOSTS:
        longest_s = _MAX_HOSTS_BATCH_DELAY_S
    scale = max(1.0, host_count / _HOSTS_AT_BASE_DELAY)
    return min(longest_s, _BATCH_DELAY_S * scale)
