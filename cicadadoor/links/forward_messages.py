"""Define the messages that forward a request from gate to gate."""

from cicadadoor.links.messages import Message


class ForwardRequest(Message, frozen=True, kw_only=True, tag=True):
    """Ask another gate to run a request; only the hash of its API key is sent.

    `is_owner` addresses the gate that issued the idempotency prefix or holds the claim;
    otherwise the request is to run at a backend server of the receiver's domain.
    `claim_id` names the claim that the sender read in the platform.
    """

    request_id: str
    service: str
    organisation: str
    key_hash: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    client_ip: str
    left_ms: int
    is_owner: bool
    credit_id: str = ''
    claim_id: str = ''


class ForwardAnswer(Message, frozen=True, kw_only=True, tag=True):
    """Carry the response, or the failure, of a forwarded request.

    With a `stream_id` the body is the first part, and ForwardNext asks for the rest.
    """

    status: int = 0
    headers: list[tuple[str, str]] = []
    body: bytes = b''
    run: str = ''
    failure_kind: str = ''
    failure_reason: str = ''
    retry_after_ms: int = 0
    stream_id: str = ''


class ForwardNext(Message, frozen=True, kw_only=True, tag=True):
    """Request a part of a long response; part 1 follows the body of ForwardAnswer."""

    stream_id: str
    part_number: int


class ForwardPart(Message, frozen=True, kw_only=True, tag=True):
    """Carry one part of a long response, or report that it was truncated."""

    body: bytes = b''
    is_last: bool = False
    is_broken: bool = False


class ForwardCancel(Message, frozen=True, kw_only=True, tag=True):
    """Cancel a request, or the rest of its response, that is no longer needed."""

    request_id: str
    stream_id: str = ''
