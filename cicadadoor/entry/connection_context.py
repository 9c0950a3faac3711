"""Hold what all connections to one address of the host share."""

import abc
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from cicadadoor.decisions.connection_limits import (
    ConnectionTable,
    ConnectionUse,
    Phase,
)
from cicadadoor.decisions.memory_account import MemoryAccount
from cicadadoor.entry.exchange import Exchange, RequestHandler, Response
from cicadadoor.entry.model import ClientLimits
from cicadadoor.errors import ErrorKind, Executed, Failure
from cicadadoor.telemetry import logs, metrics

log = logs.logger('entry')

_MS_PER_S = 1000
# The operator's limit is for the header fields; this is for the request line.
_REQUEST_LINE_BYTES = 8192
_INTERNAL = Failure(
    ErrorKind.INTERNAL,
    'unexpected error before the request was forwarded, see the log',
    run=Executed.NO,
)


class LimitSource(abc.ABC):
    """Provide the limits that are in force for clients."""

    @property
    @abc.abstractmethod
    def limits(self) -> ClientLimits:
        """Return the limits of the configuration, or the default ones."""


class ConnectionContext:
    """Hold the handler, the limits and the account of one address."""

    def __init__(
        self,
        handler: RequestHandler,
        account: MemoryAccount,
        limit_source: LimitSource,
        now_s: Callable[[], float],
        *,
        table: ConnectionTable,
        buffer: memoryview,
        max_body_bytes: int | None = None,
    ) -> None:
        self.handler = handler
        self.account = account
        self.now_s = now_s
        self.table = table
        # Received bytes are parsed or copied before the next connection is read.
        self.buffer = buffer
        self._connections: dict[ConnectionUse, Any] = {}
        self._limit_source = limit_source
        self._max_body_bytes = max_body_bytes

    @property
    def max_head_bytes(self) -> int:
        """Return the limit for a request line and header fields."""
        return self._limit_source.limits.max_header_bytes + _REQUEST_LINE_BYTES

    @property
    def max_body_bytes(self) -> int:
        """Return the limit for a request body."""
        return self._max_body_bytes or self._limit_source.limits.max_body_bytes

    @property
    def header_timeout_s(self) -> float:
        """Return the time within which a request head must be complete."""
        return self._limit_source.limits.header_timeout_ms / _MS_PER_S

    @property
    def idle_timeout_s(self) -> float:
        """Return the time after which an idle connection is closed."""
        return self._limit_source.limits.idle_timeout_ms / _MS_PER_S

    @property
    def connections(self) -> list[Any]:
        """Return the open connections."""
        return list(self._connections.values())

    def add(self, connection: Any) -> bool:
        """Count a new connection; return False if there are too many."""
        use = connection.use
        self._connections[use] = connection
        closed = self.table.make_room(use.address, self.now_s())
        if closed is None:
            return False
        for other in closed:
            self.table.remove(other)
            if other.phase is Phase.IDLE:
                self.note_rejected('descriptors', other.address, 'idle')
                self._connections[other].close()
            else:
                self._connections[other].reset('descriptors')
        self.table.add(use)
        return True

    def remove(self, connection: Any) -> None:
        """Stop counting a closed connection."""
        self._connections.pop(connection.use, None)
        self.table.remove(connection.use)

    def begin(self, exchange: Exchange) -> Failure | None:
        """Let the handler read a request head; return why that failed, if it did."""
        try:
            self.handler.begin(exchange)
        except Exception:
            log.exception('request_fault', path=exchange.target)
            return _INTERNAL
        return None

    def handle(self, exchange: Exchange) -> None:
        """Let the handler answer a complete request."""
        try:
            self.handler.handle(exchange)
        except Exception:
            log.exception('request_fault', path=exchange.target)
            response = Response(HTTPStatus.INTERNAL_SERVER_ERROR, [], b'', closes=True)
            exchange.respond(response)

    def may_repeat(self, exchange: Exchange) -> bool:
        """Tell whether the request may run beside others of its connection."""
        if exchange.is_repeatable is None:
            exchange.is_repeatable = self.handler.may_repeat(exchange)
        return exchange.is_repeatable

    def note_rejected(self, reason: str, address: str, detail: str = '') -> None:
        """Count a refused request or a closed connection; the log line is sampled."""
        metrics.REJECTED_CLIENTS.labels(reason).inc()
        log.info(
            'client_rejected',
            reason=reason,
            address=address,
            detail=detail,
            held_bytes=self.account.held_bytes,
            connections=len(self.table),
        )
