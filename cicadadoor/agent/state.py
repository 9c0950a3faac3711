"""Hold state shared by the agent's services."""

from cicadadoor.ids import new_instance_id
from cicadadoor.kernel import Service
from cicadadoor.links.messages import GateReport
from cicadadoor.object_store.base import ObjectStore
from cicadadoor.settings import Settings


class AgentState(Service):
    """Hold the settings, the store and the last report of this host's gate."""

    name = 'state'

    def __init__(self, settings: Settings, store: ObjectStore) -> None:
        self.settings = settings
        self.store = store
        self.instance = new_instance_id()
        self.gate_report: GateReport | None = None
        self.gate_report_s = 0.0

    async def stop(self, grace_s: float) -> None:
        """Close the store's connections."""
        await self.store.close()
