"""Process a request from authentication to its response."""

from functools import partial

from cicadadoor.config.model import Organisation, Route, Service
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate import keys
from cicadadoor.gate.admission import Admission
from cicadadoor.gate.at_most_once import AtMostOnce
from cicadadoor.gate.attempts import AttemptRunner
from cicadadoor.gate.credits import CreditExchange
from cicadadoor.gate.detached_task import DetachedTask, Work, run_safely
from cicadadoor.gate.quarantine import Quarantine
from cicadadoor.gate.request import SteeredRequest, SteeredResponse
from cicadadoor.gate.state import GateState
from cicadadoor.ids import new_nonce
from cicadadoor.kernel import Kernel
from cicadadoor.kernel import Service as KernelService
from cicadadoor.links.forward_messages import ForwardRequest
from cicadadoor.timer import TimerService

_MS_PER_S = 1000


class RawRequest:
    """Represent a request as received from a caller."""

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
    """Run the processing steps of a request in order."""

    name = 'pipeline'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._keys: keys.KeyAuthenticator
        self._admission: Admission
        self._at_most_once: AtMostOnce
        self._quarantine: Quarantine
        self._attempts: AttemptRunner
        self._credits: CreditExchange
        self._kernel: Kernel

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that implement the steps."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._keys = kernel.find('keys')
        self._admission = kernel.find('admission')
        self._at_most_once = kernel.find('at_most_once')
        self._quarantine = kernel.find('quarantine')
        self._attempts = kernel.find('attempts')
        self._credits = kernel.find('credits')
        self._kernel = kernel

    async def handle(self, raw: RawRequest) -> SteeredResponse | Failure:
        """Process one request; cancellation stops only idempotent requests."""
        request = self._prepare(raw)
        if isinstance(request, Failure):
            return request
        return await self._run(
            request,
            partial(self._at_most_once.run, request, self._dispatch),
        )

    async def _run(
        self, request: SteeredRequest, work: Work
    ) -> SteeredResponse | Failure:
        async def counted() -> SteeredResponse | Failure:
            self._state.in_flight += 1
            try:
                return await work()
            finally:
                self._state.in_flight -= 1

        if not request.is_idempotent:
            return await DetachedTask(counted).run(self._kernel)
        response = await run_safely(counted)
        if isinstance(response, SteeredResponse) and response.stream is not None:
            response.must_stop = partial(self._must_stop, request)
        return response

    def _prepare(self, raw: RawRequest) -> SteeredRequest | Failure:
        view = self._state.view
        if view is None:
            return Failure(
                ErrorKind.NOT_READY, 'this host has not received a configuration yet'
            )
        service = view.services.get(raw.service)
        if service is None:
            return Failure(
                ErrorKind.UNKNOWN_SERVICE,
                f'service {raw.service!r} does not exist',
            )
        presented = keys.extract_key(raw.headers, raw.query)
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

    async def run_forwarded(
        self,
        message: ForwardRequest,
    ) -> SteeredResponse | Failure:
        """Process a request that another gate forwarded."""
        request = self._prepare_forwarded(message)
        if isinstance(request, Failure):
            return request
        if message.is_owner:
            return await self._run(
                request,
                partial(
                    self._at_most_once.run,
                    request,
                    self._dispatch,
                    is_forwarded=True,
                ),
            )
        if self._state.is_stopping:
            return _draining()
        refusal = self._credits.redeem(message)
        if refusal is not None:
            return refusal
        return await self._run(
            request,
            partial(self._attempts.run, request, is_local_only=True),
        )

    def _prepare_forwarded(self, message: ForwardRequest) -> SteeredRequest | Failure:
        view = self._state.view
        service = view.services.get(message.service) if view else None
        if service is None:
            return Failure(
                ErrorKind.UNKNOWN_SERVICE,
                f'service {message.service!r} is not configured at this host',
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
            claim_id=message.claim_id,
        )

    async def _dispatch(self, request: SteeredRequest) -> SteeredResponse | Failure:
        # These checks follow the look-up of the idempotency key, so that a repeated
        # request gets its stored response while this host shuts down or while the
        # organisation exceeds its rate.
        if self._state.is_stopping:
            return _draining()
        refusal = self._quarantine.check(request)
        if refusal is not None:
            return refusal
        if request.organisation is not None:
            refusal = self._admission.admit(request.organisation)
            if refusal is not None:
                return refusal
        return await self._attempts.run(request)

    def _must_stop(self, request: SteeredRequest) -> bool:
        return self._keys.is_withdrawn(request.key_hash)


def _is_stream(response: SteeredResponse | Failure) -> bool:
    return isinstance(response, SteeredResponse) and response.stream is not None


def find_route(service: Service, method: str, path: str) -> Route | None:
    """Return the matching route with the longest prefix, or None."""
    matching = [
        route
        for route in service.routes
        if path.startswith(route.path_prefix) and method in route.methods
    ]
    return max(matching, key=lambda route: len(route.path_prefix), default=None)


def _draining() -> Failure:
    return Failure(ErrorKind.DRAINING, 'this host is shutting down; use another host')


def _deadline_ms(headers: dict[str, str], max_ms: int) -> int | Failure:
    requested = headers.get('x-deadline-ms')
    if requested is None:
        return max_ms
    if not requested.isdecimal():
        return Failure(
            ErrorKind.BAD_REQUEST,
            f'x-deadline-ms: {requested!r} is not a whole number of milliseconds',
        )
    return min(int(requested), max_ms)
