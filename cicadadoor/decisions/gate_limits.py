"""Enforce the rate limits of organisations at one gate."""

import math
import sys
from collections.abc import Iterator
from enum import Enum, unique

from cicadadoor.config.model import Organisation
from cicadadoor.decisions import shares
from cicadadoor.decisions.buckets import ShareBucket
from cicadadoor.links.share_messages import (
    OrganisationDemand,
    SeatGrant,
    ShareGrant,
)

# A lent share returns after this time; the margin covers the difference of the clock
# rates of two hosts.
LOAN_S = 5.0
LOAN_MARGIN_S = 1.0
# Weight of the last measuring period in the average demand.
_DEMAND_WEIGHT = 0.5
_IDLE_RATE_PER_S = 0.01
_MIN_PERIOD_S = 0.001


@unique
class AdmissionResult(Enum):
    """List the outcomes of an admission check."""

    ADMITTED = 'admitted'
    NO_SEAT = 'no_seat'
    OVER_RATE = 'over_rate'


class Account:
    """Hold the token bucket, the demand and the last lease of one organisation."""

    __slots__ = ('bucket', 'lease', 'requests', 'wanted_per_s')

    def __init__(self, bucket: ShareBucket) -> None:
        self.bucket = bucket
        self.lease: ShareGrant | None = None
        self.requests = 0
        self.wanted_per_s = 0.0

    def is_active(self) -> bool:
        """Return whether the organisation has sent requests recently."""
        return self.requests > 0 or self.wanted_per_s >= _IDLE_RATE_PER_S

    def measure(self, elapsed_s: float) -> None:
        """End a measuring period and update the average demand."""
        measured = self.requests / elapsed_s
        self.requests = 0
        self.wanted_per_s += _DEMAND_WEIGHT * (measured - self.wanted_per_s)


class SeatClaims:
    """Hold the seats that this gate has claimed, and when each floor is usable."""

    __slots__ = ('claims', 'keeps_until_s', 'serial', 'usable_s')

    def __init__(self) -> None:
        self.claims: dict[int, str] = {}
        self.keeps_until_s = 0.0
        self.serial = 0
        self.usable_s: dict[str, float] = {}

    def accepts(self, grant: SeatGrant) -> bool:
        """Return whether a grant is no older than the last one."""
        return grant.serial >= self.serial

    def renew(self, grant: SeatGrant) -> bool:
        """Renew the claims if the grant names the same ones; return whether it does."""
        if grant.claims != self.claims:
            return False
        # Both times hold for the same claims, so the later one counts.
        self.keeps_until_s = max(self.keeps_until_s, grant.keeps_until_s)
        self.serial = grant.serial
        return True

    def keep_only(self, claims: set[str]) -> None:
        """Remove all claims except these."""
        self.claims = {
            seat: claim for seat, claim in self.claims.items() if claim in claims
        }
        self.usable_s = {
            claim: usable_s
            for claim, usable_s in self.usable_s.items()
            if claim in claims
        }

    def add(self, grant: SeatGrant, now_s: float) -> None:
        """Add the claims of a grant to those that were kept."""
        self.claims = grant.claims
        self.keeps_until_s = grant.keeps_until_s
        self.serial = grant.serial
        for claim in grant.claims.values():
            self.usable_s.setdefault(claim, now_s + LOAN_S + LOAN_MARGIN_S)

    def usable(self, now_s: float) -> int:
        """Return the number of claims for which all loans of the last owner ended."""
        return sum(1 for usable_s in self.usable_s.values() if usable_s <= now_s)


