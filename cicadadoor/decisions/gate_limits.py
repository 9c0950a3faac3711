"""Decide at one gate whether an organisation may send one more request."""

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

# A lent share comes back after this time; the margin covers the clock rates of two
# hosts.
LOAN_S = 5.0
LOAN_MARGIN_S = 1.0
# Weight of the last period in the demand.
_DEMAND_WEIGHT = 0.5
_IDLE_RATE_PER_S = 0.01
_MIN_PERIOD_S = 0.001


@unique
class AdmissionResult(Enum):
    """Name the outcome of one admission."""

    ADMITTED = 'admitted'
    NO_SEAT = 'no_seat'
    OVER_RATE = 'over_rate'


class Account:
    """Hold the bucket, the demand and the last lease of one organisation."""

    __slots__ = ('bucket', 'lease', 'requests', 'wanted_per_s')

    def __init__(self, bucket: ShareBucket) -> None:
        self.bucket = bucket
        self.lease: ShareGrant | None = None
        self.requests = 0
        self.wanted_per_s = 0.0

    def is_active(self) -> bool:
        """Tell whether callers have wanted anything lately."""
        return self.requests > 0 or self.wanted_per_s >= _IDLE_RATE_PER_S

    def measure(self, elapsed_s: float) -> None:
        """End a measuring period."""
        measured = self.requests / elapsed_s
        self.requests = 0
        self.wanted_per_s += _DEMAND_WEIGHT * (measured - self.wanted_per_s)


class SeatClaims:
    """Hold the claims of this gate, and from when each floor may be used whole."""

    __slots__ = ('claims', 'keeps_until_s', 'serial', 'usable_s')

    def __init__(self) -> None:
        self.claims: dict[int, str] = {}
        self.keeps_until_s = 0.0
        self.serial = 0
        self.usable_s: dict[str, float] = {}

    def accepts(self, grant: SeatGrant) -> bool:
        """Tell whether a grant is no older than the last one."""
        return grant.serial >= self.serial

    def renew(self, grant: SeatGrant) -> bool:
        """Take a grant of the same claims; tell whether it was one."""
        if grant.claims != self.claims:
            return False
        # Both bounds were proved for the same claims.
        self.keeps_until_s = max(self.keeps_until_s, grant.keeps_until_s)
        self.serial = grant.serial
        return True

    def keep_only(self, claims: set[str]) -> None:
        """End all other claims."""
        self.claims = {
            seat: claim for seat, claim in self.claims.items() if claim in claims
        }
        self.usable_s = {
            claim: usable_s
            for claim, usable_s in self.usable_s.items()
            if claim in claims
        }

    def add(self, grant: SeatGrant, now_s: float) -> None:
        """Take new claims beside those kept."""
        self.claims = grant.claims
        self.keeps_until_s = grant.keeps_until_s
        self.serial = grant.serial
        for claim in grant.claims.values():
            self.usable_s.setdefault(claim, now_s + LOAN_S + LOAN_MARGIN_S)

    def usable(self, now_s: float) -> int:
        """Return the number of claims whose last owner's loans have come back."""
        return sum(1 for usable_s in self.usable_s.values() if usable_s <= now_s)


class GateLimits:
    """Hold the seats of a gate, and a bucket for each organisation."""

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
        """Use the limits of another generation from now on."""
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
            # The floors of ended claims go first: a new claim brings no tokens.
            self.seats.keep_only(set(grant.claims.values()))
            self._set_floors(now_s)
            self.seats.add(grant, now_s)
            self._set_floors(now_s)
        self._check_seats(now_s)
        return True

    def return_seats(self, now_s: float) -> None:
        """Admit nothing any more, whatever grant is still on its way."""
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
        """Take one token, if this gate holds a seat."""
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
        """Return the time until the organisation's next token, or infinity."""
        account = self.account(name, now_s)
        return math.inf if account is None else account.bucket.wait_s(now_s)

    def has_seat(self, now_s: float) -> bool:
        """Tell whether this gate may admit work now."""
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
        """Return an organisation's account with its floor as of now."""
        self._check_seats(now_s)
        account = self._accounts.get(name)
        if account is not None:
            floor = self._floor(name, now_s)
            if account.bucket.floor != floor:
                account.bucket.set_floor(floor, now_s)
        return account

    def active(self, now_s: float) -> Iterator[tuple[str, Account]]:
        """Yield the accounts of organisations whose callers wanted something."""
        for name, account in self._accounts.items():
            if account.is_active():
                self.account(name, now_s)
                yield name, account

    def lends_floors(self, name: str) -> bool:
        """Tell whether floors are so small that gates lend them to each other."""
        organisation = self._organisations[name]
        return shares.has_fractional_floor(
            organisation.burst, self._floor_fraction, self._seat_count
        )

    def _check_seats(self, now_s: float) -> None:
        if self.seats.claims and self.seats.keeps_until_s <= now_s:
            self.seats.keep_only(set())
            # A gate that was paused gains nothing from the seat after its time.
            self._set_floors(self.seats.keeps_until_s)

    def _set_floors(self, now_s: float) -> None:
        for name, account in self._accounts.items():
            account.bucket.set_floor(self._floor(name, now_s), now_s)

    def _floor(self, name: str, now_s: float) -> float:
        organisation = self._organisations[name]
        floor = shares.floor_part(organisation.burst, self._floor_fraction)
        count = len(self.seats.claims)
        if self.lends_floors(name):
            # The seat's last owner may have lent its floor just before its end.
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
