"""Run the agent daemon of an entry host."""

import sys

from cicadadoor import core
from cicadadoor.agent.claims import IdempotencyClaims
from cicadadoor.agent.config_sender import ConfigSender
from cicadadoor.agent.gate_watch import GateWatch
from cicadadoor.agent.isolation import Isolation
from cicadadoor.agent.limits_view import LimitsView
from cicadadoor.agent.loads import PeerLoads
from cicadadoor.agent.membership import Membership
from cicadadoor.agent.operator_api import OperatorApi
from cicadadoor.agent.operator_orders import OperatorOrders
from cicadadoor.agent.peer_updates import PeerUpdates
from cicadadoor.agent.planner import Planner
from cicadadoor.agent.quarantine_relay import QuarantineRelay
from cicadadoor.agent.relay import Relay
from cicadadoor.agent.seat_reclaim import SeatReclaimer
from cicadadoor.agent.seat_witness import SeatWitness
from cicadadoor.agent.seats import SeatManager
from cicadadoor.agent.shares import FloatingShares
from cicadadoor.agent.state import AgentState
from cicadadoor.agent.status import StatusCollector
from cicadadoor.agent.sync import ConfigSync
from cicadadoor.agent.withdrawal_records import WithdrawalRecords
from cicadadoor.agent.withdrawals import Withdrawals
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.peer_hub import PeerHub
from cicadadoor.links.transport import PeerSecurity
from cicadadoor.object_store.http import HttpObjectStore
from cicadadoor.settings import Settings
from cicadadoor.timer import BootTimer


def build(settings: Settings) -> Kernel:
    """Register the agent's services in the order in which they start."""
    kernel = Kernel()
    state = AgentState(settings, HttpObjectStore(settings.platform_url))
    link = DaemonLink(state.instance, settings.agent_link, listens=True)
    security = PeerSecurity.from_settings(settings)
    peers = PeerHub(state.instance, settings.agent_peers, security)
    services: tuple[Service, ...] = (
        BootTimer(),
        state,
        Withdrawals(),
        ConfigSync(),
        ConfigSender(),
        StatusCollector(),
        Membership(),
        IdempotencyClaims(),
        QuarantineRelay(),
        OperatorOrders(),
        PeerLoads(),
        Planner(),
        LimitsView(),
        SeatWitness(),
        SeatManager(),
        SeatReclaimer(),
        FloatingShares(),
        PeerUpdates(),
        WithdrawalRecords(),
        Relay(),
        Isolation(),
        GateWatch(),
    )
    for service in services:
        kernel.register(service)
    # Links and listeners start last, when all services have subscribed.
    kernel.register(link)
    kernel.register(peers)
    kernel.register(OperatorApi())
    return kernel


def main() -> None:
    """Run `cicadadoor-agent SETTINGS_FILE`."""
    sys.exit(core.run_daemon('cicadadoor-agent', sys.argv[1:], build))
