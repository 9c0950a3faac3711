"""Grant credits to other gates, and request credits from them.

A credit lets a gate forward one request to the gate that granted it.
"""

import math
from collections.abc import Iterable

from cicadadoor.config.model import Service as ConfiguredService
from cicadadoor.decisions.credits import (
    MAX_PER_GRANT,
    CreditIssuer,
    CreditPool,
    HeldCredit,
    RefusalPauses,
)
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.directory import GateDirectory
from cicadadoor.gate.link_budgets import LinkBudgets
from cicadadoor.gate.request import SteeredRequest, SteeredResponse
from cicadadoor.gate.routing import CreditSource, Target, TwoChoicesRouter
from cicadadoor.gate.servers import BackendServers
from cicadadoor.gate.state import GateState
from cicadadoor.ids import new_nonce
from cicadadoor.kernel import Kernel, OnFault
from cicadadoor.links.forward_messages import ForwardRequest
from cicadadoor.links.messages import Ack, GateInfo
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.links.steering_messages import (
    CreditGrant,
    CreditRequest,
    CreditReturn,
    ServiceGrant,
)
from cicadadoor.timer import TimerService

CREDIT_LIFETIME_S = 2.0
_PERIOD_S = 0.05
_ANSWER_TIMEOUT_S = 0.5
# Covers the period and one answer. A longer wait would delay the refusal of requests
# that no gate has room for.
CREDIT_WAIT_S = 0.6
_MAX_GATES_ASKED = 6
_MS_PER_S = 1000


