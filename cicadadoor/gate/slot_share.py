"""Know which part of the domain's slots and connections this gate may use."""

import abc

from cicadadoor.config.model import BackendServer
from cicadadoor.decisions.balancing import seat_share
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service


class SlotShare(Service):
    """Tell the seats of this gate among those of its failure domain."""

    name = 'slot_share'

    @abc.abstractmethod
    def seats(self) -> tuple[int, ...]:
        """Return the seat numbers that this gate holds, from 0."""

    @abc.abstractmethod
    def seat_count(self) -> int:
        """Return the number of seats of the failure domain."""

    def slots(self, server: BackendServer) -> int:
        """Return how many requests this gate may have at a backend server.

        Each request in flight takes one connection, so that both bounds count.
        """
        seats = self.seats()
        count = self.seat_count()
        return min(
            seat_share(server.slots, seats, count, server.name),
            seat_share(server.connections, seats, count, server.name),
        )


class ConfiguredSeat(SlotShare):
    """Hold the one seat that the settings name."""

    def __init__(self) -> None:
        self._state: GateState

    async def start(self, kernel: Kernel) -> None:
        """Find the state."""
        self._state = kernel.find('state')

    def seats(self) -> tuple[int, ...]:
        """Return the seat that the settings name."""
        return (self._state.settings.seat_index,)

    def seat_count(self) -> int:
        """Return the configured seats of this failure domain."""
        view = self._state.view
        name = self._state.settings.failure_domain
        domain = view.failure_domains.get(name) if view else None
        return domain.seats if domain else 0


class GrantedSeats(ConfiguredSeat):
    """Take the seats granted to this gate.

    A suspended gate has no slots: another gate may hold its seat by now, and the
    two together would exceed the slots of a backend server.
    """

    def seats(self) -> tuple[int, ...]:
        """Return the seats granted, none before the first grant."""
        return self._state.seats
