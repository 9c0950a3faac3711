"""Provide addresses of other agents for the first contact."""

import random

import msgspec

from cicadadoor.agent.state import AgentState
from cicadadoor.errors import Failure
from cicadadoor.json_decoding import decode_json

_HOST_KIND = 'host'


class HostAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the address from an entry of the platform's host list."""

    peer_address: str = ''


class ContactPoints:
    """Hold the seed addresses of the settings and those of the host list."""

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._listed: set[str] = set()
        self._rng = random.Random()

    def sample(self, count: int) -> list[str]:
        """Return up to `count` random addresses; some may be out of date."""
        known = {str(address) for address in self._state.settings.seed_peers}
        known.update(self._listed)
        return self._rng.sample(sorted(known), min(count, len(known)))

    async def read_host_list(self) -> bool:
        """Read the platform's host list; return whether the platform answered."""
        listed = await self._state.store.list(_HOST_KIND)
        if isinstance(listed, Failure):
            return False
        addresses = set()
        for stored in listed.objects:
            try:
                entry = decode_json(stored.body, type=HostAddress)
            except msgspec.MsgspecError:
                continue
            addresses.add(entry.peer_address)
        self._listed = addresses - {''}
        return True
