"""Define the membership messages between agents."""

import msgspec

from cicadadoor.links.messages import GateInfo, Message


class MemberRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the addresses and the identity of an agent and its gate.

    A host that restarts has another `instance` and a higher `incarnation`; a change
    of the record raises the incarnation too.
    """

    host: str
    instance: str
    incarnation: int
    peer_address: str
    failure_domain: str
    region: str
    gate: GateInfo | None = None


# Enough to tell generations apart; a full digest would be most of a sighting's size.
SHORT_DIGEST_LENGTH = 16


class Sighting(msgspec.Struct, frozen=True, array_like=True):
    """State when a member was last heard from, and its gate's generation then."""

    host: str
    incarnation: int
    age_s: float
    generation: int
    digest: str


class DomainAge(msgspec.Struct, frozen=True, array_like=True):
    """State how long ago any host of a failure domain was last heard from."""

    failure_domain: str
    age_s: float


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the steered requests/s of a host or a domain."""

    by_region: dict[str, float] = {}
    by_link: dict[str, float] = {}
    by_organisation: dict[str, float] = {}


class DomainSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Summarise a failure domain, as its relays see it, for other domains."""

    failure_domain: str
    region: str
    age_s: float
    relays: list[MemberRecord]
    gates: list[GateInfo]
    host_count: int
    # The lowest generation that a gate of a live host uses, and its digest if all
    # gates have the same.
    generation: int
    digest: str
    behind: list[str]
    unreachable: list[str]
    load: Load
    load_age_s: float


class Heartbeat(Message, frozen=True, kw_only=True, tag=True):
    """Tell a peer agent that this host is alive, and request the peer's view.

    `generation` is the one that the agent holds; `contact_age_s` is the age of the
    last platform contact of this host, or of a host that it hears from.
    """

    record: MemberRecord
    sighting: Sighting
    generation: int
    contact_age_s: float
    # Age of the last evidence that the sender's domain is not isolated.
    evidence_age_s: float
    withdrawals_digest: str
    sightings: list[Sighting] = []
    summaries: list[DomainSummary] = []
    domain_ages: list[DomainAge] = []


class PullMembers(Message, frozen=True, kw_only=True, tag=True):
    """Request the records of hosts that are known only from sightings."""

    hosts: list[str]


class MemberRecords(Message, frozen=True, kw_only=True, tag=True):
    """Send the requested records."""

    records: list[MemberRecord]


class PullStatus(Message, frozen=True, kw_only=True, tag=True):
    """Request the load of a member."""


class HostLoad(Message, frozen=True, kw_only=True, tag=True):
    """Send the load of one host and its age."""

    load: Load
    age_s: float
