"""Compute this gate's share of the slots and connections of its failure domain.

Each seat of a failure domain stands for an equal part of them; a gate may use the parts
of the seats that it holds.
"""

import abc

from cicadadoor.config.model import BackendServer
from cicadadoor.decisions.balancing import seat_share
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service


class SlotShare(Service):
    """Provide the seats of this gate and the seat count of its failure domain."""

    name = 'slot_share'

    @abc.abstractmethod
    def seats(self) -> tuple[int, ...]:
        """Return the seat numbers that this gate holds, from 0."""

    @abc.abstractmethod
    def seat_count(self) -> int:
        """Return the number of seats of the failure domain."""

    def slots(self, server: BackendServer) -> int:
        """Return how many requests this gate may have in flight at a backend server.

        Each request in flight uses one connection, so both limits apply.
        """
        seats = self.seats()
        count = self.seat_count()
        return min(
            seat_share(server.slots, seats, count, server.name),
            seat_share(server.connections, seats, count, server.name),
        )


class ConfiguredSeat(SlotShare):
    """Use the seat configured in the settings."""

    def __init__(self) -> None:
        self._state: GateState

    async def start(self, kernel: Kernel) -> None:
        """Look up the state."""
        self._state = kernel.find('state')

    def seats(self) -> tuple[int, ...]:
        """Return the seat configured in the settings."""
        return (self._state.settings.seat_index,)

    def seat_count(self) -> int:
        """Return the configured number of seats of this failure domain."""
        view = self._state.view
        name = self._state.settings.failure_domain
        domain = view.failure_domains.get(name) if view else None
        return domain.seats if domain else 0


class GrantedSeats(ConfiguredSeat):
    """Use the seats granted to this gate.

    A gate without a current seat has no slots: after a suspension another gate may
    hold the seat, and both together would exceed the slots of a backend server.
    """

    def seats(self) -> tuple[int, ...]:
        """Return the granted seats; empty before the first grant."""
        return self._state.seats
