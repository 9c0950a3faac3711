"""List the services that process requests."""

from cicadadoor.gate.attempts import AttemptRunner
from cicadadoor.gate.claims import ClaimClient
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
        ClaimClient(),
        Quarantine(),
        Forwarder(),
        PeerForwarder(),
        AttemptRunner(),
        Pipeline(),
        ForwardServer(),
    ]
