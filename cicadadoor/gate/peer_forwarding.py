"""Forward requests to the gates of other hosts."""

from collections.abc import AsyncIterator
from contextlib import suppress

from cicadadoor.decisions.response_limits import find_status_fault
from cicadadoor.errors import ErrorKind, Executed, Failure
from cicadadoor.gate.request import SteeredRequest, SteeredResponse
from cicadadoor.gate.state import GateState
from cicadadoor.gate.streams import StreamBrokenError
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.links.forward_messages import (
    ForwardAnswer,
    ForwardCancel,
    ForwardNext,
    ForwardPart,
    ForwardRequest,
)
from cicadadoor.links.messages import GateInfo
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.telemetry import tracing
from cicadadoor.timer import TimerService

MAX_FORWARDED_BYTES = 1_048_576
_MS_PER_S = 1000
_CANCEL_TIMEOUT_S = 1.0


class PeerForwarder(Service):
    """Forward requests to other gates, each at most once."""

    name = 'peer_forwarder'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._peers: PeerHub
        self._kernel: Kernel

    async def start(self, kernel: Kernel) -> None:
        """Look up the connections to peers."""
        self._kernel = kernel
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
        claim_id: str = '',
    ) -> SteeredResponse | Failure:
        """Send the request; a failure says whether it may have run."""
        left_s = request.deadline_s - self._timer.now_s()
        if left_s <= 0:
            return Failure(
                ErrorKind.DEADLINE_PASSED,
                'the deadline passed before the request was sent',
            )
        if len(request.body) > MAX_FORWARDED_BYTES:
            return Failure(
                ErrorKind.REQUEST_TOO_LARGE,
                f'the request body has {len(request.body)} bytes; the limit for '
                f'forwarding to another host is {MAX_FORWARDED_BYTES}',
            )
        with tracing.record_span('peer_gate') as span:
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
                claim_id=claim_id,
            )
            return await self._exchange(request, gate, message, left_s)

    async def forward_to_owner(
        self,
        request: SteeredRequest,
        gate: GateInfo,
        claim_id: str = '',
    ) -> SteeredResponse | Failure:
        """Send the request to the gate that owns its idempotency key.

        Only that gate can state that the request did not run: an earlier attempt may
        have reached it although this one did not.
        """
        response = await self.forward(request, gate, is_owner=True, claim_id=claim_id)
        if isinstance(response, Failure) and not response.has_explicit_run:
            return Failure(
                ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN,
                f'host {gate.host}, which owns the idempotency key, did not '
                f'report the outcome: {response.reason}',
            )
        return response

    async def _exchange(
        self,
        request: SteeredRequest,
        gate: GateInfo,
        message: ForwardRequest,
        left_s: float,
    ) -> SteeredResponse | Failure:
        is_answered = False
        try:
            answer = await self._peers.ask(gate.peer_address, message, left_s)
            is_answered = True
        finally:
            if not is_answered:
                self._cancel(gate, ForwardCancel(request_id=request.request_id))
        if isinstance(answer, ForwardAnswer):
            return self._parse_answer(request, gate, answer)
        if not isinstance(answer, Failure):
            return _outcome_unknown(
                f'host {gate.host} sent an unexpected {type(answer).__name__}'
            )
        if answer.kind is ErrorKind.PEER_UNREACHABLE:
            return answer
        # After any other failure, the other gate may have run the request.
        return _outcome_unknown(f'host {gate.host}: {answer.reason}')

    def _parse_answer(
        self,
        request: SteeredRequest,
        gate: GateInfo,
        answer: ForwardAnswer,
    ) -> SteeredResponse | Failure:
        try:
            run = Executed(answer.run)
            if answer.failure_kind:
                return Failure(
                    ErrorKind(answer.failure_kind),
                    answer.failure_reason,
                    answer.retry_after_ms,
                    run,
                )
        except ValueError as error:
            return _outcome_unknown(f'malformed answer of host {gate.host}: {error}')
        fault = find_status_fault(answer.status)
        if fault:
            return _outcome_unknown(f'malformed answer of host {gate.host}: {fault}')
        response = SteeredResponse(
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            run=run,
        )
        if answer.stream_id:
            remote = _RemoteStream(self, request, gate, answer)
            response.body = b''
            response.stream = remote.stream()
            response.on_close = remote.close
            response.deadline_s = request.deadline_s
        return response

    async def fetch_part(
        self,
        request: SteeredRequest,
        gate: GateInfo,
        message: ForwardNext,
    ) -> ForwardPart:
        """Return the next part of a streamed response.

        Raise StreamBrokenError if the other gate does not send it before the deadline.
        """
        left_s = request.deadline_s - self._timer.now_s()
        if left_s <= 0:
            raise StreamBrokenError('the deadline passed during the response')
        part = await self._peers.ask(gate.peer_address, message, left_s)
        if not isinstance(part, ForwardPart) or part.is_broken:
            raise StreamBrokenError(
                f'host {gate.host} did not send the rest of the response'
            )
        return part

    def close_stream(
        self, request: SteeredRequest, gate: GateInfo, stream_id: str
    ) -> None:
        """Tell the other gate to close a streamed response."""
        self._cancel(
            gate,
            ForwardCancel(request_id=request.request_id, stream_id=stream_id),
        )

    def _cancel(self, gate: GateInfo, message: ForwardCancel) -> None:
        # The kernel raises RuntimeError during shutdown, when nothing can be sent.
        with suppress(RuntimeError):
            self._kernel.spawn(
                self._send_cancel, gate, message, on_fault=OnFault.CONTINUE
            )

    async def _send_cancel(self, gate: GateInfo, message: ForwardCancel) -> None:
        await self._peers.ask(gate.peer_address, message, _CANCEL_TIMEOUT_S)


class _RemoteStream:
    """Pull the rest of a streamed response from another gate."""

    def __init__(
        self,
        forwarder: PeerForwarder,
        request: SteeredRequest,
        gate: GateInfo,
        first: ForwardAnswer,
    ) -> None:
        self._forwarder = forwarder
        self._request = request
        self._gate = gate
        self._first_body = first.body
        self._stream_id = first.stream_id
        self._is_done = False

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield all parts in order."""
        yield self._first_body
        part_number = 0
        while not self._is_done:
            part_number += 1
            message = ForwardNext(stream_id=self._stream_id, part_number=part_number)
            part = await self._forwarder.fetch_part(self._request, self._gate, message)
            self._is_done = part.is_last
            yield part.body

    async def close(self) -> None:
        """Close the stream at the other gate."""
        if not self._is_done:
            self._forwarder.close_stream(self._request, self._gate, self._stream_id)


def build_answer(response: SteeredResponse | Failure) -> ForwardAnswer:
    """Convert a buffered response or a failure to a message."""
    if isinstance(response, Failure):
        return ForwardAnswer(
            failure_kind=response.kind.value,
            failure_reason=response.reason,
            retry_after_ms=response.retry_after_ms,
            run=response.run.value,
        )
    return ForwardAnswer(
        status=response.status,
        headers=response.headers,
        body=response.body,
        run=response.run.value,
    )


def _outcome_unknown(reason: str) -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)
