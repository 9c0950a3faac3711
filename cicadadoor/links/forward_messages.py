"""Define the messages that carry a request from gate to gate."""

from cicadadoor.links.messages import Message


class ForwardRequest(Message, frozen=True, kw_only=True, tag=True):
    """Ask another gate to run a request; no key is in it, only its hash.

    `is_owner` asks the gate that issued the idempotency prefix; otherwise the
    request is to run at a backend server of the receiver's domain.
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


class ForwardAnswer(Message, frozen=True, kw_only=True, tag=True):
    """Carry the whole answer, or the failure, of a forwarded request."""

    status: int = 0
    headers: list[tuple[str, str]] = []
    body: bytes = b''
    run: str = ''
    failure_kind: str = ''
    failure_reason: str = ''
