"""Run the requests that other gates forward."""

from collections.abc import Awaitable, Callable

import anyio

from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.credits import CreditExchange
from cicadadoor.gate.link_budgets import LinkBudgets
from cicadadoor.gate.peer_forwarding import build_answer
from cicadadoor.gate.request import SteeredResponse
from cicadadoor.gate.streams import StoredStream, read_part
from cicadadoor.ids import new_nonce
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.forward_messages import (
    ForwardAnswer,
    ForwardCancel,
    ForwardNext,
    ForwardPart,
    ForwardRequest,
)
from cicadadoor.links.messages import Ack, Message
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.telemetry import logs, metrics
from cicadadoor.timer import TimerService

log = logs.logger('forward')

PART_BYTES = 262_144
# A stream is closed if the other gate requests no part for this long.
IDLE_STREAM_S = 10.0
_CHECK_PERIOD_S = 1.0
_MAX_REMEMBERED_MESSAGES = 10_000

RunForwarded = Callable[[ForwardRequest], Awaitable[SteeredResponse | Failure]]


class ForwardServer(Service):
    """Answer other gates that forward requests, read streams or cancel requests."""

    name = 'forward_server'

    def __init__(self) -> None:
        self._timer: TimerService
        self._run: RunForwarded
        self._credits: CreditExchange
        self._links: LinkBudgets
        self._streams: dict[str, StoredStream] = {}
        self._running: dict[tuple[str, str], anyio.CancelScope] = {}
        # Ids of accepted messages, to reject duplicates.
        self._accepted: dict[tuple[str, int], None] = {}

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to messages of other gates."""
        self._timer = kernel.find('timer')
        self._credits = kernel.find('credits')
        self._links = kernel.find('link_budgets')
        self._run = kernel.find('pipeline').run_forwarded
        peers: PeerHub = kernel.find('peers')
        peers.on(ForwardRequest, self.handle, ForwardAnswer)
        peers.on(ForwardNext, self.handle_next, ForwardPart)
        peers.on(ForwardCancel, self.handle_cancel)
        self._timer.subscribe('idle_streams', _CHECK_PERIOD_S, self.close_idle)

    async def handle(self, message: ForwardRequest) -> Message:
        """Run a request that another gate forwarded."""
        if not self._accept_once(message):
            metrics.DROPPED_MESSAGES.labels('duplicate_request').inc()
            return build_answer(
                Failure(
                    ErrorKind.OUTCOME_UNKNOWN,
                    f'duplicate message {message.message_id}',
                )
            )
        running = (message.sender_instance, message.request_id)
        response: SteeredResponse | Failure = Failure(
            ErrorKind.OUTCOME_UNKNOWN,
            'the request was cancelled',
        )
        with anyio.CancelScope() as scope:
            self._running[running] = scope
            try:
                response = await self._run(message)
            finally:
                self._running.pop(running, None)
        if isinstance(response, SteeredResponse) and response.stream is not None:
            return await self._store_stream(message, response)
        self._credits.charge_response(message, response)
        return build_answer(response)

    async def handle_next(self, message: ForwardNext) -> Message:
        """Return the next part of a streamed response; each part is sent once."""
        stored = self._streams.get(message.stream_id)
        if stored is None or stored.is_busy:
            return ForwardPart(is_broken=True)
        if message.part_number != stored.next_part:
            await self._close(message.stream_id)
            return ForwardPart(is_broken=True)
        stored.next_part += 1
        stored.is_busy = True
        try:
            body = await read_part(stored.response.stream, PART_BYTES)
        except Exception as error:
            log.info('stream_broken', error=type(error).__name__)
            await self._close(message.stream_id)
            return ForwardPart(is_broken=True)
        stored.is_busy = False
        stored.last_used_s = self._timer.now_s()
        self._charge(stored.region, body)
        is_last = len(body) < PART_BYTES
        if is_last:
            await self._close(message.stream_id)
        return ForwardPart(body=body, is_last=is_last)

    async def handle_cancel(self, message: ForwardCancel) -> Message:
        """Cancel an idempotent request, or close a streamed response."""
        # A non-idempotent request continues in a separate task.
        scope = self._running.get((message.sender_instance, message.request_id))
        if scope is not None:
            scope.cancel()
        await self._close(message.stream_id)
        return Ack()

    async def close_idle(self) -> None:
        """Close streams that are idle or past their deadline."""
        now_s = self._timer.now_s()
        for stream_id, stored in list(self._streams.items()):
            is_idle = not stored.is_busy and stored.last_used_s + IDLE_STREAM_S <= now_s
            if is_idle or stored.response.deadline_s <= now_s:
                await self._close(stream_id)

    def _accept_once(self, message: ForwardRequest) -> bool:
        taken = (message.sender_instance, message.message_id)
        if taken in self._accepted:
            return False
        self._accepted[taken] = None
        if len(self._accepted) > _MAX_REMEMBERED_MESSAGES:
            self._accepted.pop(next(iter(self._accepted)))
        return True

    async def _store_stream(
        self, message: ForwardRequest, response: SteeredResponse
    ) -> Message:
        try:
            body = await read_part(response.stream, PART_BYTES)
        except Exception as error:
            await response.close()
            failure = Failure(ErrorKind.ANSWER_TRUNCATED, type(error).__name__)
            return build_answer(failure)
        region = self._credits.take_response_region(message)
        self._charge(region, body)
        stream_id = new_nonce()
        self._streams[stream_id] = StoredStream(response, self._timer.now_s(), region)
        return ForwardAnswer(
            status=response.status,
            headers=response.headers,
            body=body,
            run=response.run.value,
            stream_id=stream_id,
        )

    def _charge(self, region: str | None, body: bytes) -> None:
        if region is not None:
            self._links.charge_response(region, len(body))

    async def _close(self, stream_id: str) -> None:
        stored = self._streams.pop(stream_id, None)
        if stored is not None:
            await stored.response.close()
