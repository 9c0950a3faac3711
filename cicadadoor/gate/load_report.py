"""Measure this gate's load and report it to the agent."""

from cicadadoor.gate.link_budgets import LinkBudgets
from cicadadoor.gate.routing import TwoChoicesRouter
from cicadadoor.gate.servers import BackendServers
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.steering_messages import GateLoad, ServiceLoad
from cicadadoor.timer import TimerService

_SAMPLE_PERIOD_S = 0.1
_REPORT_PERIOD_S = 0.5
_SMOOTHING_FACTOR = 0.1


class _RateMeter:
    """Convert running totals to rates per second between two reports."""

    __slots__ = ('_last_s', '_totals')

    def __init__(self, now_s: float) -> None:
        self._totals: dict[str, int] = {}
        self._last_s = now_s

    def rates_since_last_call(
        self, totals: dict[str, int], now_s: float
    ) -> dict[str, float]:
        """Return the rates since the last call."""
        elapsed_s = max(now_s - self._last_s, _SAMPLE_PERIOD_S)
        rates = {
            name: (total - self._totals.get(name, 0)) / elapsed_s
            for name, total in totals.items()
        }
        self._totals = dict(totals)
        self._last_s = now_s
        return rates


class LoadReport(Service):
    """Report the mean number of used slots, bytes and requests in flight."""

    name = 'load_report'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._servers: BackendServers
        self._router: TwoChoicesRouter
        self._links: LinkBudgets
        self._link: DaemonLink
        self._mean_in_use: dict[str, float] = {}
        self._response_rates: _RateMeter
        self._link_rates: _RateMeter

    async def start(self, kernel: Kernel) -> None:
        """Sample and report periodically."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._servers = kernel.find('servers')
        self._router = kernel.find('router')
        self._links = kernel.find('link_budgets')
        self._link = kernel.find('daemon_link')
        self._response_rates = _RateMeter(self._timer.now_s())
        self._link_rates = _RateMeter(self._timer.now_s())
        self._timer.subscribe('load_sample', _SAMPLE_PERIOD_S, self._sample)
        self._timer.subscribe('load_report', _REPORT_PERIOD_S, self._report)

    def measure(self) -> GateLoad:
        """Return a load report for the current time."""
        now_s = self._timer.now_s()
        settings = self._state.settings
        response_rates = self._response_rates.rates_since_last_call(
            self._router.response_bytes, now_s
        )
        view = self._state.view
        services = {}
        for name, service in view.services.items() if view else ():
            _, slots = self._router.usage(service)
            services[name] = ServiceLoad(
                busy=self._mean_in_use.get(name, 0),
                slots=slots,
                bytes_per_s=response_rates.get(name, 0),
            )
        return GateLoad(
            host=settings.host,
            failure_domain=settings.failure_domain,
            region=settings.region,
            settled_generation=self._state.settled_generation,
            orders_version=self._servers.backend_update.version,
            services=services,
            server_in_flight=self._servers.in_flight(),
            link_bytes_per_s=self._link_rates.rates_since_last_call(
                self._links.sent_bytes, now_s
            ),
        )

    async def _sample(self) -> None:
        view = self._state.view
        for name, service in view.services.items() if view else ():
            in_use = sum(
                self._servers.load(server.name).in_flight
                for server in self._servers.local(service)
            )
            mean = self._mean_in_use.get(name, 0)
            self._mean_in_use[name] = mean + _SMOOTHING_FACTOR * (in_use - mean)

    async def _report(self) -> None:
        if self._state.view is not None:
            await self._link.send(self.measure())
