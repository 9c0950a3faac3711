"""Serve callers, directory lookups, readiness checks and metrics over HTTP."""

import math

from cicadadoor.decisions.connection_limits import ConnectionBounds, ConnectionTable
from cicadadoor.decisions.memory_account import MemoryAccount
from cicadadoor.entry.caller_handler import CallerHandler
from cicadadoor.entry.caller_server import CallerServer
from cicadadoor.entry.connection_context import ConnectionContext, LimitSource
from cicadadoor.entry.exchange import RequestHandler
from cicadadoor.entry.forwarding import HeaderCodec
from cicadadoor.entry.model import ClientLimits
from cicadadoor.entry.platform_handler import Paths, PlatformHandler
from cicadadoor.entry.policy import ActivePolicy
from cicadadoor.entry.state import EntryState
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.open_requests import OpenRequests
from cicadadoor.telemetry import metrics
from cicadadoor.timer import TimerService

# Time limit for the last responses and for closing connections.
_CLOSE_TIMEOUT_S = 0.2
# The wait for clients to take what the kernel has ends so long before the grace period.
# The kernel sends it without the process, which needs the time to end under load.
_DELIVERY_MARGIN_S = 0.3
_CHECK_PERIOD_S = 0.25
# Received in one step from one connection.
_BUFFER_BYTES = 65_536
# Requests of the platform have no body.
_MAX_PLATFORM_BODY_BYTES = 16_384


class _ConfiguredLimits(LimitSource):
    def __init__(self, policy: ActivePolicy) -> None:
        self._policy = policy
        self._defaults = ClientLimits()

    @property
    def limits(self) -> ClientLimits:
        current = self._policy.current
        return self._defaults if current is None else current.limits


class EntryServer(Service):
    """Serve all addresses of the host in the process's event loop."""

    name = 'server'

    def __init__(self, header_codec: HeaderCodec, paths: Paths) -> None:
        self._header_codec = header_codec
        self._paths = paths
        self._state: EntryState
        self._timer: TimerService
        self._kernel: Kernel
        self._limits: _ConfiguredLimits
        self._account: MemoryAccount
        self._callers: CallerHandler
        self._server: CallerServer
        self._tables: dict[str, ConnectionTable] = {}
        self._buffer = memoryview(bytearray(_BUFFER_BYTES))
        self._open = OpenRequests()
        # Set when the stop begins.
        self._delivery_due_s = math.inf

    async def start(self, kernel: Kernel) -> None:
        """Listen on all addresses."""
        self._kernel = kernel
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._limits = _ConfiguredLimits(kernel.find('policy'))
        settings = self._state.settings
        self._account = self._state.account
        bounds = ConnectionBounds(settings.max_descriptors)
        self._tables = {
            'callers': ConnectionTable(bounds.callers),
            'platform': ConnectionTable(bounds.platform),
        }
        self._callers = CallerHandler(
            kernel, self._header_codec, self._open, bounds.callers
        )
        self._server = CallerServer(self._timer.now_s, _CHECK_PERIOD_S)
        self._server.listen(
            str(settings.callers), self._context('callers', self._callers)
        )
        platform = self._context(
            'platform',
            PlatformHandler(kernel, self._paths),
            _MAX_PLATFORM_BODY_BYTES,
        )
        addresses = (settings.directory, settings.readiness, settings.metrics)
        distinct = {str(address): None for address in addresses}
        for address in distinct:
            self._server.listen(address, platform)
        await self._server.start()
        self._timer.subscribe('client_connections', _CHECK_PERIOD_S, self._check)

    def work_left(self) -> int:
        """Return how many requests have not been answered completely.

        A response that has been written counts until its client has acknowledged it.
        """
        is_due = self._timer.now_s() >= self._delivery_due_s
        delivering = self._server.count_delivering(with_kernel=not is_due)
        return len(self._open) + delivering

    def refuse(self) -> None:
        """Limit the wait for clients that take responses."""
        wait_s = self._kernel.grace_left_s - _DELIVERY_MARGIN_S
        self._delivery_due_s = self._timer.now_s() + wait_s

    async def stop(self, grace_s: float) -> None:
        """Answer the remaining requests, stop listening and close the connections."""
        self._server.refuse_unread(
            Failure(
                ErrorKind.DRAINING,
                'host stopped before the request was received completely',
                1,
            )
        )
        began_s = self._timer.now_s()
        timeout_s = min(grace_s, _CLOSE_TIMEOUT_S)
        await self._open.cancel_all(timeout_s)
        # Beside clients that take nothing, both steps use up their time.
        left_s = timeout_s - (self._timer.now_s() - began_s)
        await self._server.close(max(0.0, left_s))
        self._callers.cancel_tasks()

    def _context(
        self,
        group: str,
        handler: RequestHandler,
        max_body_bytes: int | None = None,
    ) -> ConnectionContext:
        return ConnectionContext(
            handler,
            self._account,
            self._limits,
            self._timer.now_s,
            table=self._tables[group],
            buffer=self._buffer,
            max_body_bytes=max_body_bytes,
        )

    async def _check(self) -> None:
        self._server.check()
        for group, table in self._tables.items():
            metrics.CLIENT_CONNECTIONS.labels(group).set(len(table))
        for kind, held_bytes in self._account.held_by_kind().items():
            metrics.HELD_BYTES.labels(kind).set(held_bytes)
