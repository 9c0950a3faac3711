"""Order waiting requests fairly among organisations."""

from collections import deque
from collections.abc import Iterator
from typing import Any

# Part of a deferrable request's allowed waiting time after which it goes with the
# interactive ones.
_RISE_AFTER = 0.5


class Waiting:
    """Hold one waiting request."""

    __slots__ = ('deadline_s', 'is_deferrable', 'organisation', 'payload', 'since_s')

    def __init__(
        self,
        payload: Any,
        organisation: str,
        since_s: float,
        deadline_s: float,
        *,
        is_deferrable: bool,
    ) -> None:
        self.payload = payload
        self.organisation = organisation
        self.since_s = since_s
        self.deadline_s = deadline_s
        self.is_deferrable = is_deferrable

    def has_risen(self, now_s: float) -> bool:
        """Tell whether a deferrable request goes with the interactive ones."""
        allowed_s = self.deadline_s - self.since_s
        return now_s >= self.since_s + allowed_s * _RISE_AFTER


class _Line:
    """Hold what one organisation has waiting, and its turn in the round."""

    __slots__ = ('deficit', 'deferrable', 'interactive')

    def __init__(self) -> None:
        self.interactive: deque[Waiting] = deque()
        self.deferrable: deque[Waiting] = deque()
        self.deficit = 0.0

    def __len__(self) -> int:
        return len(self.interactive) + len(self.deferrable)

    def rise(self, now_s: float) -> None:
        """Move deferrable requests that near their deadline up."""
        while self.deferrable and self.deferrable[0].has_risen(now_s):
            self.interactive.append(self.deferrable.popleft())


class FairQueue:
    """Serve organisations by deficit round robin, interactive requests first.

    Each organisation has a line of bounded length, so that one that sends several
    times its rate fills only its own.
    """

    __slots__ = ('_lines', '_longest', '_round')

    def __init__(self, longest: int) -> None:
        self._longest = longest
        self._lines: dict[str, _Line] = {}
        self._round: deque[str] = deque()

    def __len__(self) -> int:
        return sum(len(line) for line in self._lines.values())

    def add(self, waiting: Waiting) -> bool:
        """Put a request in its organisation's line, unless the line is full."""
        line = self._lines.get(waiting.organisation)
        if line is None:
            line = _Line()
            self._lines[waiting.organisation] = line
            self._round.append(waiting.organisation)
        if len(line) >= self._longest:
            return False
        if waiting.is_deferrable:
            line.deferrable.append(waiting)
        else:
            line.interactive.append(waiting)
        return True

    def remove(self, waiting: Waiting) -> None:
        """Take out a request whose caller went away, if it is still there."""
        line = self._lines.get(waiting.organisation)
        if line is None:
            return
        for requests in (line.interactive, line.deferrable):
            if waiting in requests:
                requests.remove(waiting)
        if not line:
            self._forget(waiting.organisation)

    def expired(self, now_s: float) -> list[Waiting]:
        """Take out and return requests whose deadline has passed."""
        late = [
            waiting
            for line in self._lines.values()
            for waiting in (*line.interactive, *line.deferrable)
            if waiting.deadline_s <= now_s
        ]
        for waiting in late:
            self.remove(waiting)
        return late

    def pop(self, now_s: float, weights: dict[str, int]) -> Waiting | None:
        """Take out the request whose turn it is, or return None if none waits."""
        for line in self._lines.values():
            line.rise(now_s)
        for name in ('interactive', 'deferrable'):
            if any(getattr(line, name) for line in self._lines.values()):
                return self._next(name, weights)
        return None

    def put_back(self, waiting: Waiting, now_s: float) -> None:
        """Return a request that could not be served to the head of its line."""
        line = self._lines.get(waiting.organisation)
        if line is None:
            line = _Line()
            self._lines[waiting.organisation] = line
            self._round.appendleft(waiting.organisation)
        if waiting.is_deferrable and not waiting.has_risen(now_s):
            line.deferrable.appendleft(waiting)
        else:
            line.interactive.appendleft(waiting)
        line.deficit += 1

    def _next(self, name: str, weights: dict[str, int]) -> Waiting:
        while True:
            organisation = self._round[0]
            line = self._lines[organisation]
            requests = getattr(line, name)
            if requests and line.deficit >= 1:
                line.deficit -= 1
                waiting = requests.popleft()
                if not line:
                    self._forget(organisation)
                return waiting
            self._round.rotate(-1)
            following = self._lines[self._round[0]]
            if getattr(following, name):
                following.deficit += weights.get(self._round[0], 1)

    def _forget(self, organisation: str) -> None:
        # An empty line keeps no turn, so that idling earns nothing.
        self._lines.pop(organisation)
        self._round.remove(organisation)


def pop_all(
    queue: FairQueue,
    now_s: float,
    weights: dict[str, int],
) -> Iterator[Waiting]:
    """Yield all waiting requests in order of service."""
    while (waiting := queue.pop(now_s, weights)) is not None:
        yield waiting
