"""Apply the seats and shares that the agent grants, and report demand to it."""

from cicadadoor.decisions.gate_limits import GateLimits
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.links.daemon_link import DaemonLink
from cicadadoor.links.share_messages import (
    SeatGrant,
    SeatReturn,
    ShareDemand,
    ShareGrant,
)
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('shares')

# Demand is sent once per period, independent of the request rate.
_DEMAND_PERIOD_S = 0.5


class GateShares(Service):
    """Apply grants; they stay in use while the agent is unavailable."""

    name = 'shares'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._link: DaemonLink
        self._limits: GateLimits
        self._generation = -1

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to grants and report demand periodically."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._link = kernel.find('daemon_link')
        self._limits = GateLimits(self._state.instance, self._timer.now_s())
        self._link.on(SeatGrant, self._apply_seats)
        self._link.on(ShareGrant, self._apply_share)
        self._timer.subscribe('share_demand', _DEMAND_PERIOD_S, self.report)

    def limits(self) -> GateLimits:
        """Return the limits, configured for the active generation."""
        view = self._state.view
        if view is not None and view.generation != self._generation:
            self._generation = view.generation
            self._limits.configure(
                view.organisations,
                view.floor_fraction,
                view.seat_count,
                self._timer.now_s(),
            )
        return self._limits

    async def report(self) -> None:
        """Report the callers' demand and the applied grants to the agent."""
        now_s = self._timer.now_s()
        limits = self.limits()
        self._update_seats(now_s)
        # Until the callers' address is bound, an earlier gate process of this host may
        # still run, and its seats must not be taken over.
        if not self._state.is_bound or self._state.view is None:
            return
        await self._link.send(
            ShareDemand(
                callers=str(self._state.settings.callers),
                seat_serial=limits.seats.serial,
                claims=limits.seats.claims,
                organisations=limits.measure(now_s),
            )
        )

    async def release_seats(self) -> None:
        """Stop admitting requests and let the agent release the seats."""
        if not self.limits().seats.claims:
            return
        self._limits.return_seats(self._timer.now_s())
        self._state.seats = ()
        await self._link.send(SeatReturn())

    async def _apply_seats(self, grant: SeatGrant) -> None:
        now_s = self._timer.now_s()
        limits = self.limits()
        if not limits.grant_seats(grant, now_s):
            log.info('seat_grant_ignored', serial=grant.serial)
        if self._update_seats(now_s):
            await self.report()

    def _update_seats(self, now_s: float) -> bool:
        before = self._state.seats
        claims = self._limits.seats.claims if self._limits.has_seat(now_s) else {}
        self._state.seats = tuple(sorted(claims))
        if self._state.seats != before:
            log.info('seats_changed', seats=','.join(map(str, self._state.seats)))
        return self._state.seats != before

    async def _apply_share(self, grant: ShareGrant) -> None:
        if not self.limits().grant_lease(grant, self._timer.now_s()):
            log.debug('share_grant_ignored', organisation=grant.organisation)


class SeatReturner(Service):
    """Return the seats after the callers' server stops and before the link stops."""

    name = 'seat_returner'

    def __init__(self) -> None:
        self._shares: GateShares

    async def start(self, kernel: Kernel) -> None:
        """Look up the shares."""
        self._shares = kernel.find('shares')

    async def stop(self, grace_s: float) -> None:
        """Return the seats once no more requests are admitted."""
        await self._shares.release_seats()
