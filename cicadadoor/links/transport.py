"""Exchange messages between processes over pynng."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pynng
from anyio import lowlevel

from cicadadoor.errors import AddressInUseError, ErrorKind, Failure
from cicadadoor.kernel import Kernel
from cicadadoor.links.messages import (
    MAX_MESSAGE_BYTES,
    Codec,
    Message,
    Refusal,
    encode,
)
from cicadadoor.links.peer_limits import PeerLimits
from cicadadoor.settings import Address, Settings
from cicadadoor.telemetry import logs, metrics

log = logs.logger('link')

_MS_PER_S = 1000
_PAIR_SEND_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 0.5
_CONNECT_POLL_S = 0.01
_CANCELLED = 'the operation was cancelled by pynng'
_DIAL_RETRY_MS = 100
_DIAL_RETRY_MAX_MS = 1000

Handler = Callable[[Message], Awaitable[Message]]


async def wait_for_operation(operation: Awaitable[Any]) -> Any:
    """Await an operation of pynng; raise pynng.Canceled if pynng cancelled it.

    pynng raises its own CancelledError, also when a deadline of anyio has passed.
    anyio would not attribute it to the deadline, and would cancel all tasks.
    """
    try:
        return await operation
    except asyncio.CancelledError as error:
        await lowlevel.checkpoint_if_cancelled()
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        raise pynng.Canceled(_CANCELLED, pynng.lib.NNG_ECANCELED) from error


class PeerSecurity:
    """Hold the certificates of links between hosts, or none on loopback."""

    __slots__ = ('ca_pem', 'certificate_pem')

    def __init__(self, certificate_pem: str = '', ca_pem: str = '') -> None:
        self.certificate_pem = certificate_pem
        self.ca_pem = ca_pem

    @classmethod
    def from_settings(cls, settings: Settings) -> 'PeerSecurity':
        """Read the certificate files that the settings name."""
        if not settings.peer_certificate_file or not settings.peer_ca_file:
            return cls()
        return cls(
            Path(settings.peer_certificate_file).read_text(encoding='ascii'),
            Path(settings.peer_ca_file).read_text(encoding='ascii'),
        )

    def url(self, address: Address | str) -> str:
        """Return the transport URL of an address."""
        scheme = 'tls+tcp' if self.certificate_pem else 'tcp'
        return f'{scheme}://{address}'

    def apply(self, socket: pynng.Socket, *, server_address: str = '') -> None:
        """Require mutual TLS, if there are certificates.

        A client passes the server's address, whose IP address has to be in the server's
        certificate; mbed TLS rejects every server if it has no name to verify.
        """
        if not self.certificate_pem:
            return
        host_ip = server_address.rpartition(':')[0].strip('[]')
        socket.tls_config = pynng.TLSConfig(
            pynng.TLSConfig.MODE_CLIENT if host_ip else pynng.TLSConfig.MODE_SERVER,
            server_name=host_ip or None,
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
            own_key_string=self.certificate_pem,
            own_cert_string=self.certificate_pem,
            ca_string=self.ca_pem,
        )


class MessageStamp:
    """Set the sender instance and a unique id on each outgoing message."""

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self._last_id = 0

    def apply(self, message: Message, in_reply_to: int = 0) -> Message:
        """Return the message with sender instance and message id set."""
        self._last_id += 1
        return msgspec.structs.replace(
            message,
            sender_instance=self.instance,
            message_id=self._last_id,
            in_reply_to=in_reply_to,
        )


class PeerServer:
    """Serve requests of other hosts concurrently."""

    def __init__(
        self,
        stamp: MessageStamp,
        handlers: dict[type[Message], Handler],
        security: PeerSecurity,
        limits: PeerLimits | None = None,
    ) -> None:
        self._limits = limits or PeerLimits()
        self._stamp = stamp
        self._codec = Codec(*handlers)
        self._handlers = handlers
        self._security = security
        self._socket: pynng.Rep0 | None = None

    def start(self, kernel: Kernel, address: Address) -> None:
        """Listen and serve until closed; raise AddressInUseError if in use."""
        socket = pynng.Rep0()
        # The connection of a peer that sends a longer message is closed.
        socket.recv_max_size = self._limits.request_bytes
        self._security.apply(socket)
        if self._limits.connections is not None:
            socket.add_pre_pipe_connect_cb(self._refuse_surplus)
        _listen(socket, self._security.url(address))
        self._socket = socket
        for _ in range(self._limits.contexts):
            kernel.spawn(self._serve, socket.new_context())

    def close(self) -> None:
        """Stop listening."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def _serve(self, context: pynng.Context) -> None:
        try:
            await self._serve_requests(context)
        finally:
            # The context of a closed socket can't be closed again.
            with suppress(pynng.NNGException):
                context.close()

    async def _serve_requests(self, context: pynng.Context) -> None:
        while True:
            try:
                encoded = await wait_for_operation(context.arecv())
                await wait_for_operation(context.asend(await self._answer(encoded)))
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                log.warning('peer_answer_failed', error=type(error).__name__)

    async def _answer(self, encoded: bytes) -> bytes:
        try:
            request = self._codec.decode(encoded)
        except Exception:
            # Malformed input must not end the task that serves requests.
            log.exception('peer_message_fault', size_bytes=len(encoded))
            return self._refuse(
                Failure(ErrorKind.MESSAGE_INVALID, 'the message could not be decoded'),
                0,
            )
        if isinstance(request, Failure):
            return self._refuse(request, 0)
        try:
            answer = await self._handlers[type(request)](request)
            encoded_answer = encode(self._stamp.apply(answer, request.message_id))
        except Exception:
            log.exception('peer_handler_failed', message=type(request).__name__)
            failure = Failure(ErrorKind.INTERNAL, 'the message handler failed')
            return self._refuse(failure, request.message_id)
        if len(encoded_answer) > MAX_MESSAGE_BYTES:
            # The peer would close the connection, and would not learn why.
            failure = Failure(
                ErrorKind.MESSAGE_INVALID,
                f'the answer of {len(encoded_answer)} bytes exceeds '
                f'{MAX_MESSAGE_BYTES} bytes',
            )
            return self._refuse(failure, request.message_id)
        return encoded_answer

    def _refuse_surplus(self, pipe: pynng.Pipe) -> None:
        # Called in a thread of pynng, before the connection counts as open.
        if len(pipe.socket.pipes) > self._limits.connections:
            metrics.DROPPED_MESSAGES.labels('too_many_peers').inc()
            pipe.close()

    def _refuse(self, failure: Failure, in_reply_to: int) -> bytes:
        metrics.DROPPED_MESSAGES.labels(failure.kind.value).inc()
        log.warning('peer_message_refused', reason=failure.reason)
        refusal = Refusal(kind=failure.kind.value, reason=failure.reason)
        return encode(self._stamp.apply(refusal, in_reply_to))


