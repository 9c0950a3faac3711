"""Take one request through the steps from key check to answer."""

from cicadadoor.config.model import Organisation, Route, Service
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate import keys
from cicadadoor.gate.admission import Admission
from cicadadoor.gate.at_most_once import AtMostOnce
from cicadadoor.gate.credits import CreditDesk
from cicadadoor.gate.forwarding import Forwarder
from cicadadoor.gate.peer_forwarding import PeerForwarder, pack
from cicadadoor.gate.quarantine import Quarantine
from cicadadoor.gate.queueing import RequestQueue
from cicadadoor.gate.request import CANCELLED, SteeredAnswer, SteeredRequest
from cicadadoor.gate.routing import Target
from cicadadoor.gate.state import GateState
from cicadadoor.ids import new_nonce
from cicadadoor.kernel import Kernel
from cicadadoor.kernel import Service as KernelService
from cicadadoor.links.forward_messages import ForwardAnswer, ForwardRequest
from cicadadoor.links.messages import Message
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.timer import TimerService

_MS_PER_S = 1000


class RawRequest:
    """Hold a request as it came from a caller."""

    __slots__ = ('body', 'client_ip', 'headers', 'method', 'path', 'query', 'service')

    def __init__(
        self,
        *,
        method: str,
        service: str,
        path: str,
        query: str,
        headers: dict[str, str],
        body: bytes,
        client_ip: str,
    ) -> None:
        self.method = method
        self.service = service
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body
        self.client_ip = client_ip


