"""Hold a caller's request and its response, and define who handles them."""

import abc
from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio
import h11

from cicadadoor.decisions.memory_account import Owner, Reservation
from cicadadoor.decisions.progress_limits import BodyProgress
from cicadadoor.entry.messages import CallerRequest, Headers
from cicadadoor.errors import Failure

if TYPE_CHECKING:
    from cicadadoor.entry.caller_connection import CallerConnection

Body = bytes | bytearray
# Objects of a running request and of its connection to a backend server, and what the
# kernel holds of a response that the host has not read yet.
REQUEST_BYTES = 131_072


class Response:
    """Hold a response to a caller; `closes` ends the connection after it."""

    __slots__ = ('body', 'closes', 'headers', 'status')

    def __init__(
        self,
        status: int,
        headers: Headers,
        body: Body,
        *,
        closes: bool = False,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.closes = closes

    def has_body(self, method: str) -> bool:
        """Tell whether the body is sent; its length is stated in any case."""
        if method == 'HEAD' or not self.body:
            return False
        return self.status not in {HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED}


class RequestBody:
    """Hold what has arrived of a request body, once and in one buffer.

    `declared_bytes` is None for a body that is sent in chunks.
    """

    __slots__ = (
        'content',
        'declared_bytes',
        'expects_continue',
        'progress',
        'reservation',
    )

    def __init__(self) -> None:
        self.content: Body = b''
        self.declared_bytes: int | None = 0
        self.expects_continue = False
        # Set if the request has a body.
        self.progress: BodyProgress | None = None
        self.reservation: Reservation | None = None

    def release(self) -> None:
        """Free the bytes."""
        self.content = b''
        if self.reservation is not None:
            self.reservation.close()


class Exchange:
    """Hold one request of a connection, from its first byte to its response."""

    __slots__ = (
        'body',
        'connection',
        'head_bytes',
        'head_due_s',
        'headers',
        'is_dropped',
        'is_held',
        'is_last',
        'is_repeatable',
        'is_whole',
        'method',
        'owner',
        'parser',
        'request',
        'response',
        'response_reservation',
        'scope',
        'target',
    )

    def __init__(
        self,
        connection: 'CallerConnection',
        parser: h11.Connection,
        owner: Owner,
        head_due_s: float,
    ) -> None:
        self.head_due_s = head_due_s
        self.connection = connection
        self.parser = parser
        self.owner = owner
        self.method = ''
        self.target = b''
        self.headers: Headers = []
        # Set by the handler once the head is complete.
        self.request: CallerRequest | None = None
        self.head_bytes = 0
        self.body = RequestBody()
        # The rest is read only once all earlier requests have been answered.
        self.is_held = False
        self.is_whole = False
        # The client sends no further request on the connection.
        self.is_last = False
        # None until it has been looked up.
        self.is_repeatable: bool | None = None
        # Cancelled when the caller leaves.
        self.scope: anyio.CancelScope | None = None
        # True once the response is sent or no longer wanted.
        self.is_dropped = False
        self.response: Response | None = None
        self.response_reservation: Reservation | None = None

    @property
    def has_head(self) -> bool:
        """Tell whether the head of the request is complete."""
        return bool(self.method)

    def respond(self, response: Response) -> None:
        """Send the response once all earlier requests have been answered."""
        self.connection.respond(self, response)

    def release(self) -> None:
        """Free everything that the exchange holds."""
        self.is_dropped = True
        self.body.release()
        if self.response is not None:
            self.response.body = b''
        if self.response_reservation is not None:
            self.response_reservation.close()


class RequestHandler(abc.ABC):
    """Handle the requests that arrive at one address of the host."""

    @abc.abstractmethod
    def begin(self, exchange: Exchange) -> None:
        """Take note of a complete head."""

    @abc.abstractmethod
    def handle(self, exchange: Exchange) -> None:
        """Answer a complete request, now or later."""

    @abc.abstractmethod
    def may_repeat(self, exchange: Exchange) -> bool:
        """Tell whether the request may run more than once."""

    @abc.abstractmethod
    def refuse(self, exchange: Exchange, failure: Failure) -> Response:
        """Return the response to a request that was refused before it was handled."""

    def end(self, exchange: Exchange) -> None:  # noqa: B027
        """Take note that a request is answered or that its caller has left."""

    @property
    def is_full(self) -> bool:
        """Tell whether further requests of a connection wait for the earlier ones."""
        return False

    @property
    def must_close(self) -> bool:
        """Tell whether connections are closed after the next response."""
        return False
