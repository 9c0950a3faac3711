"""Run the agent of an entry host."""

import sys

from cicadadoor import core
from cicadadoor.agent.gate_link import GateLink
from cicadadoor.agent.operator_api import OperatorApi
from cicadadoor.agent.state import AgentState
from cicadadoor.agent.sync import ConfigSync
from cicadadoor.kernel import Kernel
from cicadadoor.object_store.http import HttpObjectStore
from cicadadoor.settings import Settings
from cicadadoor.timer import BootTimer


def build(settings: Settings) -> Kernel:
    """Register the agent's services in the order in which they start."""
    kernel = Kernel()
    kernel.register(BootTimer())
    kernel.register(AgentState(settings, HttpObjectStore(settings.platform_url)))
    kernel.register(ConfigSync())
    kernel.register(GateLink())
    kernel.register(OperatorApi())
    return kernel


def main() -> None:
    """Run `cicadadoor-agent SETTINGS_FILE`."""
    sys.exit(core.run_daemon('cicadadoor-agent', sys.argv[1:], build))
