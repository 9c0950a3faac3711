"""Follow the eras of the store, and what is not believed at the start of one."""

import math
from collections.abc import Callable
from functools import partial

from cicadadoor.entry.model import Position, Topic
from cicadadoor.entry.source import RecordSource
from cicadadoor.entry.topic_copy import TopicCopy
from cicadadoor.timer import TimerService

# Answers that may be stale are seconds old. For this long after the store has come back
# from a copy, they may be of the former era.
_YOUNG_ERA_S = 10.0
_EXPIRY_INTERVAL_S = 0.5

OnEra = Callable[[], None]
OnChange = Callable[[Topic], None]


class StoreEras:
    """Start a new era of all copies, and let the store be believed step by step."""

    __slots__ = (
        '_adopted',
        '_copies',
        '_is_expiring',
        '_on_change',
        '_subscribers',
        '_timer',
        '_began_s',
    )

    def __init__(self, copies: dict[Topic, TopicCopy], on_change: OnChange) -> None:
        self._copies = copies
        self._on_change = on_change
        self._timer: TimerService
        self._subscribers: list[OnEra] = []
        # When this host noticed that the store had come back from a copy.
        self._began_s = -math.inf
        self._is_expiring = False
        # Topics that will be read again as they were adopted from another host.
        self._adopted: set[Topic] = set()

    def start(self, source: RecordSource, timer: TimerService) -> None:
        """Follow the era that the store's answers name."""
        self._timer = timer
        source.subscribe_era(self._reread_all)

    def subscribe(self, on_era: OnEra) -> None:
        """Call `on_era` when the store has come back from a copy."""
        self._subscribers.append(on_era)

    @property
    def age_s(self) -> float:
        """Return the time since the store came back from a copy, or infinity."""
        return self._timer.now_s() - self._began_s

    @property
    def is_young(self) -> bool:
        """Return whether the store came back from a copy some seconds ago."""
        return self.age_s < _YOUNG_ERA_S

    def read_as(self, topic: Topic, position: Position) -> Position:
        """Return the position that a host of a former build means, which names no era.

        It is taken for one of the present era until this host has seen a change of era.
        """
        if position.era or self.age_s < math.inf:
            return position
        return Position(self._copies[topic].position.era, position.revision)

    def note(self, era: int) -> None:
        """Start a new era if it is later than those of all copies."""
        present = max(copy.position.era for copy in self._copies.values())
        if not 0 < present < era:
            return
        self._began_s = self._timer.now_s()
        for on_era in self._subscribers:
            on_era()

    def expire_later(self) -> None:
        """Check later for records that this host keeps against the store."""
        is_pending = any(copy.restored.is_pending for copy in self._copies.values())
        if is_pending and not self._is_expiring:
            self._is_expiring = True
            self._timer.after('expire_restored', _EXPIRY_INTERVAL_S, self._expire)

    def reread_later(self, topic: Topic) -> None:
        """Read an adopted topic again once its sender keeps no records for a time.

        The copy does not tell which ones the sender holds or withholds.
        """
        if topic not in self._adopted:
            self._adopted.add(topic)
            reread = partial(self._reread_adopted, topic)
            self._timer.after('reread_adopted', _YOUNG_ERA_S, reread)

    async def _reread_adopted(self, topic: Topic) -> None:
        self._adopted.discard(topic)
        self._copies[topic].read_anew()

    def _reread_all(self, era: int) -> None:
        self.note(era)
        for copy in self._copies.values():
            if copy.position.era < era:
                copy.read_anew()

    async def _expire(self) -> None:
        self._is_expiring = False
        for topic, copy in self._copies.items():
            if copy.expire_restored(self._timer.now_s()):
                self._on_change(topic)
        self.expire_later()
