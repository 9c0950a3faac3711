"""Find what takes too long on one connection of a client."""

import enum

from cicadadoor.decisions.progress_limits import ReadingProgress
from cicadadoor.entry.connection_context import ConnectionContext
from cicadadoor.entry.exchange import Exchange
from cicadadoor.entry.response_queue import ResponseQueue
from cicadadoor.entry.response_writer import ResponseWriter

# A client that takes nothing of its response for this time is disconnected.
_WRITE_TIMEOUT_S = 10.0
# Time to discard what a client still sends once it has the last response.
_LINGER_S = 2.0
_CHECK_PERIOD_S = 0.5


@enum.unique
class Overdue(enum.Enum):
    """State what took too long."""

    HEAD = 'head'
    BODY = 'body'
    RESPONSE = 'response'
    IDLE = 'idle'
    LINGER = 'linger'


class ConnectionTimeouts:
    """Hold the time at which a connection is to be checked, and check it."""

    def __init__(
        self,
        context: ConnectionContext,
        queue: ResponseQueue,
        writer: ResponseWriter,
        now_s: float,
    ) -> None:
        self._context = context
        self._queue = queue
        self._writer = writer
        self._idle_since_s = now_s
        self._waits_since_s = now_s
        self._taken_bytes = 0
        self._reading = ReadingProgress()
        self._linger_due_s: float | None = None
        # The connection is checked at this time at the latest.
        self.due_s = now_s + context.idle_timeout_s

    @property
    def is_left_to_kernel(self) -> bool:
        """Tell whether the kernel has all that the client has yet to take."""
        is_written = self._linger_due_s is not None and self._writer.can_write
        return is_written and self._writer.unacknowledged_bytes() > 0

    def begin_idle(self, now_s: float) -> None:
        """Take note that no request is left."""
        self._idle_since_s = now_s

    def begin_wait(self) -> None:
        """Take note that the client has to take bytes before more are written."""
        now_s = self._context.now_s()
        self._waits_since_s = now_s
        self._taken_bytes = self._writer.taken_bytes()
        self._reading.note(self._taken_bytes, now_s)
        self.due_s = min(self.due_s, now_s + _CHECK_PERIOD_S)

    def is_read_in_time(self) -> bool:
        """Tell whether the client reads its responses within the stated rate."""
        self._reading.note(self._writer.taken_bytes(), self._context.now_s())
        return self._reading.is_in_time

    def begin_linger(self) -> None:
        """Take note that the last response has been written."""
        self._linger_due_s = self._context.now_s() + _LINGER_S
        self.begin_wait()

    def find_overdue(self, now_s: float, receiving: Exchange | None) -> Overdue | None:
        """Return what took too long; otherwise set the time of the next check."""
        if self._linger_due_s is not None:
            return self._find_linger_end(now_s, self._linger_due_s)
        if not self._writer.can_write:
            return self._find_stall(now_s)
        if not self._queue:
            due_s = self._idle_since_s + self._context.idle_timeout_s
            return self._compare(now_s, due_s, Overdue.IDLE)
        if (
            receiving is None
            or receiving.is_held
            and self._queue.first is not receiving
        ):
            self.due_s = now_s + _CHECK_PERIOD_S
            if receiving is not None and receiving.body.progress is not None:
                # Its body is not read until all earlier requests are answered.
                receiving.body.progress.restart(now_s)
            return None
        if receiving.body.progress is None:
            return self._compare(now_s, receiving.head_due_s, Overdue.HEAD)
        return self._compare(now_s, receiving.body.progress.due_s, Overdue.BODY)

    def _find_linger_end(self, now_s: float, due_s: float) -> Overdue | None:
        if not self._writer.unacknowledged_bytes():
            return self._compare(now_s, due_s, Overdue.LINGER)
        # Closing now would discard bytes that the kernel holds for a slow client.
        self._linger_due_s = now_s + _LINGER_S
        return self._find_stall(now_s)

    def _find_stall(self, now_s: float) -> Overdue | None:
        taken_bytes = self._writer.taken_bytes()
        self._reading.note(taken_bytes, now_s)
        if taken_bytes != self._taken_bytes:
            self._taken_bytes = taken_bytes
            self._waits_since_s = now_s
        due_s = self._waits_since_s + _WRITE_TIMEOUT_S
        overdue = self._compare(now_s, due_s, Overdue.RESPONSE)
        self.due_s = min(self.due_s, now_s + _CHECK_PERIOD_S)
        return overdue

    def _compare(self, now_s: float, due_s: float, overdue: Overdue) -> Overdue | None:
        self.due_s = due_s
        return overdue if now_s >= due_s else None
