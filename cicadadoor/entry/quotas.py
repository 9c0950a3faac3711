"""Enforce the rate limit of each organisation across all hosts."""

import random

from cicadadoor.decisions.buckets import TokenBucket
from cicadadoor.decisions.domain_summaries import uses_summaries
from cicadadoor.decisions.host_shares import (
    Demand,
    ProbabilisticLimiter,
    SlidingMinimum,
    initial_tokens,
    start_allowance,
    wanted_share,
)
from cicadadoor.entry.heartbeats import HostHeartbeat, name_hash
from cicadadoor.entry.membership import HeartbeatPart, Membership
from cicadadoor.entry.model import OrganisationPolicy
from cicadadoor.entry.policy import ActivePolicy
from cicadadoor.entry.state import EntryState
from cicadadoor.kernel import Kernel
from cicadadoor.timer import TimerService

# Time constant of the demand average: evens out single requests, follows a burst.
_DEMAND_SMOOTHING_S = 1.5
# The same for organisations with a small rate: follows a surge within one or two
# heartbeats.
_LIMITER_SMOOTHING_S = 0.4
# Limits below this rate per host are not split into shares but enforced by admitting
# the same fraction of requests on all hosts.
_MIN_SHARE_PER_S = 0.7
# Retry-After for such limits; the refused fraction may have fallen by then.
_LIMITER_WAIT_S = 1.0
# A share grows only after this delay, by which other hosts have received the demand
# that shrinks theirs, or count as silent.
_GROWTH_DELAY_S = 1.0
# The same where failure domains exchange summaries: a demand is 0.6 s old when it gets
# into one, and other regions get one every 1.5 s.
_SUMMARY_GROWTH_DELAY_S = 2.25
# For so long after its start, a host expects as much demand as the others report.
_EXPECTATION_S = 1.0
_MIN_WAIT_S = 0.1
_MAX_WAIT_S = 5.0
_MIN_DEMAND_PER_S = 0.05
# Shares follow demand with a delay, so that requests within the limit may be refused.
# These fractions of the tolerated excess are used to refuse fewer of them.
_OVERRUN_FRACTION = 0.8
_SLACK_FRACTION = 0.6
# The limit of an organisation applies to each window of this length.
_LIMIT_WINDOW_S = 5.0


class _Account:
    __slots__ = (
        'bucket',
        'demand',
        'share_minimum',
        'organisation',
        'limiter',
        'name_hash',
    )

    def __init__(
        self, organisation: OrganisationPolicy, now_s: float, tokens: float
    ) -> None:
        self.bucket = TokenBucket(0, 0, now_s)
        self.organisation = organisation
        self.name_hash = name_hash(organisation.name)
        self.demand = Demand(now_s)
        self.share_minimum = SlidingMinimum(_GROWTH_DELAY_S)
        self.limiter = ProbabilisticLimiter(tokens, now_s)


