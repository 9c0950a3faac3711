"""Simulate backend servers with slots, queues and caches on a manual clock."""

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable

from cicadadoor.entry.messages import LoadReport
from cicadadoor.entry.model import BackendRecord

# Ege's route list: its work, and 0.3 of it where the object is cached.
UNCACHED_S = 0.54
CACHED_S = 0.162

Respond = Callable[[LoadReport], None]

Due = tuple[float, int, Callable[[], None]]


class Clock:
    """Run callbacks in the order of their simulated times."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._due: list[Due] = []
        self._numbers = itertools.count()

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call back after a delay."""
        due = (self.now_s + delay_s, next(self._numbers), callback)
        heapq.heappush(self._due, due)

    def run(self, until_s: float) -> None:
        """Run all callbacks that fall due."""
        while self._due and self._due[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._due)
            callback()
        self.now_s = until_s


class ModelServer:
    """Serve requests in slots, queue the others, and cache the objects used last."""

    def __init__(self, record: BackendRecord, clock: Clock, seed: int) -> None:
        self.record = record
        self.cache_size = 60
        # How much longer than usual work takes, by the time.
        self.slowdown: Callable[[float], float] = lambda now_s: 1.0
        self.served = 0
        self.cache: OrderedDict[str, None] = OrderedDict()
        self._running = 0
        self._full_until_s = 0.0
        self._clock = clock
        self._queue: deque[tuple[str, Respond]] = deque()
        self._random = random.Random(seed)

    @property
    def free_for_s(self) -> float:
        """Return for how long there has been a free slot."""
        if self._running == self.record.slots:
            return 0.0
        return self._clock.now_s - self._full_until_s

    def arrive(self, object_key: str, respond: Respond) -> None:
        """Take a request, and respond with the load when it has been served."""
        self._queue.append((object_key, respond))
        self._start()

    def _start(self) -> None:
        if not self._queue or self._running == self.record.slots:
            return
        object_key, respond = self._queue.popleft()
        self._running += 1
        work_s = CACHED_S if object_key in self.cache else UNCACHED_S
        work_s *= self._random.uniform(0.85, 1.15)
        if self._random.random() < 0.03:
            work_s *= 7
        work_s *= self.slowdown(self._clock.now_s)
        self._clock.after(work_s, lambda: self._finish(object_key, respond))

    def _finish(self, object_key: str, respond: Respond) -> None:
        load = LoadReport(
            self._running,
            len(self._queue),
            self.record.slots,
            self.slowdown(self._clock.now_s),
        )
        if self._running == self.record.slots:
            self._full_until_s = self._clock.now_s
        self._running -= 1
        self.served += 1
        self.cache[object_key] = None
        self.cache.move_to_end(object_key)
        if len(self.cache) > self.cache_size:
            self.cache.popitem(last=False)
        self._start()
        respond(load)
