"""Define the messages about seats, shares of rate limits, and tokens."""

import msgspec

from cicadadoor.links.messages import Message


class SeatGrant(Message, frozen=True, kw_only=True, tag=True):
    """Let a gate instance admit requests on its seats until `keeps_until_s`.

    `keeps_until_s` is a time of the boot-time clock. `claims` maps seat numbers to
    claim ids; a seat whose claim id changes starts with empty buckets. A grant with a
    lower serial than the last one is ignored.
    """

    gate_instance: str
    claims: dict[int, str]
    keeps_until_s: float
    serial: int


class ShareGrant(Message, frozen=True, kw_only=True, tag=True):
    """Let a gate instance use a fraction of an organisation's limits.

    The grant ends at `deadline_s` of the boot-time clock.
    """

    gate_instance: str
    organisation: str
    fraction: float
    deadline_s: float
    serial: int


class OrganisationDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Report the demand of one organisation's callers, and the grant in use."""

    organisation: str
    wanted_per_s: float
    fraction: float
    serial: int


class ShareDemand(Message, frozen=True, kw_only=True, tag=True):
    """Report periodically to the agent what this gate needs and has applied."""

    callers: str
    seat_serial: int
    claims: dict[int, str]
    organisations: tuple[OrganisationDemand, ...]


class SeatReturn(Message, frozen=True, kw_only=True, tag=True):
    """Report that this gate instance has stopped and will not admit any more work."""


class TokenAmount(msgspec.Struct, frozen=True, kw_only=True):
    """Name some tokens of an organisation, and the share of its limits they need."""

    organisation: str
    tokens: float
    fraction: float


class TransferTokens(Message, frozen=True, kw_only=True, tag=True):
    """Ask another gate for tokens of several organisations at once."""

    transfer_id: str
    wishes: tuple[TokenAmount, ...]


class TokensGiven(Message, frozen=True, kw_only=True, tag=True):
    """Report the tokens that the sender has subtracted from its own buckets."""

    transfer_id: str
    given: tuple[TokenAmount, ...]


class SeatStatusRequest(Message, frozen=True, kw_only=True, tag=True):
    """Ask an agent which hosts it hears from and, optionally, for a seat table.

    `read_domain` is empty or names the domain whose table is requested.
    """

    host: str
    failure_domain: str
    platform_age_s: float
    read_domain: str = ''


class SeatStatus(Message, frozen=True, kw_only=True, tag=True):
    """Report the hosts heard from, the seats in use, and the last platform contact.

    `table` is the encoded seat table, read from the platform after the request
    arrived, or empty.
    """

    host: str
    failure_domain: str
    seats: tuple[int, ...]
    heard_age_s: dict[str, float]
    platform_age_s: float
    table: bytes = b''
