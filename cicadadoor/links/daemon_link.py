"""Exchange messages between the gate and the agent of one host."""

from collections.abc import Awaitable, Callable

from cicadadoor.errors import Failure
from cicadadoor.kernel import Kernel, OnFault, Service
from cicadadoor.links.messages import Codec, Message
from cicadadoor.links.transport import MessageStamp, PairLink
from cicadadoor.settings import Address
from cicadadoor.telemetry import logs

log = logs.logger('link')

MessageHandler = Callable[[Message], Awaitable[None]]


class DaemonLink(Service):
    """Deliver messages of the other daemon of this host to services.

    Services call `on` when they start; the link starts after them. A message type may
    have several handlers.
    """

    name = 'daemon_link'

    def __init__(self, instance: str, address: Address, *, listens: bool) -> None:
        self._stamp = MessageStamp(instance)
        self._address = address
        self._listens = listens
        self._handlers: dict[type[Message], list[MessageHandler]] = {}
        self._link: PairLink | None = None

    def on(self, message_type: type[Message], handler: MessageHandler) -> None:
        """Call the handler for each message of the type."""
        self._handlers.setdefault(message_type, []).append(handler)

    async def start(self, kernel: Kernel) -> None:
        """Listen for, or connect to, the other daemon; it may start later."""
        self._link = PairLink(self._stamp, Codec(*self._handlers))
        if self._listens:
            self._link.listen(self._address)
        else:
            self._link.dial(self._address)
        kernel.spawn(self._receive, self._link, on_fault=OnFault.RESTART)

    async def stop(self, grace_s: float) -> None:
        """Close the link."""
        if self._link is not None:
            self._link.close()
            self._link = None

    async def send(self, message: Message) -> Failure | None:
        """Send a message; PEER_UNREACHABLE if the other daemon is not connected."""
        if self._link is None:
            return None
        failure = await self._link.send(message)
        if failure is not None:
            log.debug('message_not_sent', reason=failure.reason)
        return failure

    async def _receive(self, link: PairLink) -> None:
        while (message := await link.receive()) is not None:
            for handler in self._handlers[type(message)]:
                await _handle(handler, message)


async def _handle(handler: MessageHandler, message: Message) -> None:
    # An exception in one handler must not end the link.
    try:
        await handler(message)
    except Exception:
        log.exception('message_handler_failed', message=type(message).__name__)
