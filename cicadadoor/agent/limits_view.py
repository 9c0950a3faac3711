"""Provide the limits and seats of the newest generation."""

from cicadadoor.agent.sync import ConfigSync
from cicadadoor.config import chunks, model
from cicadadoor.errors import Failure
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.config_messages import ConfigDelta
from cicadadoor.links.config_parts import Generation
from cicadadoor.telemetry import logs

log = logs.logger('limits')


class LimitsView(Service):
    """Hold the organisations' limits and the failure domains' seats."""

    name = 'limits_view'

    def __init__(self) -> None:
        self.organisations: dict[str, model.Organisation] = {}
        self.floor_fraction = 0.0
        self.domain_seats: dict[str, int] = {}
        self.seat_count = 0

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to new generations."""
        sync: ConfigSync = kernel.find('sync')
        sync.subscribe(self.apply)

    async def apply(self, generation: Generation, _: ConfigDelta | None) -> None:
        """Decode the sections that hold limits and seats."""
        limits = chunks.decode('organisations', generation.contents['organisations'])
        topology = chunks.decode('topology', generation.contents['topology'])
        for part in (limits, topology):
            if isinstance(part, Failure):
                log.warning('limits_malformed', reason=part.reason)
                return
        self.use(limits, topology.failure_domains)

    def use(
        self,
        limits: model.OrganisationLimits,
        domains: tuple[model.FailureDomain, ...],
    ) -> None:
        """Replace the limits and seats."""
        self.organisations = {
            organisation.name: organisation for organisation in limits.organisations
        }
        self.floor_fraction = limits.floor_fraction
        self.domain_seats = {domain.name: domain.seats for domain in domains}
        self.seat_count = sum(self.domain_seats.values())
