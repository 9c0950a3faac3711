"""Detect and refuse requests that crash backend servers.

A request that was in flight at two crashes is a suspect and runs alone on a reserved
backend server. If that server crashes too, requests with the same fingerprint are
refused until the quarantine ends; such a fingerprint is called a conviction.
"""

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from urllib.parse import urlsplit

import anyio

from cicadadoor.config.model import BackendServer
from cicadadoor.decisions.crashes import QUARANTINE_S, CrashTracker
from cicadadoor.decisions.leaving import Evidence
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.directory import GateDirectory
from cicadadoor.gate.request import SteeredRequest
from cicadadoor.gate.servers import BackendServers
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.messages import Ack, Message, Refusal
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.links.quarantine_messages import (
    CrashReport,
    QuarantineUpdate,
    ReserveServer,
)
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('quarantine')

_MS_PER_S = 1000
_REPORT_PERIOD_S = 5.0
# Convictions with less time left are ignored: they are about to expire at their
# source, and hosts could otherwise pass an expired conviction back and forth.
_MIN_ACCEPTED_S = 15.0
# Broken and refused connections within this time count as one crash.
_CRASH_WINDOW_S = 2.0
_CONNECT_TIMEOUT_S = 0.5
_OPEN_CHECK_S = 0.1
_MAX_PROBES = 3
_RESERVE_TIMEOUT_S = 1.0
_POLL_S = 0.02
_HTTP_PORT = 80
_HTTPS_PORT = 443
_CONNECTION_LOST = frozenset((ErrorKind.OUTCOME_UNKNOWN, ErrorKind.ANSWER_TRUNCATED))