class PeerClient:
    """Send requests to one other host."""

    def __init__(
        self,
        stamp: MessageStamp,
        codec: Codec,
        address: str,
        security: PeerSecurity,
    ) -> None:
        self.address = address
        self._stamp = stamp
        self._codec = codec
        socket = pynng.Req0(
            resend_time=-1,
            reconnect_time_min=_DIAL_RETRY_MS,
            reconnect_time_max=_DIAL_RETRY_MAX_MS,
        )
        socket.recv_max_size = MAX_MESSAGE_BYTES
        security.apply(socket, server_address=address)
        socket.dial(security.url(address), block=False)
        self._socket = socket

    async def request(self, message: Message, timeout_s: float) -> Message | Failure:
        """Send a request and return its answer.

        PEER_UNREACHABLE means that nothing was sent; after OUTCOME_UNKNOWN the peer
        may have applied the request.
        """
        if not await self._wait_connected(timeout_s):
            return Failure(
                ErrorKind.PEER_UNREACHABLE,
                f'peer {self.address} is not connected',
            )
        stamped = self._stamp.apply(message)
        try:
            with anyio.fail_after(timeout_s), self._socket.new_context() as context:
                await wait_for_operation(context.asend(encode(stamped)))
                encoded = await wait_for_operation(context.arecv())
        except (TimeoutError, pynng.NNGException) as error:
            return Failure(
                ErrorKind.OUTCOME_UNKNOWN,
                f'peer {self.address}: {type(error).__name__}',
            )
        return self._check(self._codec.decode(encoded), stamped.message_id)

    async def _wait_connected(self, timeout_s: float) -> bool:
        # A request on an unconnected socket would be queued, and sent after the caller
        # has given up.
        with anyio.move_on_after(min(timeout_s, _CONNECT_TIMEOUT_S)):
            while not self._socket.pipes:
                await anyio.sleep(_CONNECT_POLL_S)
        return bool(self._socket.pipes)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _check(
        self,
        answer: Message | Failure,
        message_id: int,
    ) -> Message | Failure:
        if isinstance(answer, Failure):
            return answer
        if isinstance(answer, Refusal):
            return _to_failure(answer)
        if answer.in_reply_to != message_id:
            metrics.DROPPED_MESSAGES.labels('late_answer').inc()
            return Failure(
                ErrorKind.MESSAGE_INVALID,
                f'answer to message {answer.in_reply_to}, expected {message_id}',
            )
        return answer


