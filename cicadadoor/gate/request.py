"""Define what travels through the steps of the pipeline."""

from collections.abc import AsyncIterator, Awaitable, Callable

from cicadadoor.config.model import Organisation, Route, Service
from cicadadoor.errors import ErrorKind, Failure, Run

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
# Compared by identity: it says nothing about the backend server.
CANCELLED = Failure(ErrorKind.OUTCOME_UNKNOWN, 'the request was cancelled')


class SteeredRequest:
    """Hold one request, from which the key has been removed.

    `deadline_s` and `received_s` are on the boot-time clock.
    """

    __slots__ = (
        'body',
        'client_ip',
        'deadline_s',
        'headers',
        'idempotency_key',
        'is_idempotent',
        'key_hash',
        'method',
        'organisation',
        'path',
        'query',
        'received_s',
        'request_id',
        'route',
        'service',
    )

    def __init__(
        self,
        *,
        request_id: str,
        method: str,
        path: str,
        query: str,
        headers: dict[str, str],
        body: bytes,
        client_ip: str,
        received_s: float,
        deadline_s: float,
        service: Service,
        route: Route | None,
        organisation: Organisation | None,
        key_hash: str,
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body
        self.client_ip = client_ip
        self.received_s = received_s
        self.deadline_s = deadline_s
        self.service = service
        self.route = route
        self.organisation = organisation
        self.key_hash = key_hash
        self.idempotency_key = headers.get('idempotency-key', '')
        marked_idempotent = route is not None and route.idempotent
        self.is_idempotent = method in IDEMPOTENT_METHODS or marked_idempotent

    @property
    def organisation_name(self) -> str:
        """Return the organisation's name, or `-` on a route open to all."""
        return self.organisation.name if self.organisation else '-'

    @property
    def target(self) -> str:
        """Return path and query as they are sent to a backend server."""
        return f'{self.path}?{self.query}' if self.query else self.path


class SteeredAnswer:
    """Hold the answer to a request: a whole body, or a stream for a long one.

    `on_close` releases what a stream holds and is called exactly once.
    """

    __slots__ = ('body', 'headers', 'on_close', 'run', 'status', 'stream')

    def __init__(
        self,
        *,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes = b'',
        stream: AsyncIterator[bytes] | None = None,
        on_close: Callable[[], Awaitable[None]] | None = None,
        run: Run = Run.YES,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.stream = stream
        self.on_close = on_close
        self.run = run
