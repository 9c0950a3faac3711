"""Send one attempt of a request to a backend server."""

from collections.abc import Callable
from http import HTTPStatus

import anyio

from cicadadoor.decisions.memory_account import MemoryAccount, Reservation
from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.backends import Backends
from cicadadoor.entry.connection_pool import ConnectionPool
from cicadadoor.entry.connections import BackendConnection, RawResponse, connect
from cicadadoor.entry.head_check import HeadCheck, ReadResponse
from cicadadoor.entry.limit_sharing import note_response
from cicadadoor.entry.messages import BackendResponse, CallerRequest, Headers
from cicadadoor.entry.response_reader import (
    ConnectionBrokenError,
    InvalidResponseError,
    ResponseCutError,
)
from cicadadoor.errors import ErrorKind, Executed, Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.telemetry import logs, metrics
from cicadadoor.timer import TimerService

# A round trip between regions takes 40 ms. TCP resends a lost SYN only after 1 s, so
# another server is tried before that.
CONNECT_TIMEOUT_S = 0.3
log = logs.logger('forwarder')

_MS_PER_S = 1000
_PRUNE_PERIOD_S = 1.0
# Errors that count against the server, since another one may succeed. A 504 does not:
# it only says that the request's own deadline has passed.
_SERVER_FAULTS = frozenset(
    (
        HTTPStatus.INTERNAL_SERVER_ERROR,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
# Failures that show a fault of the server's answer, not of the connection to it.
_INVALID_KINDS = frozenset((ErrorKind.ANSWER_INVALID, ErrorKind.ANSWER_TRUNCATED))

BuildHeaders = Callable[..., Headers]


class HeaderCodec:
    """Hold the functions that read and write the platform's HTTP headers."""

    __slots__ = ('backend_headers', 'read_request', 'read_response', 'retry_after')

    def __init__(
        self,
        *,
        read_request: Callable[[str, bytes, Headers], CallerRequest],
        backend_headers: BuildHeaders,
        read_response: ReadResponse,
        retry_after: Callable[[float], tuple[bytes, bytes]],
    ) -> None:
        self.read_request = read_request
        self.backend_headers = backend_headers
        self.read_response = read_response
        self.retry_after = retry_after


class OutgoingRequest:
    """Hold a request as it is sent to a backend server, with its deadline."""

    __slots__ = ('body', 'deadline_s', 'organisation', 'request', 'reservation')

    def __init__(
        self,
        *,
        request: CallerRequest,
        body: bytes | bytearray,
        organisation: str,
        deadline_s: float,
        reservation: Reservation | None = None,
    ) -> None:
        # Holds the bytes of the response.
        self.reservation = reservation
        self.request = request
        self.body = body
        self.organisation = organisation
        self.deadline_s = deadline_s


class Forwarder(Service):
    """Send requests to backend servers over pooled connections."""

    name = 'forwarder'

    def __init__(self, header_codec: HeaderCodec) -> None:
        self._header_codec = header_codec
        self._timer: TimerService
        self._backends: Backends
        self._pool = ConnectionPool()
        self._account: MemoryAccount

    async def start(self, kernel: Kernel) -> None:
        """Start to close expired idle connections periodically."""
        self._timer = kernel.find('timer')
        self._backends = kernel.find('backends')
        self._account = kernel.find('state').account
        self._timer.subscribe('prune_connections', _PRUNE_PERIOD_S, self._prune)

    async def stop(self, grace_s: float) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def attempt(
        self,
        outgoing: OutgoingRequest,
        backend: Backend,
        timeout_s: float,
    ) -> BackendResponse | Failure:
        """Send the request and return the complete response or a failure.

        The failure tells whether the request may have run. After the time-out the
        connection is closed, so that the server drops the request.
        """
        sent_s = self._timer.now_s()
        try:
            connection = await self._open(backend, min(timeout_s, CONNECT_TIMEOUT_S))
        except (OSError, TimeoutError) as error:
            self._record_connect_failure(backend, error, sent_s)
            return _connect_failure(backend, error)
        left_s = outgoing.deadline_s - self._timer.now_s()
        if left_s <= 0:
            self._release(backend, connection, None)
            return Failure(
                ErrorKind.DEADLINE_PASSED, 'deadline passed while connecting'
            )
        head_check = HeadCheck(
            outgoing.request, backend, self._header_codec.read_response
        )
        raw = await self._exchange(outgoing, head_check, connection, timeout_s)
        if isinstance(raw, Failure):
            # A reset concerns one connection and does not show that the server is down.
            if raw.kind is ErrorKind.OUTCOME_UNKNOWN:
                backend.health.note_reset(self._timer.now_s(), sent_s)
            elif raw.kind is ErrorKind.ANSWER_TIMED_OUT:
                backend.health.note_unreachable(self._timer.now_s(), sent_s)
            elif raw.kind in _INVALID_KINDS:
                self._record_response(backend, is_bad=True)
                metrics.INVALID_ANSWERS.labels(backend.record.service).inc()
            return raw
        return self._process_response(head_check, connection, raw, sent_s)

    async def _open(self, backend: Backend, timeout_s: float) -> BackendConnection:
        # A new connection shows whether a server that does not answer is down or busy.
        if not backend.health.is_paused:
            kept = self._pool.acquire(backend.pool_key, self._timer.now_s())
            if kept is not None:
                return kept
        connection = await connect(backend.record.address, timeout_s, self._account)
        metrics.BACKEND_CONNECTIONS.inc()
        return connection

    async def _exchange(
        self,
        outgoing: OutgoingRequest,
        head_check: HeadCheck,
        connection: BackendConnection,
        timeout_s: float,
    ) -> RawResponse | Failure:
        request = outgoing.request
        backend = head_check.backend
        left_s = outgoing.deadline_s - self._timer.now_s()
        headers = self._header_codec.backend_headers(
            request,
            left_ms=max(1, int(left_s * _MS_PER_S)),
            instance_id=backend.record.instance_id,
            organisation=outgoing.organisation,
            body_bytes=len(outgoing.body),
        )
        name = backend.record.instance_id
        try:
            with anyio.fail_after(min(timeout_s, left_s)):
                return await connection.exchange(
                    request.method,
                    request.target,
                    headers,
                    outgoing.body,
                    head_check.wants_body,
                    outgoing.reservation,
                )
        except TimeoutError:
            return Failure(
                ErrorKind.ANSWER_TIMED_OUT,
                f'backend server {name}: no complete response before the deadline',
            )
        except ConnectionBrokenError as error:
            if not connection.has_sent:
                return Failure(ErrorKind.CONNECT_FAILED, f'{name}: {error}')
            return Failure(ErrorKind.OUTCOME_UNKNOWN, f'{name}: {error}')
        except InvalidResponseError as error:
            is_cut = isinstance(error, ResponseCutError)
            kind = ErrorKind.ANSWER_TRUNCATED if is_cut else ErrorKind.ANSWER_INVALID
            return Failure(kind, f'{name}: {error}')

    def _record_connect_failure(
        self,
        backend: Backend,
        error: Exception,
        sent_s: float,
    ) -> None:
        now_s = self._timer.now_s()
        was_paused = backend.health.is_paused
        if isinstance(error, ConnectionRefusedError):
            backend.health.note_refused(now_s)
        else:
            backend.health.note_connect_failure(now_s, sent_s)
        if not was_paused and backend.health.is_paused:
            log.info(
                'backend_paused',
                backend_server=backend.record.instance_id,
                reason=type(error).__name__,
                pause_ms=int(backend.health.pause_s * _MS_PER_S),
            )

    def _process_response(
        self,
        head_check: HeadCheck,
        connection: BackendConnection,
        raw: RawResponse,
        sent_s: float,
    ) -> BackendResponse | Failure:
        now_s = self._timer.now_s()
        backend, head, fault = head_check.backend, head_check.head, head_check.fault
        is_invalid = fault is not None and fault.kind is ErrorKind.ANSWER_INVALID
        if is_invalid:
            metrics.INVALID_ANSWERS.labels(backend.record.service).inc()
        # A faulty server may send a refusal once more. Without a request id, the copy
        # would be taken for the answer to the next request on the connection.
        if is_invalid or head.is_last or not head_check.is_attributable:
            connection.abort()
        else:
            self._release(backend, connection, head.idle_limit_s)
        if fault is not None and fault.kind is ErrorKind.BACKEND_MOVED:
            backend.health.note_unreachable(now_s, now_s)
            return fault
        self._record_response(
            backend,
            is_bad=is_invalid or raw.status in _SERVER_FAULTS,
        )
        self._backends.shared_machines.note_load(backend, head.flow_control.load, now_s)
        if not is_invalid:
            note_response(backend, head, sent_s, now_s)
        return fault or BackendResponse(head, raw.body)

    def _record_response(self, backend: Backend, *, is_bad: bool) -> None:
        now_s = self._timer.now_s()
        if backend.health.restart.shows_restart(now_s):
            self._backends.mark_restarted(backend)
        backend.health.note_response(now_s, is_bad=is_bad)

    def _release(
        self,
        backend: Backend,
        connection: BackendConnection,
        idle_limit_s: float | None,
    ) -> None:
        self._pool.release(
            backend.pool_key,
            connection,
            self._timer.now_s(),
            idle_limit_s,
        )

    async def _prune(self) -> None:
        self._pool.prune(self._backends.pool_keys(), self._timer.now_s())


def _connect_failure(backend: Backend, error: Exception) -> Failure:
    return Failure(
        ErrorKind.CONNECT_FAILED,
        f'backend server {backend.record.instance_id}: '
        f'cannot connect: {type(error).__name__}',
        run=Executed.NO,
    )
