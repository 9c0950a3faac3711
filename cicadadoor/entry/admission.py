"""Admit or refuse requests by route, API key, rate limit and quarantine."""

import random

from cicadadoor.entry.membership import Membership
from cicadadoor.entry.messages import CallerRequest
from cicadadoor.entry.model import RoutePolicy
from cicadadoor.entry.policy import ActivePolicy
from cicadadoor.entry.quarantine import CrashWatch
from cicadadoor.entry.quotas import Quotas
from cicadadoor.entry.routed_request import RoutedRequest, WeightedRoundRobin
from cicadadoor.entry.state import EntryState
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.kernel import Kernel, Service

_MS_PER_S = 1000
# A host without a configuration gets one within 1 s of the store's recovery.
_NOT_READY_RETRY_S = 0.5
# A configuration that was last confirmed longer ago may lack new keys and routes.
_STALE_POLICY_S = 2.0


class Admission(Service):
    """Resolve route, organisation and service of a request, or refuse it."""

    name = 'admission'

    def __init__(self) -> None:
        self._state: EntryState
        self._policy: ActivePolicy
        self._quotas: Quotas
        self._membership: Membership
        self._crashes: CrashWatch
        self._round_robins: dict[str, WeightedRoundRobin] = {}

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that hold configuration, quotas and crash counts."""
        self._state = kernel.find('state')
        self._policy = kernel.find('policy')
        self._quotas = kernel.find('quotas')
        self._membership = kernel.find('membership')
        self._crashes = kernel.find('quarantine')

    def admit(
        self,
        request: CallerRequest,
        body: bytes | bytearray,
        received_s: float,
    ) -> RoutedRequest | Failure:
        """Return the request with its route, organisation and service, or a refusal."""
        if self._policy.current is None:
            return _not_ready('no configuration has been loaded yet')
        route = self._policy.find_route(request.host_name, request.path)
        if route is None:
            return self._deny(
                ErrorKind.UNKNOWN_ROUTE,
                'no route matches the host name and path',
            )
        organisation = self._policy.find_organisation(request.api_key)
        if organisation is None and not route.is_public:
            if self._policy.current.requires_key:
                kind = (
                    ErrorKind.KEY_UNKNOWN if request.api_key else ErrorKind.KEY_MISSING
                )
                return self._deny(
                    kind, 'API key missing or assigned to no organisation'
                )
        if self._state.is_refusing:
            return Failure(ErrorKind.DRAINING, 'host is shutting down', 1)
        timeout_ms = route.timeout_ms
        if request.deadline_ms is not None:
            timeout_ms = min(timeout_ms, request.deadline_ms)
        routed = RoutedRequest(
            request=request,
            body=body,
            route=route,
            organisation=None if route.is_public else organisation,
            service=self._select_service(route),
            received_s=received_s,
            deadline_s=received_s + timeout_ms / _MS_PER_S,
        )
        return self._check_limits(routed)

    def _deny(self, kind: ErrorKind, reason: str) -> Failure:
        if self._policy.age_s > _STALE_POLICY_S or self._policy.is_unsettled:
            return _not_ready(f'{reason}; the configuration may be out of date, retry')
        return Failure(kind, reason)

    def _check_limits(self, routed: RoutedRequest) -> RoutedRequest | Failure:
        if self._crashes.refuses(routed.fingerprint):
            return Failure(
                ErrorKind.REQUEST_HELD,
                'backend servers crashed while running identical requests',
                int(_MS_PER_S * _NOT_READY_RETRY_S),
            )
        if routed.organisation is None or routed.organisation.rate_per_s <= 0:
            return routed
        if not self._membership.is_listed:
            return _not_ready(
                'this host is not in the list of hosts that share the limit yet, retry'
            )
        wait_s = self._quotas.take(routed.organisation)
        if wait_s is None:
            return routed
        return Failure(
            ErrorKind.RATE_EXCEEDED,
            f'organisation {routed.organisation_name} exceeded its rate limit',
            int(wait_s * _MS_PER_S * (1 + random.random())),
        )

    def _select_service(self, route: RoutePolicy) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        round_robin = self._round_robins.get(route.name)
        if round_robin is None or round_robin.route.services != route.services:
            round_robin = WeightedRoundRobin(route)
            self._round_robins[route.name] = round_robin
        return round_robin.next_service()


def _not_ready(reason: str) -> Failure:
    return Failure(
        ErrorKind.NOT_READY,
        reason,
        int(_NOT_READY_RETRY_S * _MS_PER_S),
    )
