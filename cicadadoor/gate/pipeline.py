"""Take one request through the steps from key check to answer."""

from cicadadoor.config.model import Organisation, Route, Service
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate import keys
from cicadadoor.gate.admission import Admission
from cicadadoor.gate.at_most_once import AtMostOnce
from cicadadoor.gate.forwarding import Forwarder
from cicadadoor.gate.request import SteeredAnswer, SteeredRequest
from cicadadoor.gate.routing import Router
from cicadadoor.gate.state import GateState
from cicadadoor.ids import new_nonce
from cicadadoor.kernel import Kernel
from cicadadoor.kernel import Service as KernelService
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
        self._router: Router
        self._forwarder: Forwarder

    async def start(self, kernel: Kernel) -> None:
        """Find the services of the steps."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._keys = kernel.find('keys')
        self._admission = kernel.find('admission')
        self._at_most_once = kernel.find('at_most_once')
        self._router = kernel.find('router')
        self._forwarder = kernel.find('forwarder')

    async def handle(self, raw: RawRequest) -> SteeredAnswer | Failure:
        """Answer one request."""
        if self._state.is_stopping:
            return Failure(ErrorKind.DRAINING, 'this host is stopping; use another')
        request = self._prepare(raw)
        if isinstance(request, Failure):
            return request
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

    async def _dispatch(self, request: SteeredRequest) -> SteeredAnswer | Failure:
        if request.organisation is not None:
            refusal = self._admission.admit(request.organisation)
            if refusal is not None:
                return refusal
        server = await self._router.acquire(request)
        if isinstance(server, Failure):
            return server
        try:
            answer = await self._forwarder.forward(request, server)
        finally:
            self._router.release(server)
        self._state.count_steered(
            request.organisation_name,
            self._state.settings.region,
        )
        return answer


def find_route(service: Service, method: str, path: str) -> Route | None:
    """Return the longest matching route of the service, or None."""
    matching = [
        route
        for route in service.routes
        if path.startswith(route.path_prefix) and method in route.methods
    ]
    return max(matching, key=lambda route: len(route.path_prefix), default=None)


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
