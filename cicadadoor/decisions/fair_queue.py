"""Queue requests with fair scheduling among organisations."""

from collections import deque
from collections.abc import Iterator
from typing import Any

# Fraction of a deferrable request's allowed waiting time after which it is treated as
# interactive.
_PROMOTE_AFTER = 0.5


class QueuedRequest:
    """Hold one request in the queue."""

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

    def is_promoted(self, now_s: float) -> bool:
        """Return whether a deferrable request is treated as interactive by now."""
        allowed_s = self.deadline_s - self.since_s
        return now_s >= self.since_s + allowed_s * _PROMOTE_AFTER


class _OrganisationQueue:
    """Hold one organisation's requests and its deficit counter."""

    __slots__ = ('deficit', 'deferrable', 'interactive')

    def __init__(self) -> None:
        self.interactive: deque[QueuedRequest] = deque()
        self.deferrable: deque[QueuedRequest] = deque()
        self.deficit = 0.0

    def __len__(self) -> int:
        return len(self.interactive) + len(self.deferrable)

    def promote(self, now_s: float) -> None:
        """Move deferrable requests that near their deadline to the interactive ones."""
        while self.deferrable and self.deferrable[0].is_promoted(now_s):
            self.interactive.append(self.deferrable.popleft())


class FairQueue:
    """Serve organisations by deficit round robin, interactive requests first.

    Each organisation has a queue of bounded length, so that one that sends several
    times its rate fills only its own queue.
    """

    __slots__ = ('_organisation_queues', '_max_length', '_turns')

    def __init__(self, max_length: int) -> None:
        self._max_length = max_length
        self._organisation_queues: dict[str, _OrganisationQueue] = {}
        self._turns: deque[str] = deque()

    def __len__(self) -> int:
        return sum(
            len(organisation_queue)
            for organisation_queue in self._organisation_queues.values()
        )

    def add(self, queued: QueuedRequest) -> bool:
        """Add a request to its organisation's queue; return False if that is full."""
        organisation_queue = self._organisation_queues.get(queued.organisation)
        if organisation_queue is None:
            organisation_queue = _OrganisationQueue()
            self._organisation_queues[queued.organisation] = organisation_queue
            self._turns.append(queued.organisation)
        if len(organisation_queue) >= self._max_length:
            return False
        if queued.is_deferrable:
            organisation_queue.deferrable.append(queued)
        else:
            organisation_queue.interactive.append(queued)
        return True

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request whose caller has disconnected, if it is still queued."""
        organisation_queue = self._organisation_queues.get(queued.organisation)
        if organisation_queue is None:
            return
        for requests in (organisation_queue.interactive, organisation_queue.deferrable):
            if queued in requests:
                requests.remove(queued)
        if not organisation_queue:
            self._remove_organisation(queued.organisation)

    def expired(self, now_s: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        late = [
            queued
            for organisation_queue in self._organisation_queues.values()
            for queued in (
                *organisation_queue.interactive,
                *organisation_queue.deferrable,
            )
            if queued.deadline_s <= now_s
        ]
        for queued in late:
            self.remove(queued)
        return late

    def pop(self, now_s: float, weights: dict[str, int]) -> QueuedRequest | None:
        """Remove and return the next request, or None if the queue is empty."""
        for organisation_queue in self._organisation_queues.values():
            organisation_queue.promote(now_s)
        for name in ('interactive', 'deferrable'):
            if any(
                getattr(organisation_queue, name)
                for organisation_queue in self._organisation_queues.values()
            ):
                return self._next(name, weights)
        return None

    def put_back(self, queued: QueuedRequest, now_s: float) -> None:
        """Put a request that could not be served back at the head of its queue."""
        organisation_queue = self._organisation_queues.get(queued.organisation)
        if organisation_queue is None:
            organisation_queue = _OrganisationQueue()
            self._organisation_queues[queued.organisation] = organisation_queue
            self._turns.appendleft(queued.organisation)
        if queued.is_deferrable and not queued.is_promoted(now_s):
            organisation_queue.deferrable.appendleft(queued)
        else:
            organisation_queue.interactive.appendleft(queued)
        organisation_queue.deficit += 1

    def _next(self, name: str, weights: dict[str, int]) -> QueuedRequest:
        while True:
            organisation = self._turns[0]
            organisation_queue = self._organisation_queues[organisation]
            requests = getattr(organisation_queue, name)
            if requests and organisation_queue.deficit >= 1:
                organisation_queue.deficit -= 1
                queued = requests.popleft()
                if not organisation_queue:
                    self._remove_organisation(organisation)
                return queued
            self._turns.rotate(-1)
            following = self._organisation_queues[self._turns[0]]
            if getattr(following, name):
                following.deficit += weights.get(self._turns[0], 1)

    def _remove_organisation(self, organisation: str) -> None:
        # An organisation with an empty queue leaves the round, so that it gains no
        # deficit while it is idle.
        self._organisation_queues.pop(organisation)
        self._turns.remove(organisation)


def pop_all(
    queue: FairQueue,
    now_s: float,
    weights: dict[str, int],
) -> Iterator[QueuedRequest]:
    """Remove and yield all requests in the order of service."""
    while (queued := queue.pop(now_s, weights)) is not None:
        yield queued
