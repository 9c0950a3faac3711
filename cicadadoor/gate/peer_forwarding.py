"""Hand a request to the gate of another host, and run those that others hand over."""

from cicadadoor.errors import ErrorKind, Failure, Run
from cicadadoor.gate.request import SteeredAnswer, SteeredRequest
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.forward_messages import ForwardAnswer, ForwardRequest
from cicadadoor.links.messages import GateInfo
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.telemetry import tracing
from cicadadoor.timer import TimerService

MAX_FORWARDED_BYTES = 1_048_576
_MS_PER_S = 1000


class PeerForwarder(Service):
    """Forward requests from gate to gate."""

    name = 'peer_forwarder'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._peers: PeerHub

    async def start(self, kernel: Kernel) -> None:
        """Find the peers."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._peers = kernel.find('peers')

    async def forward(
        self,
        request: SteeredRequest,
        gate: GateInfo,
        *,
        is_owner: bool = False,
        credit_id: str = '',
    ) -> SteeredAnswer | Failure:
        """Send the request; a failure tells whether it may have run."""
        left_s = request.deadline_s - self._timer.now_s()
        if left_s <= 0:
            return Failure(ErrorKind.DEADLINE_PASSED, 'the deadline has passed')
        if len(request.body) > MAX_FORWARDED_BYTES:
            return Failure(
                ErrorKind.REQUEST_TOO_LARGE,
                f'a body over {MAX_FORWARDED_BYTES} bytes is not sent to another host',
            )
        with tracing.hop('peer_gate') as span:
            span.set_attribute('host', gate.host)
            headers = dict(request.headers)
            tracing.inject(headers)
            message = ForwardRequest(
                request_id=request.request_id,
                service=request.service.name,
                organisation=request.organisation_name,
                key_hash=request.key_hash,
                method=request.method,
                path=request.path,
                query=request.query,
                headers=headers,
                body=request.body,
                client_ip=request.client_ip,
                left_ms=int(left_s * _MS_PER_S),
                is_owner=is_owner,
                credit_id=credit_id,
            )
            answer = await self._peers.ask(gate.peer_address, message, left_s)
        if isinstance(answer, ForwardAnswer):
            return _unpack(answer)
        if isinstance(answer, Failure):
            return answer
        return Failure(
            ErrorKind.OUTCOME_UNKNOWN,
            f'host {gate.host} sent an answer of another kind',
        )


def pack(answer: SteeredAnswer | Failure) -> ForwardAnswer:
    """Turn an answer or a failure into a message."""
    if isinstance(answer, Failure):
        return ForwardAnswer(
            failure_kind=answer.kind.value,
            failure_reason=answer.reason,
        )
    return ForwardAnswer(
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        run=answer.run.value,
    )


def _unpack(answer: ForwardAnswer) -> SteeredAnswer | Failure:
    try:
        if answer.failure_kind:
            return Failure(ErrorKind(answer.failure_kind), answer.failure_reason)
        run = Run(answer.run)
    except ValueError as error:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, f'malformed answer: {error}')
    return SteeredAnswer(
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        run=run,
    )
