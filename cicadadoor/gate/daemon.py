"""Run the gate process of an entry host."""

import sys

from cicadadoor import core
from cicadadoor.gate.admission import SeatAdmission
from cicadadoor.gate.app import CallerServer
from cicadadoor.gate.config_receiver import ConfigReceiver
from cicadadoor.gate.credits import CreditExchange
from cicadadoor.gate.departure import Departure
from cicadadoor.gate.directory import GateDirectory
from cicadadoor.gate.keys import KeyAuthenticator
from cicadadoor.gate.link_budgets import LinkBudgets
from cicadadoor.gate.load_report import LoadReport
from cicadadoor.gate.lookup import Lookup
from cicadadoor.gate.probing import Prober
from cicadadoor.gate.queueing import FairRequestQueue
from cicadadoor.gate.request_services import request_services
from cicadadoor.gate.routing import TwoChoicesRouter
from cicadadoor.gate.servers import BackendServers
from cicadadoor.gate.shares import GateShares, SeatReturner
from cicadadoor.gate.slot_share import GrantedSeats
from cicadadoor.gate.state import GateState
from cicadadoor.gate.token_exchange import TokenExchange
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.links.transport import PeerSecurity
from cicadadoor.settings import Settings
from cicadadoor.timer import BootTimer


def build(settings: Settings) -> Kernel:
    """Register the gate's services in start order."""
    kernel = Kernel()
    state = GateState(settings)
    link = DaemonLink(state.instance, settings.agent_link, listens=False)
    security = PeerSecurity.from_settings(settings)
    peers = PeerHub(state.instance, settings.gate_peers, security)
    services: tuple[Service, ...] = (
        BootTimer(),
        state,
        KeyAuthenticator(),
        GateShares(),
        SeatAdmission(),
        GrantedSeats(),
        BackendServers(),
        LinkBudgets(),
        TwoChoicesRouter(),
        CreditExchange(),
        FairRequestQueue(),
        Lookup(),
        GateDirectory(),
        TokenExchange(),
        Prober(),
        LoadReport(),
        ConfigReceiver(),
        Departure(),
        *request_services(),
    )
    for service in services:
        kernel.register(service)
    # Links and listeners start last, after all services have subscribed.
    kernel.register(link)
    kernel.register(SeatReturner())
    kernel.register(peers)
    kernel.register(CallerServer())
    return kernel


def main() -> None:
    """Run `cicadadoor-gate SETTINGS_FILE`."""
    sys.exit(core.run_daemon('cicadadoor-gate', sys.argv[1:], build))
