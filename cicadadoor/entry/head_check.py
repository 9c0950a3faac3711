"""Check the head of a backend server's response."""

from collections.abc import Callable
from http import HTTPStatus

from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.messages import CallerRequest, Headers, ResponseHead
from cicadadoor.errors import ErrorKind, Failure

ReadResponse = Callable[[int, Headers], ResponseHead]


class HeadCheck:
    """Check a response by its head, before the body has been received."""

    __slots__ = ('_read_response', '_request', 'backend', 'fault', 'head')

    def __init__(
        self,
        request: CallerRequest,
        backend: Backend,
        read_response: ReadResponse,
    ) -> None:
        self._request = request
        self._read_response = read_response
        self.backend = backend
        self.head: ResponseHead
        self.fault: Failure | None = None

    @property
    def is_attributable(self) -> bool:
        """Tell whether the response names the request that it answers."""
        return self.head.request_id == self._request.request_id

    def wants_body(self, status: int, headers: Headers) -> bool:
        """Tell whether the response will be passed on to the caller."""
        self.head = self._read_response(status, headers)
        self.fault = _find_fault(self._request, self.head, self.backend)
        return self.fault is None


def _find_fault(
    request: CallerRequest,
    head: ResponseHead,
    backend: Backend,
) -> Failure | None:
    name = backend.record.instance_id
    if head.request_id != request.request_id and (head.request_id or head.is_signed):
        # The response to an earlier request on this connection.
        return Failure(ErrorKind.ANSWER_INVALID, f'{name}: response to another request')
    if head.status == HTTPStatus.MISDIRECTED_REQUEST:
        return Failure(
            ErrorKind.BACKEND_MOVED,
            f'{name}: address now used by {head.instance_id or "another instance"}',
        )
    if head.is_not_run:
        return Failure(
            ErrorKind.BACKEND_SHED, f'{name}: request shed with status {head.status}'
        )
    if head.is_encoded or not head.is_signed:
        return Failure(
            ErrorKind.ANSWER_INVALID, f'{name}: response is encoded or not signed'
        )
    return None
