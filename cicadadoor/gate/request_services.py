"""List the services that process requests."""

from cicadadoor.gate.attempts import Attempts
from cicadadoor.gate.claims import Claims
from cicadadoor.gate.forward_server import ForwardServer
from cicadadoor.gate.forwarding import Forwarder
from cicadadoor.gate.idempotency import IdempotencyKeys
from cicadadoor.gate.peer_forwarding import PeerForwarder
from cicadadoor.gate.pipeline import Pipeline
from cicadadoor.gate.quarantine import Quarantine
from cicadadoor.kernel import Service


def request_services() -> list[Service]:
    """Return the services in start order."""
    return [
        IdempotencyKeys(),
        Claims(),
        Quarantine(),
        Forwarder(),
        PeerForwarder(),
        Attempts(),
        Pipeline(),
        ForwardServer(),
    ]