class Pipeline(KernelService):
    """Run the steps of a steered request in order."""

    name = 'pipeline'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._keys: keys.KeyCheck
        self._admission: Admission
        self._at_most_once: AtMostOnce
        self._quarantine: Quarantine
        self._queue: RequestQueue
        self._forwarder: Forwarder
        self._peer_forwarder: PeerForwarder
        self._credits: CreditDesk

    async def start(self, kernel: Kernel) -> None:
        """Find the services of the steps."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._keys = kernel.find('keys')
        self._admission = kernel.find('admission')
        self._at_most_once = kernel.find('at_most_once')
        self._quarantine = kernel.find('quarantine')
        self._queue = kernel.find('queue')
        self._forwarder = kernel.find('forwarder')
        self._peer_forwarder = kernel.find('peer_forwarder')
        self._credits = kernel.find('credits')
        peers: PeerHub = kernel.find('peers')
        peers.on(ForwardRequest, self.handle_forwarded, ForwardAnswer)

    async def handle(self, raw: RawRequest) -> SteeredAnswer | Failure:
        """Answer one request."""
        request = self._prepare(raw)
        if isinstance(request, Failure):
            return request
        # A repeat under an idempotency key may have run here already, so it is
        # looked up before it is refused.
        if self._state.is_stopping and not request.idempotency_key:
            return _draining()
        self._state.in_flight += 1
        try:
            return await self._at_most_once.run(request, self._dispatch)
        finally:
            self._state.in_flight -= 1

    def _prepare(self, raw: RawRequest) -> SteeredRequest | Failure:
        view = self._state.view
        if view is None:
            return Failure(ErrorKind.NOT_READY, 'no configuration is in force yet')
        service = view.services.get(raw.service)
        if service is None:
            return Failure(
                ErrorKind.UNKNOWN_SERVICE,
                f'service {raw.service!r} does not exist',
            )
        presented = keys.take_key(raw.headers, raw.query)
        if isinstance(presented, Failure):
            return presented
        route = find_route(service, raw.method, raw.path)
        organisation = self._find_organisation(route, presented.key_hash)
        if isinstance(organisation, Failure):
            return organisation
        received_s = self._timer.now_s()
        left_ms = _deadline_ms(raw.headers, service.deadline_ms)
        if isinstance(left_ms, Failure):
            return left_ms
        return SteeredRequest(
            request_id=new_nonce(),
            method=raw.method,
            path=raw.path,
            query=presented.query,
            headers=presented.headers,
            body=raw.body,
            client_ip=raw.client_ip,
            received_s=received_s,
            deadline_s=received_s + left_ms / _MS_PER_S,
            service=service,
            route=route,
            organisation=organisation,
            key_hash=presented.key_hash,
        )

    def _find_organisation(
        self,
        route: Route | None,
        key_hash: str,
    ) -> Organisation | Failure | None:
        if route is not None and route.open_to_all and not key_hash:
            return None
        return self._keys.authenticate(key_hash)

    async def handle_forwarded(self, message: Message) -> Message:
        """Answer a request that another gate handed over."""
        answer = await self._run_forwarded(message)
        self._credits.note_answer(message, answer)
        return pack(answer)

    async def _run_forwarded(
        self,
        message: ForwardRequest,
    ) -> SteeredAnswer | Failure:
        if self._state.is_stopping and not message.is_owner:
            return _draining()
        request = self._rebuild(message)
        if isinstance(request, Failure):
            return request
        if not message.is_owner:
            refusal = self._credits.redeem(message)
            if refusal is not None:
                return refusal
        self._state.in_flight += 1
        try:
            if message.is_owner:
                return await self._at_most_once.run(request, self._dispatch)
            return await self._run_at_backend(request, is_local_only=True)
        finally:
            self._state.in_flight -= 1

    def _rebuild(self, message: ForwardRequest) -> SteeredRequest | Failure:
        view = self._state.view
        service = view.services.get(message.service) if view else None
        if service is None:
            return Failure(
                ErrorKind.UNKNOWN_SERVICE,
                f'service {message.service!r} does not exist at this host',
            )
        route = find_route(service, message.method, message.path)
        organisation = self._find_organisation(route, message.key_hash)
        if isinstance(organisation, Failure):
            return organisation
        received_s = self._timer.now_s()
        return SteeredRequest(
            request_id=message.request_id,
            method=message.method,
            path=message.path,
            query=message.query,
            headers=message.headers,
            body=message.body,
            client_ip=message.client_ip,
            received_s=received_s,
            deadline_s=received_s + message.left_ms / _MS_PER_S,
            service=service,
            route=route,
            organisation=organisation,
            key_hash=message.key_hash,
        )

    async def _dispatch(self, request: SteeredRequest) -> SteeredAnswer | Failure:
        if self._state.is_stopping:
            return _draining()
        refusal = self._quarantine.check(request)
        if refusal is not None:
            return refusal
        if request.organisation is not None:
            refusal = self._admission.admit(request.organisation)
            if refusal is not None:
                return refusal
        return await self._run_at_backend(request)

    async def _run_at_backend(
        self,
        request: SteeredRequest,
        *,
        is_local_only: bool = False,
    ) -> SteeredAnswer | Failure:
        target = await self._queue.acquire(request, is_local_only=is_local_only)
        if isinstance(target, Failure):
            return target
        if self._keys.is_withdrawn(request.key_hash):
            # The key was withdrawn while the request waited in the queue.
            withdrawn = Failure(ErrorKind.KEY_WITHDRAWN, 'the key was withdrawn')
            self._queue.release(target, withdrawn, 0)
            return withdrawn
        answer = await self._forward(request, target)
        self._keys.guard(request, answer)
        region = target.gate.region if target.gate else self._state.settings.region
        self._state.count_steered(request.organisation_name, region)
        return answer

    async def _forward(
        self,
        request: SteeredRequest,
        target: Target,
    ) -> SteeredAnswer | Failure:
        started_s = self._timer.now_s()
        answer: SteeredAnswer | Failure = CANCELLED
        if target.server is not None:
            self._quarantine.began(request, target.server)
        try:
            answer = await self._send(request, target)
        finally:
            self._finish(request, target, answer, started_s)
        return answer

    def _finish(
        self,
        request: SteeredRequest,
        target: Target,
        answer: SteeredAnswer | Failure,
        started_s: float,
    ) -> None:
        self._queue.release(target, answer, self._timer.now_s() - started_s)
        if target.server is not None:
            self._quarantine.ended(request, target.server, answer)

    async def _send(
        self,
        request: SteeredRequest,
        target: Target,
    ) -> SteeredAnswer | Failure:
        if target.server is not None:
            return await self._forwarder.forward(request, target.server)
        return await self._peer_forwarder.forward(
            request,
            target.gate,
            credit_id=target.credit_id,
        )


def find_route(service: Service, method: str, path: str) -> Route | None:
    """Return the longest matching route of the service, or None."""
    matching = [
        route
        for route in service.routes
        if path.startswith(route.path_prefix) and method in route.methods
    ]
    return max(matching, key=lambda route: len(route.path_prefix), default=None)


def _draining() -> Failure:
    return Failure(ErrorKind.DRAINING, 'this host is stopping; use another')


def _deadline_ms(headers: dict[str, str], longest_ms: int) -> int | Failure:
    wanted = headers.get('x-deadline-ms')
    if wanted is None:
        return longest_ms
    if not wanted.isdecimal():
        return Failure(
            ErrorKind.BAD_REQUEST,
            f'x-deadline-ms: {wanted!r} is no whole number of milliseconds',
        )
    return min(int(wanted), longest_ms)
