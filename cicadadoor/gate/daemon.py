"""Run the gate of an entry host."""

import sys

from cicadadoor import core
from cicadadoor.gate.admission import SeatAdmission
from cicadadoor.gate.app import CallerServer
from cicadadoor.gate.at_most_once import PassThrough
from cicadadoor.gate.config_receiver import ConfigReceiver
from cicadadoor.gate.credits import CreditDesk
from cicadadoor.gate.departure import Departure
from cicadadoor.gate.directory import GateDirectory
from cicadadoor.gate.forwarding import Forwarder
from cicadadoor.gate.keys import KeyCheck
from cicadadoor.gate.link_budgets import LinkBudgets
from cicadadoor.gate.lookup import Lookup
from cicadadoor.gate.peer_forwarding import PeerForwarder
from cicadadoor.gate.pipeline import Pipeline
from cicadadoor.gate.probing import Prober
from cicadadoor.gate.quarantine import NoQuarantine
from cicadadoor.gate.queueing import NoQueue
from cicadadoor.gate.routing import TwoChoicesRouter
from cicadadoor.gate.servers import BackendServers
from cicadadoor.gate.shares import GateShares, SeatReturner
from cicadadoor.gate.slot_share import HeldSeats
from cicadadoor.gate.state import GateState
from cicadadoor.gate.token_exchange import TokenExchange
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.links.transport import PeerSecurity
from cicadadoor.settings import Settings
from cicadadoor.timer import BootTimer


def build(settings: Settings) -> Kernel:
    """Register the gate's services in the order in which they start."""
    kernel = Kernel()
    state = GateState(settings)
    link = DaemonLink(state.instance, settings.agent_link, listens=False)
    security = PeerSecurity.from_settings(settings)
    peers = PeerHub(state.instance, settings.gate_peers, security)
    services: tuple[Service, ...] = (
        BootTimer(),
        state,
        KeyCheck(),
        GateShares(),
        SeatAdmission(),
        PassThrough(),
        NoQuarantine(),
        HeldSeats(),
        BackendServers(),
        LinkBudgets(),
        TwoChoicesRouter(),
        CreditDesk(),
        NoQueue(),
        Forwarder(),
        PeerForwarder(),
        Lookup(),
        GateDirectory(),
        TokenExchange(),
        Prober(),
        ConfigReceiver(),
        Departure(),
        Pipeline(),
    )
    for service in services:
        kernel.register(service)
    # Links and listeners start last, when all services have subscribed.
    kernel.register(link)
    kernel.register(SeatReturner())
    kernel.register(peers)
    kernel.register(CallerServer())
    return kernel


def main() -> None:
    """Run `cicadadoor-gate SETTINGS_FILE`."""
    sys.exit(core.run_daemon('cicadadoor-gate', sys.argv[1:], build))