class GateLimits:
    """Hold the seats of a gate and a token bucket for each organisation."""

    __slots__ = (
        '_accounts',
        '_floor_fraction',
        '_instance',
        '_measured_s',
        '_organisations',
        '_seat_count',
        'seats',
    )

    def __init__(self, instance: str, now_s: float) -> None:
        self._instance = instance
        self._accounts: dict[str, Account] = {}
        self._organisations: dict[str, Organisation] = {}
        self._floor_fraction = 0.0
        self._seat_count = 1
        self._measured_s = now_s
        self.seats = SeatClaims()

    def configure(
        self,
        organisations: dict[str, Organisation],
        floor_fraction: float,
        seat_count: int,
        now_s: float,
    ) -> None:
        """Apply the limits of a new generation of the configuration."""
        self._organisations = organisations
        self._floor_fraction = floor_fraction
        self._seat_count = max(1, seat_count)
        for name in set(self._accounts) - set(organisations):
            self._accounts.pop(name)
        for name, organisation in organisations.items():
            rate_per_s, burst = organisation.rate_per_s, organisation.burst
            account = self._accounts.get(name)
            if account is None:
                bucket = ShareBucket(rate_per_s, burst, now_s)
                self._accounts[name] = Account(bucket)
            else:
                account.bucket.set_limits(rate_per_s, burst, now_s)
        self._set_floors(now_s)

    def grant_seats(self, grant: SeatGrant, now_s: float) -> bool:
        """Apply a grant to this instance unless it is older than the last one."""
        self._check_seats(now_s)
        if grant.gate_instance != self._instance or not self.seats.accepts(grant):
            return False
        if not self.seats.renew(grant):
            # The floors of ended claims are removed first, so that a new claim brings
            # no tokens.
            self.seats.keep_only(set(grant.claims.values()))
            self._set_floors(now_s)
            self.seats.add(grant, now_s)
            self._set_floors(now_s)
        self._check_seats(now_s)
        return True

    def return_seats(self, now_s: float) -> None:
        """Stop admitting requests, even if a grant is still in transit."""
        self.seats.keep_only(set())
        self.seats.serial = sys.maxsize
        self._set_floors(now_s)

    def grant_lease(self, grant: ShareGrant, now_s: float) -> bool:
        """Apply a leased fraction unless the grant is older than the last one."""
        account = self.account(grant.organisation, now_s)
        if account is None or grant.gate_instance != self._instance:
            return False
        if account.lease is not None and grant.serial < account.lease.serial:
            return False
        account.lease = grant
        account.bucket.set_lease(grant.fraction, grant.deadline_s, now_s)
        return True

    def admit(self, name: str, now_s: float) -> AdmissionResult:
        """Take a token for one request, if this gate holds a seat."""
        account = self.account(name, now_s)
        if not self.seats.claims:
            return AdmissionResult.NO_SEAT
        if account is None:
            return AdmissionResult.OVER_RATE
        account.requests += 1
        if account.bucket.take(now_s):
            return AdmissionResult.ADMITTED
        return AdmissionResult.OVER_RATE

    def wait_s(self, name: str, now_s: float) -> float:
        """Return the seconds until the organisation's next token, or infinity."""
        account = self.account(name, now_s)
        return math.inf if account is None else account.bucket.wait_s(now_s)

    def has_seat(self, now_s: float) -> bool:
        """Return whether this gate holds a seat and may admit requests."""
        self._check_seats(now_s)
        return bool(self.seats.claims)

    def measure(self, now_s: float) -> tuple[OrganisationDemand, ...]:
        """End a measuring period and return the demand of active organisations."""
        elapsed_s = max(now_s - self._measured_s, _MIN_PERIOD_S)
        self._measured_s = now_s
        for account in self._accounts.values():
            account.measure(elapsed_s)
        return tuple(
            _demand(name, account)
            for name, account in self._accounts.items()
            if account.is_active() or account.lease is not None
        )

    def account(self, name: str, now_s: float) -> Account | None:
        """Return an organisation's account with its floor updated."""
        self._check_seats(now_s)
        account = self._accounts.get(name)
        if account is not None:
            floor = self._floor(name, now_s)
            if account.bucket.floor != floor:
                account.bucket.set_floor(floor, now_s)
        return account

    def active(self, now_s: float) -> Iterator[tuple[str, Account]]:
        """Yield the accounts of organisations that sent requests recently."""
        for name, account in self._accounts.items():
            if account.is_active():
                self.account(name, now_s)
                yield name, account

    def lends_floors(self, name: str) -> bool:
        """Return whether floors are so small that gates lend them to each other."""
        organisation = self._organisations[name]
        return shares.has_fractional_floor(
            organisation.burst, self._floor_fraction, self._seat_count
        )

    def _check_seats(self, now_s: float) -> None:
        if self.seats.claims and self.seats.keeps_until_s <= now_s:
            self.seats.keep_only(set())
            # A gate process that was suspended gets no tokens for the time after the
            # seat expired.
            self._set_floors(self.seats.keeps_until_s)

    def _set_floors(self, now_s: float) -> None:
        for name, account in self._accounts.items():
            account.bucket.set_floor(self._floor(name, now_s), now_s)

    def _floor(self, name: str, now_s: float) -> float:
        organisation = self._organisations[name]
        floor = shares.floor_part(organisation.burst, self._floor_fraction)
        count = len(self.seats.claims)
        if self.lends_floors(name):
            # The seat's last owner may have lent its floor just before losing the seat.
            count = self.seats.usable(now_s)
        return floor * count / self._seat_count


def _demand(name: str, account: Account) -> OrganisationDemand:
    lease = account.lease
    return OrganisationDemand(
        organisation=name,
        wanted_per_s=account.wanted_per_s if account.is_active() else 0,
        fraction=lease.fraction if lease else 0,
        serial=lease.serial if lease else 0,
    )
