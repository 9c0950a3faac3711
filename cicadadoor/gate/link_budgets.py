"""Enforce this gate's byte budgets for links to other regions."""

from cicadadoor.config.model import ServiceClass
from cicadadoor.decisions.link_budget import LinkBudget, gate_share
from cicadadoor.gate.slot_share import SlotShare
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.timer import TimerService

# Allowance for the headers and framing of a message between gates.
_MESSAGE_OVERHEAD_BYTES = 1024


class LinkBudgets(Service):
    """Limit and count the bytes that this gate sends to other regions."""

    name = 'link_budgets'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._share: SlotShare
        self._budgets: dict[str, LinkBudget] = {}
        self.sent_bytes: dict[str, int] = {}

    async def start(self, kernel: Kernel) -> None:
        """Look up the state and the seats."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._share = kernel.find('slot_share')

    def try_send(self, region: str, body_bytes: int, kind: ServiceClass) -> bool:
        """Reserve budget for a request to a region; return whether it is granted."""
        if region == self._state.settings.region:
            return True
        size_bytes = body_bytes + _MESSAGE_OVERHEAD_BYTES
        may_send = self._budget(region).try_take(
            size_bytes,
            self._timer.now_s(),
            is_deferrable=kind is ServiceClass.DEFERRABLE,
        )
        if may_send:
            self._count(region, size_bytes)
        return may_send

    def charge_response(self, region: str, body_bytes: int) -> None:
        """Charge the bytes of a response to a region."""
        if region == self._state.settings.region:
            return
        size_bytes = body_bytes + _MESSAGE_OVERHEAD_BYTES
        self._budget(region).charge(size_bytes, self._timer.now_s())
        self._count(region, size_bytes)

    def is_open(self, region: str, kind: ServiceClass) -> bool:
        """Return whether the budget allows responses to requests from a region."""
        if region == self._state.settings.region:
            return True
        is_deferrable = kind is ServiceClass.DEFERRABLE
        budget = self._budget(region)
        return budget.is_open(self._timer.now_s(), is_deferrable=is_deferrable)

    def _budget(self, region: str) -> LinkBudget:
        now_s = self._timer.now_s()
        bytes_per_s = self._bytes_per_s(region)
        budget = self._budgets.get(region)
        if budget is None:
            budget = LinkBudget(bytes_per_s, now_s)
            self._budgets[region] = budget
        budget.resize(bytes_per_s, now_s)
        return budget

    def _bytes_per_s(self, region: str) -> float:
        view = self._state.view
        own_region = self._state.settings.region
        link = view.links.get((own_region, region)) if view else None
        if view is None or link is None:
            return 0.0
        domains = [
            domain
            for domain in view.failure_domains.values()
            if domain.region == own_region
        ]
        return gate_share(
            link.capacity_bytes_per_s,
            len(domains),
            len(self._share.seats()),
            self._share.seat_count(),
        )

    def _count(self, region: str, size_bytes: int) -> None:
        self.sent_bytes[region] = self.sent_bytes.get(region, 0) + size_bytes
