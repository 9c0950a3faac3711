"""Answer directory lookups, readiness checks and requests for metrics."""

from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec

from cicadadoor.entry.directory import Directory
from cicadadoor.entry.exchange import Exchange, RequestHandler, Response
from cicadadoor.entry.policy import ActivePolicy
from cicadadoor.entry.quarantine import CrashWatch
from cicadadoor.entry.state import EntryState
from cicadadoor.errors import ERROR_RESPONSES, Failure
from cicadadoor.http_headers import JSON_HEADER
from cicadadoor.kernel import Kernel
from cicadadoor.telemetry import metrics
from cicadadoor.timer import TimerService

# Formatting all metrics takes several milliseconds. Clients that ask again within this
# time get the same bytes, which are held once.
_METRICS_AGE_S = 0.25
_encoder = msgspec.json.Encoder()


class Paths:
    """Hold the URL paths that the platform requests from this host."""

    __slots__ = ('directory', 'metrics', 'readiness')

    def __init__(self, *, directory: str, readiness: str, metrics: str) -> None:
        self.directory = directory
        self.readiness = readiness
        self.metrics = metrics


class PlatformHandler(RequestHandler):
    """Answer the requests of the platform at once."""

    def __init__(self, kernel: Kernel, paths: Paths) -> None:
        self._paths = paths
        self._state: EntryState = kernel.find('state')
        self._timer: TimerService = kernel.find('timer')
        self._policy: ActivePolicy = kernel.find('policy')
        self._directory: Directory = kernel.find('directory')
        self._crashes: CrashWatch = kernel.find('quarantine')
        self._metrics = b''
        self._metrics_s = -_METRICS_AGE_S

    def begin(self, exchange: Exchange) -> None:
        """Accept any request."""

    def may_repeat(self, exchange: Exchange) -> bool:
        """Read no request before the earlier one is answered."""
        return False

    def handle(self, exchange: Exchange) -> None:
        """Answer the request."""
        path, _, query = exchange.target.decode('latin-1').partition('?')
        if path == self._paths.readiness:
            exchange.respond(Response(self._readiness(), [], b''))
        elif path == self._paths.directory:
            exchange.respond(self._look_up(query))
        elif path == self._paths.metrics:
            exchange.respond(Response(HTTPStatus.OK, [], self._format_metrics()))
        else:
            exchange.respond(Response(HTTPStatus.NOT_FOUND, [], b''))

    def refuse(self, exchange: Exchange, failure: Failure) -> Response:
        """Return the response to a request that was refused before it was handled."""
        return Response(ERROR_RESPONSES[failure.kind].status, [], b'')

    def _readiness(self) -> HTTPStatus:
        is_informed = self._policy.current is not None and self._crashes.is_informed
        if is_informed and not self._state.is_leaving:
            return HTTPStatus.OK
        return HTTPStatus.SERVICE_UNAVAILABLE

    def _look_up(self, query_string: str) -> Response:
        query = parse_qs(query_string)
        answer = self._directory.look_up(
            query.get('region', [''])[0],
            query.get('zone', [''])[0],
        )
        if isinstance(answer, Failure):
            metrics.LOOKUPS.labels(answer.kind.value).inc()
            return Response(ERROR_RESPONSES[answer.kind].status, [], b'')
        metrics.LOOKUPS.labels('ok').inc()
        return Response(HTTPStatus.OK, [JSON_HEADER], _encoder.encode(answer))

    def _format_metrics(self) -> bytes:
        now_s = self._timer.now_s()
        if now_s - self._metrics_s >= _METRICS_AGE_S:
            self._metrics_s = now_s
            self._metrics = metrics.exposition()
        return self._metrics
