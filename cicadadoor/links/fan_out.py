"""Distribute a message to many hosts through a tree with bounded fan-out."""

from collections.abc import Callable

from cicadadoor.kernel import Kernel, OnFault
from cicadadoor.links.messages import Ack, Message
from cicadadoor.links.peer_hub import PeerHub

FAN_OUT = 4
_PUSH_TIMEOUT_S = 0.8

BuildMessage = Callable[[list[str]], Message]


def split_into_groups(addresses: list[str]) -> list[list[str]]:
    """Divide addresses into at most FAN_OUT groups of nearly equal size."""
    return [group for start in range(FAN_OUT) if (group := addresses[start::FAN_OUT])]


class FanOut:
    """Send to the first host of each group, which forwards to the rest.

    A message names the hosts that it has yet to reach, so the tree does not depend on
    each host's view of the membership.
    """

    def __init__(self, kernel: Kernel, peers: PeerHub) -> None:
        self._kernel = kernel
        self._peers = peers

    def send(self, addresses: list[str], build: BuildMessage) -> None:
        """Send in the background; `build` receives the hosts to forward to."""
        for group in split_into_groups(addresses):
            self._kernel.spawn(
                self._send_group, group, build, on_fault=OnFault.CONTINUE
            )

    async def _send_group(self, group: list[str], build: BuildMessage) -> None:
        for position, address in enumerate(group):
            rest = group[position + 1 :]
            answer = await self._peers.ask(address, build(rest), _PUSH_TIMEOUT_S)
            if isinstance(answer, Ack):
                return
            # The host did not answer; let the next one forward to the rest.
