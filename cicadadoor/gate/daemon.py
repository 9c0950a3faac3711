"""Run the gate of an entry host."""

import sys

from cicadadoor import core
from cicadadoor.gate.admission import FloorAdmission
from cicadadoor.gate.agent_link import AgentLink
from cicadadoor.gate.app import CallerServer
from cicadadoor.gate.at_most_once import PassThrough
from cicadadoor.gate.forwarding import Forwarder
from cicadadoor.gate.keys import KeyCheck
from cicadadoor.gate.lookup import Lookup
from cicadadoor.gate.pipeline import Pipeline
from cicadadoor.gate.routing import TwoChoicesRouter
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel
from cicadadoor.settings import Settings
from cicadadoor.timer import BootTimer


def build(settings: Settings) -> Kernel:
    """Register the gate's services in the order in which they start."""
    kernel = Kernel()
    kernel.register(BootTimer())
    kernel.register(GateState(settings))
    kernel.register(KeyCheck())
    kernel.register(FloorAdmission())
    kernel.register(PassThrough())
    kernel.register(TwoChoicesRouter())
    kernel.register(Forwarder())
    kernel.register(Lookup())
    kernel.register(Pipeline())
    kernel.register(AgentLink())
    kernel.register(CallerServer())
    return kernel


def main() -> None:
    """Run `cicadadoor-gate SETTINGS_FILE`."""
    sys.exit(core.run_daemon('cicadadoor-gate', sys.argv[1:], build))
