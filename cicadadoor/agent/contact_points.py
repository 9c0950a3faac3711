"""Know addresses at which other agents may be, before any of them is heard."""

import random

import msgspec

from cicadadoor.agent.state import AgentState
from cicadadoor.errors import Failure

_HOST_KIND = 'host'


class HostEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what is used of an entry of the platform's host list."""

    peer_address: str = ''


class ContactPoints:
    """Hold the seeds of the settings and the addresses of the lagging host list."""

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._listed: set[str] = set()
        self._rng = random.Random()

    def sample(self, count: int) -> list[str]:
        """Return some addresses; there may be no agent at them any more."""
        known = {str(address) for address in self._state.settings.seed_peers}
        known.update(self._listed)
        return self._rng.sample(sorted(known), min(count, len(known)))

    async def read_host_list(self) -> bool:
        """Read the platform's host list; tell whether the platform answered."""
        listed = await self._state.store.list(_HOST_KIND)
        if isinstance(listed, Failure):
            return False
        addresses = set()
        for stored in listed.objects:
            try:
                entry = msgspec.json.decode(stored.body, type=HostEntry)
            except msgspec.MsgspecError:
                continue
            addresses.add(entry.peer_address)
        self._listed = addresses - {''}
        return True
