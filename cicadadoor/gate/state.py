"""Hold the shared state of the gate: configuration, identity and counters."""

from cicadadoor.config.view import ConfigView
from cicadadoor.decisions import shift_steps
from cicadadoor.decisions.weights import WeightRamp, largest_move, steering_of
from cicadadoor.ids import new_instance_id
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.messages import GateInfo, LoadCounters
from cicadadoor.settings import Settings
from cicadadoor.telemetry import logs, metrics
from cicadadoor.timer import TimerService

log = logs.logger('gate')

_MS_PER_S = 1000
# Callers may use a look-up that they got just before the weights changed.
_WEIGHT_CHANGE_MARGIN_S = 1.0
_WEIGHT_UPDATE_PERIOD_S = 0.5


class GateState(Service):
    """Hold the state that the services of this gate share."""

    name = 'state'

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.instance = new_instance_id()
        self.view: ConfigView | None = None
        self.withdrawn_keys: set[str] = set()
        # No configuration is applied before the first complete set of withdrawn keys
        # has been received.
        self.knows_withdrawals = False
        # Look-ups name other hosts only, but requests are still served.
        self.is_leaving = False
        # New requests are refused.
        self.is_stopping = False
        self.is_bound = False
        self.seats: tuple[int, ...] = ()
        self.in_flight = 0
        self.counters = LoadCounters(by_region={}, by_link={}, by_organisation={})

        self.settled_generation = 0
        ttl_s = settings.answer_ttl_ms / _MS_PER_S
        self._weight_ramp = WeightRamp(ttl_s + _WEIGHT_CHANGE_MARGIN_S)
        self._timer: TimerService

    async def start(self, kernel: Kernel) -> None:
        """Move the weights in use to the configured ones step by step."""
        self._timer = kernel.find('timer')
        self._timer.subscribe('weights', _WEIGHT_UPDATE_PERIOD_S, self._update_weights)

    def activate(self, view: ConfigView) -> bool:
        """Activate a generation; return False if an active one is not older."""
        if self.view is not None and view.generation <= self.view.generation:
            return False
        self._warn_about_weight_jump(view)
        self._weight_ramp.set_target(view.steering, view.weights.max_step)
        self.view = view
        self._apply_weights()
        metrics.GENERATION.set(view.generation)
        log.info('config_activated', generation=view.generation, digest=view.digest)
        return True

    @property
    def takes_callers(self) -> bool:
        """Return whether look-ups may name this gate."""
        return self.view is not None and bool(self.seats) and not self.is_leaving

    def info(self) -> GateInfo:
        """Return the addresses and location of this gate."""
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

    async def _update_weights(self) -> None:
        if self.view is not None:
            self._apply_weights()

    def _apply_weights(self) -> None:
        self.view.steering = self._weight_ramp.advance(self._timer.now_s())
        if self._weight_ramp.is_settled:
            self.settled_generation = self.view.generation

    def _warn_about_weight_jump(self, view: ConfigView) -> None:
        if self.view is None:
            return
        current = self.view.weights
        share, rule_key = largest_move(steering_of(current), view.steering)
        steps = shift_steps.steps_between(current, view.weights)
        failure = shift_steps.check_move(current, view.weights, max(1, steps))
        if failure is None:
            return
        # Operators may submit any weights after a review; the cap limits shifts only.
        # In both cases callers move no faster than the cap allows.
        event = 'shift_over_cap' if steps else 'weights_change_in_steps'
        log.warning(
            event,
            generation=view.generation,
            share=share,
            rule=':'.join(rule_key or ()),
            detail=failure.reason,
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