class Quarantine(Service):
    """Track which requests are in flight when a backend server crashes."""

    name = 'quarantine'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._servers: BackendServers
        self._directory: GateDirectory
        self._link: DaemonLink
        self._peers: PeerHub
        self._kernel: Kernel
        self._tracker = CrashTracker()
        self._in_flight: dict[str, dict[str, SteeredRequest]] = {}
        self._crashed_s: dict[str, float] = {}
        # Expiry by backend server reserved to run a suspect request alone.
        self._reserved_s: dict[str, float] = {}
        self._run_alone_lock = anyio.Lock()
        self._reserved_by_self = ''

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to quarantines and reservations of other gates."""
        self._kernel = kernel
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._servers = kernel.find('servers')
        self._directory = kernel.find('directory')
        self._link = kernel.find('daemon_link')
        self._link.on(QuarantineUpdate, self._handle_update)
        self._peers = kernel.find('peers')
        self._peers.on(ReserveServer, self._handle_reservation)
        self._timer.subscribe('crash_report', _REPORT_PERIOD_S, self._report)

    def check(self, request: SteeredRequest) -> Failure | None:
        """Return QUARANTINED if the request is known to crash backend servers."""
        if not self._tracker.has_entries():
            return None
        now_s = self._timer.now_s()
        until_s = self._tracker.quarantined_until_s(request.fingerprint, now_s)
        if not until_s:
            return None
        return Failure(
            ErrorKind.QUARANTINED,
            'requests like this one crash backend servers',
            int((until_s - now_s) * _MS_PER_S),
        )

    def is_suspect(self, request: SteeredRequest) -> bool:
        """Return whether the request has to run alone on a backend server."""
        if not self._tracker.has_entries():
            return False
        return self._tracker.is_suspect(request.fingerprint, self._timer.now_s())

    def reserved(self) -> frozenset[str]:
        """Return the backend servers reserved to run a suspect request alone."""
        now_s = self._timer.now_s()
        return frozenset(
            name for name, until_s in self._reserved_s.items() if until_s > now_s
        )

    def record_start(self, request: SteeredRequest, server: BackendServer) -> None:
        """Record that the request is in flight at the backend server."""
        at_server = self._in_flight.setdefault(server.name, {})
        at_server[request.request_id] = request

    def record_end(self, request: SteeredRequest, server: BackendServer) -> None:
        """Record that the request is no longer in flight."""
        at_server = self._in_flight.get(server.name, {})
        at_server.pop(request.request_id, None)
        if not at_server:
            self._in_flight.pop(server.name, None)

    async def check_for_crash(self, server: BackendServer, failure: Failure) -> bool:
        """Return whether the backend server crashed, and record the requests in flight.

        The failed request has to be recorded as in flight still. A broken connection
        counts as a crash only if the backend server also refuses a new connection.
        """
        if failure.kind not in _CONNECTION_LOST:
            return False
        failed_s = self._timer.now_s()
        if self._crashed_s.get(server.name, -math.inf) + _CRASH_WINDOW_S > failed_s:
            return True
        requests_at_failure = list(self._in_flight.get(server.name, {}).values())
        if not await _has_crashed(server):
            return False
        now_s = self._timer.now_s()
        if self._crashed_s.get(server.name, -math.inf) + _CRASH_WINDOW_S > failed_s:
            # Another request has recorded the same crash meanwhile.
            return True
        self._crashed_s[server.name] = now_s
        fingerprints = {request.fingerprint for request in requests_at_failure}
        self._tracker.note_crash(fingerprints, now_s)
        self._servers.record_leaving(server.name, Evidence.REFUSED)
        log.warning(
            'backend_server_crashed',
            backend_server=server.name,
            in_flight=len(fingerprints),
        )
        return True

    @asynccontextmanager
    async def run_alone(
        self,
        request: SteeredRequest,
    ) -> AsyncIterator[BackendServer | Failure]:
        """Reserve a backend server for the request while the context is active.

        All gates of the failure domain have to agree; otherwise the request is
        refused, and its caller may retry later.
        """
        with anyio.move_on_after(self._left_s(request)):
            await self._run_alone_lock.acquire()
        if not self._is_lock_owner():
            yield _cannot_run_alone('another suspect request is running alone')
            return
        server = self._least_loaded(request)
        try:
            yield await self._reserve(request, server)
        finally:
            self._release(server)

    async def _reserve(
        self,
        request: SteeredRequest,
        server: BackendServer | None,
    ) -> BackendServer | Failure:
        if server is None:
            return _cannot_run_alone('no backend server can be reserved')
        hold_s = self._left_s(request)
        self._reserved_by_self = server.name
        self._reserved_s[server.name] = self._timer.now_s() + hold_s
        end_s = self._timer.now_s() + hold_s
        while self._in_flight_count(server):
            if self._timer.now_s() >= end_s:
                return _cannot_run_alone(
                    f'other requests at backend server {server.name} did not end '
                    'before the deadline'
                )
            await self._timer.sleep(_POLL_S)
        if not await self._request_reservation(server, end_s - self._timer.now_s()):
            return _cannot_run_alone(
                f'another host did not agree to reserve backend server {server.name}'
            )
        return server

    def _release(self, server: BackendServer | None) -> None:
        self._run_alone_lock.release()
        self._reserved_by_self = ''
        if server is not None:
            self._reserved_s.pop(server.name, None)
            self._kernel.spawn(
                self._request_reservation, server, 0, on_fault=OnFault.CONTINUE
            )

    def _is_lock_owner(self) -> bool:
        owner = self._run_alone_lock.statistics().owner
        return owner is not None and owner.id == anyio.get_current_task().id

    def _left_s(self, request: SteeredRequest) -> float:
        return max(0, request.deadline_s - self._timer.now_s())

    def record_run_alone(self, request: SteeredRequest, *, has_crashed: bool) -> None:
        """Quarantine a suspect request, or clear it, after it ran alone."""
        fingerprint = request.fingerprint
        if not has_crashed:
            self._tracker.clear(fingerprint)
            return
        until_s = self._timer.now_s() + QUARANTINE_S
        if self._tracker.start_quarantine(fingerprint, until_s):
            log.warning(
                'request_quarantined',
                fingerprint=fingerprint,
                organisation=request.organisation_name,
                method=request.method,
                path=request.path,
            )

    def _least_loaded(
        self,
        request: SteeredRequest,
    ) -> BackendServer | None:
        now_s = self._timer.now_s()
        crashed = {
            name
            for name, crashed_s in self._crashed_s.items()
            if crashed_s + _CRASH_WINDOW_S > now_s
        }
        # Routing sends requests only to usable servers.
        usable = {candidate.name for candidate in self._servers.usable(request.service)}
        free = usable - self.reserved() - crashed
        servers = [
            server for server in request.service.backend_servers if server.name in free
        ]
        return min(servers, key=self._in_flight_count, default=None)

    def _in_flight_count(self, server: BackendServer) -> int:
        return len(self._in_flight.get(server.name, ()))

    async def _request_reservation(self, server: BackendServer, hold_s: float) -> bool:
        settings = self._state.settings
        gates = [
            gate
            for gate in self._directory.in_domain(settings.failure_domain)
            if gate.instance != self._state.instance
        ]
        accepted: list[bool] = []

        async def ask(address: str) -> None:
            message = ReserveServer(backend_server=server.name, hold_s=hold_s)
            answer = await self._peers.ask(address, message, _RESERVE_TIMEOUT_S)
            accepted.append(isinstance(answer, Ack))

        async with anyio.create_task_group() as tasks:
            for gate in gates:
                tasks.start_soon(ask, gate.peer_address)
        return all(accepted)

    async def _handle_reservation(self, message: Message) -> Message:
        name = message.backend_server
        if not message.hold_s:
            if name != self._reserved_by_self:
                self._reserved_s.pop(name, None)
            return Ack()
        if name in self.reserved() or self._in_flight.get(name):
            return Refusal(
                kind=ErrorKind.NO_CAPACITY.value,
                reason=f'backend server {name} is reserved or has requests in flight',
            )
        self._reserved_s[name] = self._timer.now_s() + message.hold_s
        return Ack()

    async def _handle_update(self, update: QuarantineUpdate) -> None:
        now_s = self._timer.now_s()
        for fingerprint, left_s in update.convictions.items():
            if left_s >= _MIN_ACCEPTED_S:
                bounded_s = min(left_s, QUARANTINE_S)
                self._tracker.start_quarantine(fingerprint, now_s + bounded_s)

    async def _report(self) -> None:
        now_s = self._timer.now_s()
        convictions = {
            fingerprint: until_s - now_s
            for fingerprint, until_s in self._tracker.active_quarantines(now_s).items()
        }
        if convictions:
            await self._link.send(CrashReport(convictions=convictions))


def _cannot_run_alone(reason: str) -> Failure:
    return Failure(
        ErrorKind.QUARANTINED,
        f'requests like this one may crash backend servers: {reason}',
        _MS_PER_S,
    )


async def _has_crashed(server: BackendServer) -> bool:
    """Return whether the backend server refuses connections.

    A process that is terminating may still accept a connection and then close it; in
    that case another attempt follows.
    """
    for _ in range(_MAX_PROBES):
        with anyio.move_on_after(_CONNECT_TIMEOUT_S):
            is_refused, is_open = await _probe(server)
            if is_refused:
                return True
            if is_open:
                return False
    # No answer does not indicate a crash, because the network may be partitioned.
    return False


async def _probe(server: BackendServer) -> tuple[bool, bool]:
    """Return whether a connection is refused, and whether it stays open."""
    parts = urlsplit(server.url)
    default_port = _HTTPS_PORT if parts.scheme == 'https' else _HTTP_PORT
    try:
        stream = await anyio.connect_tcp(
            parts.hostname or '',
            parts.port or default_port,
        )
    except OSError as error:
        return isinstance(error.__cause__ or error, ConnectionRefusedError), False
    is_open = False
    with suppress(OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        with anyio.move_on_after(_OPEN_CHECK_S) as waited:
            await stream.receive(1)
        is_open = waited.cancelled_caught
    with suppress(OSError):
        await stream.aclose()
    return False, is_open
