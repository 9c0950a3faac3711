"""Define the limits of a server of other hosts."""

from cicadadoor.links.messages import MAX_MESSAGE_BYTES


class PeerLimits:
    """Limit what a server of other hosts holds for them.

    Requests are served in `contexts` at a time: forwarded requests wait there for
    backend servers, and for other gates, which may in turn wait for this one. Further
    hosts are disconnected once there are `connections`; None stands for no limit.
    """

    __slots__ = ('connections', 'contexts', 'request_bytes')

    def __init__(
        self,
        *,
        contexts: int = 256,
        request_bytes: int = MAX_MESSAGE_BYTES,
        connections: int | None = None,
    ) -> None:
        self.contexts = contexts
        self.request_bytes = request_bytes
        self.connections = connections
