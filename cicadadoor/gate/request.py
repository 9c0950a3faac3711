"""Define the request and response types of the pipeline."""

import hashlib
import math
from collections.abc import AsyncIterator, Awaitable, Callable

from cicadadoor.config.model import Organisation, Route, Service
from cicadadoor.errors import ErrorKind, Executed, Failure

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
# Compared by identity, because a cancelled request is no evidence about the backend
# server.
CANCELLED = Failure(ErrorKind.OUTCOME_UNKNOWN, 'the request was cancelled')


class SteeredRequest:
    """Represent a request without its API key.

    `deadline_s` and `received_s` are boot-time clock readings.
    """

    __slots__ = (
        'body',
        'claim_id',
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
        claim_id: str = '',
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
        self.claim_id = claim_id
        self.idempotency_key = headers.get('idempotency-key', '')
        marked_idempotent = route is not None and route.idempotent
        self.is_idempotent = method in IDEMPOTENT_METHODS or marked_idempotent

    @property
    def organisation_name(self) -> str:
        """Return the organisation's name, or `-` on a public route without a key."""
        return self.organisation.name if self.organisation else '-'

    @property
    def fingerprint(self) -> str:
        """Return a digest of the parts that repeated requests have in common."""
        hashed = hashlib.sha256()
        parts = (
            self.service.name,
            self.organisation_name,
            self.method,
            self.target,
        )
        for part in parts:
            hashed.update(f'{len(part)}:{part}'.encode())
        hashed.update(self.body)
        return hashed.hexdigest()

    @property
    def target(self) -> str:
        """Return the path and query sent to a backend server."""
        return f'{self.path}?{self.query}' if self.query else self.path


class SteeredResponse:
    """Represent a response: a buffered body, or a stream for a long body.

    `on_close` releases the resources of the stream and is called exactly once. The
    stream is aborted at `deadline_s` (boot-time clock) or when `must_stop` returns
    True.
    """

    __slots__ = (
        'body',
        'deadline_s',
        'headers',
        'must_stop',
        'on_close',
        'run',
        'status',
        'stream',
    )

    def __init__(
        self,
        *,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes = b'',
        stream: AsyncIterator[bytes] | None = None,
        on_close: Callable[[], Awaitable[None]] | None = None,
        run: Executed = Executed.YES,
        deadline_s: float = math.inf,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.stream = stream
        self.on_close = on_close
        self.run = run
        self.deadline_s = deadline_s
        self.must_stop: Callable[[], bool] = _never

    async def close(self) -> None:
        """Release the resources of the stream; later calls do nothing."""
        on_close, self.on_close = self.on_close, None
        if on_close is not None:
            await on_close()


def _never() -> bool:
    return False
