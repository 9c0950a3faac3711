"""Define the messages by which agents know of each other."""

import msgspec

from cicadadoor.links.messages import GateInfo, Message


class MemberRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Tell where an agent and its gate are.

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


class Sighting(msgspec.Struct, frozen=True, array_like=True):
    """Tell when a member was heard, and what its gate had in use then."""

    host: str
    incarnation: int
    age_s: float
    generation: int
    digest: str


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Hold steered requests/s of a host or a domain."""

    by_region: dict[str, float] = {}
    by_link: dict[str, float] = {}
    by_organisation: dict[str, float] = {}


class DomainSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Tell other domains what the relays of one domain know of it."""

    failure_domain: str
    region: str
    age_s: float
    relays: list[MemberRecord]
    gates: list[GateInfo]
    host_count: int
    # The lowest generation that a gate of a live host has in use, and its digest
    # if all have the same.
    generation: int
    digest: str
    behind: list[str]
    unreachable: list[str]
    load: Load
    load_age_s: float


class Heartbeat(Message, frozen=True, kw_only=True, tag=True):
    """Tell a peer agent that this host is alive, and ask what it knows.

    `generation` is the one that the agent holds; `contact_age_s` is the age of the
    last contact with the platform of this host or of one that it hears.
    """

    record: MemberRecord
    sighting: Sighting
    generation: int
    contact_age_s: float
    # Age of the last evidence that the sender's domain is not cut off.
    evidence_age_s: float
    withdrawals_digest: str
    sightings: list[Sighting] = []
    summaries: list[DomainSummary] = []


class PullMembers(Message, frozen=True, kw_only=True, tag=True):
    """Ask for the records of hosts that were only sighted."""

    hosts: list[str]


class MemberRecords(Message, frozen=True, kw_only=True, tag=True):
    """Answer with records."""

    records: list[MemberRecord]


class PullStatus(Message, frozen=True, kw_only=True, tag=True):
    """Ask a member for its load."""


class HostLoad(Message, frozen=True, kw_only=True, tag=True):
    """Answer with the load of one host and the age of the figures."""

    load: Load
    age_s: float
