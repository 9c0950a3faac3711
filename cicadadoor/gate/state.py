"""Hold the configuration and the identity that the gate's services share."""

from cicadadoor.config.view import ConfigView
from cicadadoor.ids import new_instance_id
from cicadadoor.kernel import Service
from cicadadoor.links.messages import GateInfo, LoadCounters
from cicadadoor.settings import Settings
from cicadadoor.telemetry import logs, metrics

log = logs.logger('gate')


class GateState(Service):
    """Hold what is in force at this gate."""

    name = 'state'

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.instance = new_instance_id()
        self.view: ConfigView | None = None
        self.withdrawn_keys: set[str] = set()
        # The first whole set of withdrawn keys has to come before a configuration.
        self.knows_withdrawals = False
        # Callers are told of other hosts, but requests are still served.
        self.is_leaving = False
        # New requests are refused.
        self.is_stopping = False
        self.is_bound = False
        self.seats: tuple[int, ...] = ()
        self.in_flight = 0
        self.counters = LoadCounters(by_region={}, by_link={}, by_organisation={})

    def adopt(self, view: ConfigView) -> bool:
        """Put a generation in force, unless a newer one is; tell whether it was."""
        if self.view is not None and view.generation <= self.view.generation:
            return False
        self.view = view
        metrics.GENERATION.set(view.generation)
        log.info('config_in_force', generation=view.generation, digest=view.digest)
        return True

    @property
    def takes_callers(self) -> bool:
        """Tell whether callers may be sent to this gate."""
        return self.view is not None and bool(self.seats) and not self.is_leaving

    def info(self) -> GateInfo:
        """Return where this gate takes callers and other gates."""
        settings = self.settings
        return GateInfo(
            host=settings.host,
            instance=self.instance,
            callers_url=settings.callers_url,
            peer_address=str(settings.gate_peers),
            failure_domain=settings.failure_domain,
            region=settings.region,
            takes_callers=self.takes_callers,
        )

    def count_steered(self, organisation: str, region: str) -> None:
        """Count one request that was sent to a backend server."""
        _increment(self.counters.by_organisation, organisation)
        _increment(self.counters.by_region, region)
        if region != self.settings.region:
            link = f'{self.settings.region}:{region}'
            _increment(self.counters.by_link, link)


def _increment(counters: dict[str, int], name: str) -> None:
    counters[name] = counters.get(name, 0) + 1
