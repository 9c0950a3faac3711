"""Send the responses of one connection in the order of its requests."""

from collections import deque
from collections.abc import Callable

from cicadadoor.entry.connection_context import ConnectionContext
from cicadadoor.entry.exchange import REQUEST_BYTES, Exchange, Response
from cicadadoor.entry.response_writer import ResponseWriter


def _ignore() -> None:
    """Do nothing for a connection that has ended."""


def _never() -> bool:
    """Return that the client of an ended connection reads no more."""
    return False


class ResponseQueue:
    """Hold the requests of a connection that have not been answered completely."""

    def __init__(
        self,
        context: ConnectionContext,
        writer: ResponseWriter,
        on_last: Callable[[], None],
        on_evict: Callable[[], None],
        is_moving: Callable[[], bool],
    ) -> None:
        self._context = context
        self._writer = writer
        # Called after a response that closes the connection.
        self._on_last = on_last
        self._on_evict = on_evict
        # Whether the client reads within the stated rate.
        self._is_moving = is_moving
        self._exchanges: deque[Exchange] = deque()

    def __len__(self) -> int:
        """Return the number of requests that have not been answered completely."""
        return len(self._exchanges)

    @property
    def first(self) -> Exchange:
        """Return the request that is answered next."""
        return self._exchanges[0]

    @property
    def last(self) -> Exchange:
        """Return the request that arrived last."""
        return self._exchanges[-1]

    def add(self, exchange: Exchange) -> None:
        """Add a request whose first bytes have arrived."""
        self._exchanges.append(exchange)

    def respond(self, exchange: Exchange, response: Response) -> None:
        """Send the response once all earlier requests have been answered."""
        exchange.body.release()
        if exchange.is_dropped or exchange.response is not None:
            return
        exchange.response = response
        self.pump()
        if not exchange.is_dropped:
            self._reserve(exchange, response)

    def pump(self) -> None:
        """Write responses until the client takes no more or none is ready."""
        while self._exchanges and self._writer.can_write:
            exchange = self._exchanges[0]
            response = exchange.response
            if response is None:
                return
            if exchange.is_last or self._must_close:
                response.closes = True
            is_written = self._writer.write(exchange, response)
            if not is_written:
                self._note_progress(exchange)
                return
            self._exchanges.popleft()
            self._end(exchange)
            if response.closes:
                self.drop_all()
                self._on_last()

    @property
    def _must_close(self) -> bool:
        """Tell whether the host leaves, and no request behind has been passed on."""
        if not self._context.handler.must_close:
            return False
        return len(self._exchanges) == 1 or not self._exchanges[1].is_whole

    def drop_unanswered(self) -> None:
        """Cancel the requests from the first one without a response on."""
        kept = 0
        for exchange in self._exchanges:
            if exchange.response is None:
                break
            kept += 1
        while len(self._exchanges) > kept:
            self._end(self._exchanges.pop())

    def drop_all(self) -> None:
        """Cancel all requests, and discard their responses."""
        # It refers to the body that is being written.
        self._writer.close()
        while self._exchanges:
            self._end(self._exchanges.popleft())

    def close(self) -> None:
        """Cancel all requests, and do not refer to the ended connection any more."""
        self.drop_all()
        self._on_last = _ignore
        self._on_evict = _ignore
        self._is_moving = _never

    def _end(self, exchange: Exchange) -> None:
        exchange.release()
        if exchange.scope is not None and exchange.response is None:
            exchange.scope.cancel()
        if exchange.has_head:
            self._context.handler.end(exchange)

    def _reserve(self, exchange: Exchange, response: Response) -> None:
        reservation = exchange.response_reservation
        if reservation is None:
            reservation = self._context.account.open('response', exchange.owner)
            exchange.response_reservation = reservation
        reservation.on_evict = self._on_evict
        reservation.is_moving = self._is_moving
        reservation.note_progress(len(response.body))
        # The response of a backend server is reserved already.
        needed_bytes = REQUEST_BYTES + len(response.body)
        missing_bytes = needed_bytes - reservation.held_bytes
        if missing_bytes > 0 and not reservation.grow(missing_bytes):
            self._on_evict()

    def _note_progress(self, exchange: Exchange) -> None:
        if exchange.response_reservation is not None:
            left_bytes = self._writer.left_bytes
            exchange.response_reservation.note_progress(left_bytes)
