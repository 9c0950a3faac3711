"""Record how each request of a caller ended, in a log line and in metrics."""

from cicadadoor.entry.messages import CallerRequest
from cicadadoor.entry.policy import ActivePolicy
from cicadadoor.entry.routed_request import RoutedRequest
from cicadadoor.errors import Failure
from cicadadoor.telemetry import logs, metrics
from cicadadoor.timer import TimerService

log = logs.logger('entry')

_MS_PER_S = 1000


class RequestLog:
    """Write one line for each request, and count it."""

    def __init__(self, timer: TimerService, policy: ActivePolicy) -> None:
        self._timer = timer
        self._policy = policy

    def record(
        self,
        request: CallerRequest,
        routed: RoutedRequest | Failure,
        outcome: str,
        detail: str,
        received_s: float,
    ) -> None:
        """Record a request; `outcome` is a status or names a failure."""
        took_s = self._timer.now_s() - received_s
        if isinstance(routed, Failure):
            metrics.ENTRY_REQUESTS.labels('-', outcome, '0').inc()
            log.info(
                'request_refused',
                request_id=request.request_id,
                outcome=outcome,
                detail=detail,
                policy=self._policy_version(),
            )
            return
        metrics.ENTRY_REQUESTS.labels(
            routed.service, outcome, str(routed.attempts)
        ).inc()
        metrics.ENTRY_SECONDS.labels(routed.service).observe(took_s)
        is_answered = outcome.isdigit()
        log.info(
            'request_answered' if is_answered else 'request_failed',
            request_id=request.request_id,
            outcome=outcome,
            detail=detail,
            route=routed.route.name,
            service=routed.service,
            organisation=routed.organisation_name,
            affinity=routed.request.affinity_key,
            backend_servers=','.join(routed.tried),
            attempts=routed.attempts,
            took_ms=int(took_s * _MS_PER_S),
            policy=self._policy_version(),
            policy_age_ms=int(self._policy.age_s * _MS_PER_S),
        )

    def _policy_version(self) -> int:
        current = self._policy.current
        return current.version if current else 0