class Quotas(HeartbeatPart):
    """Admit requests within this host's share of each organisation's rate limit."""

    name = 'quotas'

    def __init__(self) -> None:
        self._state: EntryState
        self._timer: TimerService
        self._membership: Membership
        self._policy: ActivePolicy
        self._started_s = 0.0
        self._accounts: dict[str, _Account] = {}
        self._latest_heartbeats: list[HostHeartbeat] = []
        self._is_isolated = False
        # Hosts that share the limits and have not been heard yet, or are not listed, so
        # that their demand is not recorded.
        self._unknown_count = 0

    async def start(self, kernel: Kernel) -> None:
        """Register for heartbeats."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._membership = kernel.find('membership')
        self._policy = kernel.find('policy')
        self._membership.add_part(self)
        self._started_s = self._timer.now_s()

    def take(self, organisation: OrganisationPolicy) -> float | None:
        """Take a token, or return the seconds until one may be available."""
        if organisation.rate_per_s <= 0:
            return None
        now_s = self._timer.now_s()
        account = self._accounts.get(organisation.name)
        if account is None:
            account = self._open_account(organisation, now_s)
        account.demand.add()
        if account.organisation is not organisation:
            account.organisation = organisation
            self._update_share(account, now_s)
        if self._has_small_rate(organisation):
            is_admitted = account.limiter.admits(random.random())
            return None if is_admitted else _LIMITER_WAIT_S
        if account.bucket.take(now_s):
            return None
        missing = 1 - account.bucket.tokens
        wait_s = missing / max(account.bucket.rate_per_s, _MIN_DEMAND_PER_S)
        return min(_MAX_WAIT_S, max(_MIN_WAIT_S, wait_s))

    def _open_account(self, organisation: OrganisationPolicy, now_s: float) -> _Account:
        uptime_s = now_s - self._started_s
        spare = self._spare_tolerance(organisation)
        # The limiter's tokens are those of all hosts together.
        tokens = initial_tokens(
            organisation.burst,
            organisation.rate_per_s,
            uptime_s,
            start_allowance(spare, 1),
        )
        account = _Account(organisation, now_s, tokens)
        self._accounts[organisation.name] = account
        self._update_share(account, now_s)
        bucket = account.bucket
        allowance = start_allowance(spare, self._membership.host_count)
        bucket.tokens = initial_tokens(
            bucket.burst, bucket.rate_per_s, uptime_s, allowance
        )
        return account

    def add_fields(self, fields: dict[str, object]) -> None:
        """Add this host's demand to the heartbeat."""
        fields['demand'] = {
            account.name_hash: round(account.demand.rate_per_s, 2)
            for account in self._accounts.values()
            if account.demand.rate_per_s > _MIN_DEMAND_PER_S
        }

    def on_heartbeats(self, heartbeats: list[HostHeartbeat]) -> None:
        """Update this host's shares from the demand of all hosts."""
        now_s = self._timer.now_s()
        self._latest_heartbeats = heartbeats
        self._is_isolated = self._membership.is_isolated
        known_count = sum(peer.was_heard for peer in self._membership.peers.all())
        self._unknown_count = self._membership.host_count - 1 - known_count
        if now_s - self._started_s <= _EXPECTATION_S:
            self._expect_demand(now_s)
        for account in self._accounts.values():
            if not self._has_small_rate(account.organisation):
                account.demand.update(now_s, _DEMAND_SMOOTHING_S)
                self._update_share(account, now_s)

    def _expect_demand(self, now_s: float) -> None:
        """Assume the average demand of the other hosts before any is measured.

        Callers come as soon as they learn of a started host, and its share grows only
        after a delay. Until then, it would refuse most of their requests.
        """
        policy = self._policy.current
        if policy is None:
            return
        other_hosts = max(1, self._membership.host_count - 1)
        for organisation in policy.organisations.values():
            total_per_s = self._reported_demand(organisation)
            if total_per_s <= 0 or self._has_small_rate(organisation):
                continue
            account = self._accounts.get(organisation.name)
            if account is None:
                account = self._open_account(organisation, now_s)
            account.demand.expect(total_per_s / other_hosts)

    def _reported_demand(self, organisation: OrganisationPolicy) -> float:
        name = name_hash(organisation.name)
        return sum(
            heartbeat.demand.get(name, 0.0) for heartbeat in self._latest_heartbeats
        )

    def _has_small_rate(self, organisation: OrganisationPolicy) -> bool:
        share_per_s = organisation.rate_per_s / self._membership.host_count
        return share_per_s < _MIN_SHARE_PER_S

    def on_tick(self, heartbeats: list[HostHeartbeat]) -> None:
        """Update the admitted fraction of organisations with a small rate."""
        peers = self._membership.peers
        near_heartbeats = [
            heartbeat for heartbeat in heartbeats if peers.is_near_host(heartbeat.host)
        ]
        far_heartbeats = [
            heartbeat
            for heartbeat in heartbeats
            if not peers.is_near_host(heartbeat.host)
        ]
        now_s = self._timer.now_s()
        heard = peers.heard(now_s)
        heard_count = 1 + len(heard)
        near_count = 1 + sum(1 for peer in heard if peers.is_near(peer))
        for account in self._accounts.values():
            if not self._has_small_rate(account.organisation):
                continue
            account.demand.update(now_s, _LIMITER_SMOOTHING_S)
            name = account.name_hash
            near_per_s = sum(
                heartbeat.demand.get(name, 0) for heartbeat in near_heartbeats
            )
            self._update_limiter(
                account,
                heard_fraction=heard_count / self._membership.host_count,
                near_per_s=near_per_s + account.demand.rate_per_s,
                far_per_s=sum(
                    heartbeat.demand.get(name, 0) for heartbeat in far_heartbeats
                ),
                near_fraction=near_count / heard_count,
            )

    def _update_limiter(
        self, account: _Account, heard_fraction: float, **offered: float
    ) -> None:
        # Hosts whose heartbeats are missing may still admit their share.
        rate_per_s, burst, slack = self._limits_with_tolerance(account.organisation)
        account.limiter.update(
            self._timer.now_s(),
            rate_per_s=rate_per_s * heard_fraction,
            burst=(burst + slack) * heard_fraction,
            **offered,
        )

    def _limits_with_tolerance(
        self, organisation: OrganisationPolicy
    ) -> tuple[float, float, float]:
        settings = self._state.settings
        overrun = 1 + _OVERRUN_FRACTION * settings.quota_overrun
        slack = _SLACK_FRACTION * settings.quota_slack
        return organisation.rate_per_s * overrun, organisation.burst * overrun, slack

    def _spare_tolerance(self, organisation: OrganisationPolicy) -> float:
        settings = self._state.settings
        full_window = organisation.rate_per_s * _LIMIT_WINDOW_S + organisation.burst
        overrun = (1 - _OVERRUN_FRACTION) * settings.quota_overrun * full_window
        return overrun + (1 - _SLACK_FRACTION) * settings.quota_slack

    def _update_share(self, account: _Account, now_s: float) -> None:
        organisation = account.organisation
        host_count = self._membership.host_count
        others = {
            heartbeat.host: heartbeat.demand.get(account.name_hash, 0.0)
            for heartbeat in self._latest_heartbeats
        }
        wanted = wanted_share(
            account.demand.rate_per_s,
            others,
            host_count,
            self._unknown_count,
        )
        if self._is_isolated:
            wanted = min(wanted, 1 / host_count)
        account.share_minimum.delay_s = (
            _SUMMARY_GROWTH_DELAY_S if uses_summaries(host_count) else _GROWTH_DELAY_S
        )
        share = account.share_minimum.update(wanted, now_s)
        bucket = account.bucket
        bucket.take(now_s, 0)
        rate_per_s, burst, slack = self._limits_with_tolerance(organisation)
        bucket.rate_per_s = share * rate_per_s
        # A bucket smaller than one request would never admit any.
        bucket.burst = max(1.0, share * burst + slack / host_count)
        bucket.tokens = min(bucket.tokens, bucket.burst)