def _listen(socket: pynng.Socket, url: str) -> None:
    try:
        socket.listen(url)
    except pynng.AddressInUse as error:
        raise AddressInUseError(url) from error


def _to_failure(refusal: Refusal) -> Failure:
    try:
        kind = ErrorKind(refusal.kind)
    except ValueError:
        kind = ErrorKind.MESSAGE_INVALID
    return Failure(kind, refusal.reason)


class PairLink:
    """Exchange messages with the other daemon of this host."""

    def __init__(self, stamp: MessageStamp, codec: Codec) -> None:
        self._stamp = stamp
        self._codec = codec
        self._socket = pynng.Pair0(
            send_timeout=int(_PAIR_SEND_TIMEOUT_S * _MS_PER_S),
            reconnect_time_min=_DIAL_RETRY_MS,
            reconnect_time_max=_DIAL_RETRY_MAX_MS,
        )
        self._socket.recv_max_size = MAX_MESSAGE_BYTES

    def listen(self, address: Address) -> None:
        """Listen for the other daemon; raise AddressInUseError if in use."""
        _listen(self._socket, f'tcp://{address}')

    def dial(self, address: Address) -> None:
        """Connect to the other daemon in the background; it may start later."""
        self._socket.dial(f'tcp://{address}', block=False)

    async def send(self, message: Message) -> None | Failure:
        """Send a message; PEER_UNREACHABLE if the other daemon is not connected."""
        try:
            await wait_for_operation(
                self._socket.asend(encode(self._stamp.apply(message))),
            )
        except pynng.NNGException as error:
            return Failure(
                ErrorKind.PEER_UNREACHABLE,
                f'cannot reach the other daemon: {type(error).__name__}',
            )
        return None

    async def receive(self) -> Message | None:
        """Return the next well-formed message, or None when the link is closed."""
        while True:
            try:
                encoded = await wait_for_operation(self._socket.arecv())
            except pynng.Closed:
                return None
            except pynng.NNGException as error:
                log.warning('link_receive_failed', error=type(error).__name__)
                continue
            message = self._codec.decode(encoded)
            if isinstance(message, Message):
                return message
            metrics.DROPPED_MESSAGES.labels(message.kind.value).inc()
            log.warning('link_message_dropped', reason=message.reason)

    def close(self) -> None:
        """Close the link."""
        self._socket.close()