class CreditExchange(CreditSource):
    """Exchange credits with other gates in batches, not per request."""

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._kernel: Kernel
        self._router: TwoChoicesRouter
        self._servers: BackendServers
        self._links: LinkBudgets
        self._directory: GateDirectory
        self._peers: PeerHub
        self._issuer = CreditIssuer(CREDIT_LIFETIME_S)
        self._pool = CreditPool()
        self._unmet_demand: dict[str, int] = {}
        self._used: dict[str, int] = {}
        self._pauses = RefusalPauses()
        self._is_requesting = False
        self._response_regions: dict[str, str] = {}

    async def start(self, kernel: Kernel) -> None:
        """Answer requests for credits, and request credits while demand is unmet."""
        self._kernel = kernel
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._router = kernel.find('router')
        self._servers = kernel.find('servers')
        self._links = kernel.find('link_budgets')
        self._directory = kernel.find('directory')
        self._peers = kernel.find('peers')
        self._peers.on(CreditRequest, self.grant_credits, CreditGrant)
        self._peers.on(CreditReturn, self.cancel_returned)
        self._timer.subscribe('credits', _PERIOD_S, self._update_credits)

    def try_take(
        self,
        request: SteeredRequest,
        avoid: frozenset[str],
    ) -> Target | Failure:
        """Use a credit of the nearest gate that granted one, or return NO_CAPACITY."""
        service = request.service
        gates = {
            gate.instance: gate
            for gate in self._candidates(service.name)
            if gate.host not in avoid
        }
        now_s = self._timer.now_s()
        credit = self._pool.take(service.name, list(gates), now_s)
        if credit is None:
            self._unmet_demand[service.name] = (
                self._unmet_demand.get(service.name, 0) + 1
            )
            return Failure(
                ErrorKind.NO_CAPACITY,
                'no other gate has granted a credit that can be used now',
            )
        gate = gates[credit.gate]
        if not self._links.try_send(
            gate.region, len(request.body), service.service_class
        ):
            self._return_credits([credit])
            return Failure(
                ErrorKind.LINK_BUDGET_EXCEEDED,
                f'the byte budget of the link to region {gate.region} is used up',
            )
        self._used[service.name] = self._used.get(service.name, 0) + 1
        return Target(gate=gate, credit_id=credit.credit_id, service=service.name)

    def is_awaited(self, request: SteeredRequest, avoid: frozenset[str]) -> bool:
        """Return whether the request may wait for an answer from another gate."""
        now_s = self._timer.now_s()
        if now_s >= request.received_s + CREDIT_WAIT_S:
            return False
        return any(
            gate.host not in avoid
            and not self._pauses.is_paused(gate.instance, request.service.name, now_s)
            for gate in self._candidates(request.service.name)
        )

    def redeem(self, message: ForwardRequest) -> Failure | None:
        """Consume the credit of a forwarded request, or return CREDIT_REFUSED."""
        is_valid = self._issuer.redeem(
            message.credit_id,
            message.service,
            message.sender_instance,
            self._timer.now_s(),
        )
        if is_valid:
            region = self._issuer.region_of(message.credit_id)
            self._response_regions[message.credit_id] = region
            return None
        return Failure(
            ErrorKind.CREDIT_REFUSED,
            'the credit of the request is expired, already used or unknown at host '
            f'{self._state.settings.host}',
        )

    def charge_response(
        self,
        message: ForwardRequest,
        answer: SteeredResponse | Failure,
    ) -> None:
        """Charge the response to the budget of the link that carries it."""
        region = self.take_response_region(message)
        if region is not None and isinstance(answer, SteeredResponse):
            self._links.charge_response(region, len(answer.body))

    def take_response_region(self, message: ForwardRequest) -> str | None:
        """Return and forget the region that a forwarded request came from."""
        return self._response_regions.pop(message.credit_id, None)

    async def grant_credits(self, message: CreditRequest) -> CreditGrant:
        """Grant credits from this gate's free slots."""
        grants = {}
        for name, wanted in message.wanted.items():
            service = self._state.view.services.get(name) if self._state.view else None
            if service is None or not self._may_grant(service, message.region):
                continue
            grant_id = new_nonce()
            count = self._issuer.issue(
                grant_id,
                name,
                (message.sender_instance, message.region),
                wanted,
                self._router.headroom(service),
                self._timer.now_s(),
            )
            if count:
                grants[name] = ServiceGrant(grant_id=grant_id, count=count)
        lifetime_ms = int(self._issuer.lifetime_s * _MS_PER_S)
        return CreditGrant(grants=grants, lifetime_ms=lifetime_ms)

    async def cancel_returned(self, message: CreditReturn) -> Ack:
        """Cancel credits that their holder returned."""
        for credit_id in message.credit_ids:
            self._issuer.release(credit_id, message.sender_instance)
        return Ack()

    def _may_grant(self, service: ConfiguredService, region: str) -> bool:
        if self._state.is_stopping or self._is_on_hold(service.name, region):
            return False
        return self._links.is_open(region, service.service_class)

    def _is_on_hold(self, service: str, other_region: str) -> bool:
        own_region = self._state.settings.region
        if other_region == own_region:
            return False
        update = self._servers.backend_update
        is_region_held = {own_region, other_region} & set(update.held_regions)
        return service in update.held_services or bool(is_region_held)

    def _candidates(self, service: str) -> list[GateInfo]:
        view = self._state.view
        if view is None or service in self._servers.backend_update.drained_services:
            return []
        domains = {
            server.failure_domain for server in view.services[service].backend_servers
        }
        domains.difference_update(self._servers.backend_update.drained_domains)
        gates = [
            gate
            for gate in self._directory.all_gates()
            if gate.failure_domain in domains
        ]
        open_gates = [
            gate for gate in gates if not self._is_on_hold(service, gate.region)
        ]
        return _nearest_first(open_gates, self._state)

    async def _update_credits(self) -> None:
        wanted = self._missing_credits()
        self._return_surplus()
        if wanted and not self._is_requesting:
            self._is_requesting = True
            self._kernel.spawn(self._ask_all, wanted, on_fault=OnFault.CONTINUE)

    def _missing_credits(self) -> dict[str, int]:
        now_s = self._timer.now_s()
        wanted = {}
        for service in set(self._unmet_demand) | set(self._used):
            demand = self._unmet_demand.get(service, 0) + self._used.get(service, 0)
            missing = min(demand, MAX_PER_GRANT) - self._pool.count(service, now_s)
            if missing > 0:
                wanted[service] = missing
        return wanted

    def _return_surplus(self) -> None:
        # Halving the demand, instead of resetting it, keeps credits for the next burst
        # over a pause of a few periods.
        now_s = self._timer.now_s()
        for service in self._pool.services():
            if not self._unmet_demand.get(service) and not self._used.get(service):
                self._return_credits(self._pool.take_surplus(service, 0, now_s))
        self._unmet_demand = _halved(self._unmet_demand)
        self._used = _halved(self._used)

    async def _ask_all(self, wanted: dict[str, int]) -> None:
        try:
            await self._request_nearest_first(wanted)
        finally:
            self._is_requesting = False

    async def _request_nearest_first(self, wanted: dict[str, int]) -> None:
        gates = {
            gate.instance: gate
            for service in wanted
            for gate in self._candidates(service)
        }
        asked = 0
        for gate in _nearest_first(gates.values(), self._state):
            missing = self._missing_at(gate, wanted)
            if missing and asked < _MAX_GATES_ASKED:
                asked += 1
                await self._request_from(gate, missing, wanted)

    def _missing_at(self, gate: GateInfo, wanted: dict[str, int]) -> dict[str, int]:
        now_s = self._timer.now_s()
        missing = {}
        for service, count in wanted.items():
            is_paused = self._pauses.is_paused(gate.instance, service, now_s)
            if count > 0 and not is_paused and gate in self._candidates(service):
                missing[service] = count
        return missing

    async def _request_from(
        self,
        gate: GateInfo,
        missing: dict[str, int],
        wanted: dict[str, int],
    ) -> None:
        requested_s = self._timer.now_s()
        request = CreditRequest(region=self._state.settings.region, wanted=missing)
        answer = await self._peers.ask(gate.peer_address, request, _ANSWER_TIMEOUT_S)
        grants: dict[str, ServiceGrant] = {}
        if isinstance(answer, CreditGrant):
            grants = answer.grants
            lifetime_s = answer.lifetime_ms / _MS_PER_S
        for service in missing:
            grant = grants.get(service)
            if grant is None:
                self._pauses.note(gate.instance, service, self._timer.now_s())
                continue
            wanted[service] -= grant.count
            self._pool.add(
                service,
                gate.instance,
                grant.grant_id,
                grant.count,
                requested_s,
                lifetime_s,
            )
        if grants:
            self._router.notify_capacity()

    def _return_credits(self, credits: list[HeldCredit]) -> None:
        by_gate: dict[str, list[str]] = {}
        for credit in credits:
            by_gate.setdefault(credit.gate, []).append(credit.credit_id)
        for instance, credit_ids in by_gate.items():
            gate = self._directory.find(instance)
            if gate is not None:
                # If the message is lost, the credits expire.
                message = CreditReturn(credit_ids=credit_ids)
                self._kernel.spawn(
                    self._peers.ask,
                    gate.peer_address,
                    message,
                    _ANSWER_TIMEOUT_S,
                    on_fault=OnFault.CONTINUE,
                )


def _nearest_first(gates: Iterable[GateInfo], state: GateState) -> list[GateInfo]:
    settings = state.settings
    links = state.view.links if state.view else {}

    def distance(gate: GateInfo) -> tuple[bool, bool, float, str]:
        link = links.get((settings.region, gate.region))
        return (
            gate.failure_domain != settings.failure_domain,
            gate.region != settings.region,
            link.delay_us if link else math.inf,
            gate.instance,
        )

    return sorted(gates, key=distance)


def _halved(counts: dict[str, int]) -> dict[str, int]:
    return {name: count // 2 for name, count in counts.items() if count > 1}
