"""Exchange requests and answers with the same daemon on other hosts."""

from cicadadoor.errors import Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.messages import Ack, Codec, Message, Refusal
from cicadadoor.links.peer_limits import PeerLimits
from cicadadoor.links.transport import (
    Handler,
    MessageStamp,
    PeerClient,
    PeerSecurity,
    PeerServer,
)
from cicadadoor.settings import Address


class PeerHub(Service):
    """Share one listener, and one connection per peer, among services.

    Services call `on` when they start; the hub starts after them.
    """

    name = 'peers'

    def __init__(
        self,
        instance: str,
        address: Address,
        security: PeerSecurity,
        limits: PeerLimits | None = None,
    ) -> None:
        self._limits = limits
        self._stamp = MessageStamp(instance)
        self._address = address
        self._security = security
        self._handlers: dict[type[Message], Handler] = {}
        self._answers: set[type[Message]] = {Ack, Refusal}
        self._clients: dict[str, PeerClient] = {}
        self._server: PeerServer | None = None

    def on(
        self,
        request_type: type[Message],
        handler: Handler,
        *answer_types: type[Message],
    ) -> None:
        """Register the handler of a request type and the answer types to accept."""
        self._handlers[request_type] = handler
        self._answers.update(answer_types)

    async def start(self, kernel: Kernel) -> None:
        """Listen, if any service answers requests."""
        if not self._handlers:
            return
        self._server = PeerServer(
            self._stamp, self._handlers, self._security, self._limits
        )
        self._server.start(kernel, self._address)

    async def stop(self, grace_s: float) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    async def ask(
        self,
        address: str,
        message: Message,
        timeout_s: float,
    ) -> Message | Failure:
        """Send a request to a peer and return its answer.

        PEER_UNREACHABLE means that nothing was sent; after OUTCOME_UNKNOWN the peer
        may have applied the request.
        """
        client = self._clients.get(address)
        if client is None:
            codec = Codec(*sorted(self._answers, key=_type_name))
            client = PeerClient(self._stamp, codec, address, self._security)
            self._clients[address] = client
        return await client.request(message, timeout_s)

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer that no longer exists."""
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()


def _type_name(message_type: type[Message]) -> str:
    return message_type.__name__
