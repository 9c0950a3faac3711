"""Decide which hosts are alive, from the times at which they were last heard."""

import math
import random

import msgspec

from cicadadoor.links.membership_messages import (
    DomainAge,
    DomainSummary,
    MemberRecord,
    Sighting,
)

SUSPECT_AFTER_S = 3.0
DEAD_AFTER_S = 10.0
# A dead host is listed as unreachable for this long. Then it is removed, because a
# host that was replaced need not be listed.
FORGET_AFTER_S = 600.0
SUMMARY_VALID_S = 120.0
_MAX_SIGHTINGS = 24
_MAX_HOSTS_BEHIND = 8
_NEVER_S = float('-inf')


class Member:
    """Hold the record of a host and the evidence that it is alive."""

    __slots__ = (
        'contacted_s',
        'digest',
        'generation',
        'heard_s',
        'is_probe_failed',
        'recorded_s',
        'record',
    )

    def __init__(self, record: MemberRecord, recorded_s: float) -> None:
        self.record = record
        self.recorded_s = recorded_s
        self.heard_s = _NEVER_S
        self.contacted_s = _NEVER_S
        self.is_probe_failed = False
        self.generation = 0
        self.digest = ''

    def is_alive(self, now_s: float) -> bool:
        """Return whether the host counts as alive.

        It does not if no peer has reported hearing it for SUSPECT_AFTER_S and a direct
        probe failed, or in any case after DEAD_AFTER_S.
        """
        age_s = now_s - self.heard_s
        if age_s <= SUSPECT_AFTER_S:
            return True
        return age_s <= DEAD_AFTER_S and not self.is_probe_failed


class MemberTable:
    """Hold the other members of one failure domain."""

    def __init__(self, own_host: str, failure_domain: str) -> None:
        self._own_host = own_host
        self._failure_domain = failure_domain
        self._members: dict[str, Member] = {}

    def note_record(self, record: MemberRecord, now_s: float) -> bool:
        """Store a record that is new or has a higher incarnation; return whether it is.

        A record does not show that the host is alive: it may be delayed or come from a
        peer.
        """
        if record.host == self._own_host:
            return False
        if record.failure_domain != self._failure_domain:
            return False
        member = self._members.get(record.host)
        if member is None:
            self._members[record.host] = Member(record, now_s)
            return True
        if record.incarnation <= member.record.incarnation:
            return False
        if record.instance != member.record.instance:
            # A restarted host does not count as alive until it is heard.
            member.heard_s = _NEVER_S
            member.generation = 0
            member.digest = ''
        member.record = record
        member.recorded_s = now_s
        member.is_probe_failed = False
        return True

    def note_sighting(self, sighting: Sighting, received_s: float) -> bool:
        """Record when a peer heard a member; return False if its record is missing."""
        if sighting.host == self._own_host:
            return True
        member = self._members.get(sighting.host)
        if member is None or sighting.incarnation > member.record.incarnation:
            return False
        if sighting.incarnation < member.record.incarnation:
            return True
        heard_s = received_s - max(sighting.age_s, 0)
        if heard_s > member.heard_s:
            member.heard_s = heard_s
            member.is_probe_failed = False
            member.generation = sighting.generation
            member.digest = sighting.digest
        return True

    def note_failed_probe(self, host: str, sent_s: float) -> None:
        """Record that a direct probe got no response."""
        member = self._members.get(host)
        if member is not None and member.heard_s < sent_s:
            member.is_probe_failed = True

    def forget_old(self, now_s: float) -> list[MemberRecord]:
        """Remove hosts that have been dead for FORGET_AFTER_S, and return them."""
        gone = [
            member.record
            for member in self._members.values()
            if max(member.heard_s, member.recorded_s) < now_s - FORGET_AFTER_S
        ]
        for record in gone:
            self._members.pop(record.host)
        return gone

    def find(self, host: str) -> Member | None:
        """Return a member, or None if it is unknown."""
        return self._members.get(host)

    def known(self) -> list[Member]:
        """Return all members, alive or not."""
        return list(self._members.values())

    def alive(self, now_s: float) -> list[Member]:
        """Return the live members, ordered by host name."""
        return [
            member
            for _, member in sorted(self._members.items())
            if member.is_alive(now_s)
        ]

    def unreachable(self, now_s: float) -> list[str]:
        """Return hosts that were heard before and are not alive."""
        return [
            host
            for host, member in sorted(self._members.items())
            if member.heard_s > _NEVER_S and not member.is_alive(now_s)
        ]

    def relays(self, now_s: float, count: int) -> list[str]:
        """Return the first live hosts by name, this one included."""
        hosts = [member.record.host for member in self.alive(now_s)]
        return sorted([*hosts, self._own_host])[:count]

    def gossip_partners(
        self,
        now_s: float,
        count: int,
        rng: random.Random,
    ) -> list[MemberRecord]:
        """Return the next gossip partners: the least recently contacted, others random.

        Dead members are contacted too, so that the parts of a domain find each other
        again after a network partition.
        """
        members = sorted(self._members.values(), key=_last_contact_s)
        chosen = members[:1]
        others = members[1:]
        chosen.extend(rng.sample(others, min(count - 1, len(others))))
        for member in chosen:
            member.contacted_s = now_s
        return [member.record for member in chosen]

    def sightings(self, now_s: float) -> list[Sighting]:
        """Return when this host heard others, the most recently heard first."""
        members = sorted(self.alive(now_s), key=_heard_s, reverse=True)
        return [
            Sighting(
                member.record.host,
                member.record.incarnation,
                now_s - member.heard_s,
                member.generation,
                member.digest,
            )
            for member in members[:_MAX_SIGHTINGS]
        ]


class DomainTable:
    """Hold the summaries of the other failure domains."""

    def __init__(self, own_domain: str) -> None:
        self._own_domain = own_domain
        self._summaries: dict[str, DomainSummary] = {}
        self._summary_s: dict[str, float] = {}
        self._heard_s: dict[str, float] = {}

    def note_age(self, failure_domain: str, received_s: float, age_s: float) -> None:
        """Record when a host of a domain was heard, directly or by peers."""
        if failure_domain == self._own_domain:
            return
        heard_s = received_s - max(age_s, 0)
        if heard_s > self._heard_s.get(failure_domain, _NEVER_S):
            self._heard_s[failure_domain] = heard_s

    def sample_ages(
        self,
        now_s: float,
        count: int,
        rng: random.Random,
    ) -> list[DomainAge]:
        """Return how long ago some random domains were heard, for gossip."""
        names = sorted(self._heard_s)
        return [
            DomainAge(name, now_s - self._heard_s[name])
            for name in rng.sample(names, min(count, len(names)))
        ]

    def note(self, summary: DomainSummary, received_s: float) -> bool:
        """Store a summary if it is newer than the stored one; return whether it is."""
        name = summary.failure_domain
        if name == self._own_domain:
            return False
        heard_s = received_s - max(summary.age_s, 0)
        before_s = self._summary_s.get(name, _NEVER_S)
        # Negated so that an age of NaN is refused as well.
        if not heard_s > before_s:
            return False
        before = self._summaries.get(name)
        if before is not None and math.isinf(summary.load_age_s):
            # Hosts that are not relays do not collect the load.
            summary = msgspec.structs.replace(
                summary,
                load=before.load,
                load_age_s=before.load_age_s + heard_s - before_s,
            )
        self._summaries[name] = summary
        self._summary_s[name] = heard_s
        self.note_age(name, received_s, summary.age_s)
        return True

    def heard(self) -> dict[str, float]:
        """Return when each other domain was last heard, directly or through peers."""
        return dict(self._heard_s)

    def valid(self, now_s: float) -> list[DomainSummary]:
        """Return the summaries that are recent enough, with their current ages."""
        return [
            _with_age(summary, now_s - self._summary_s[name])
            for name, summary in sorted(self._summaries.items())
            if now_s - self._summary_s[name] <= SUMMARY_VALID_S
        ]

    def is_known(self, failure_domain: str, now_s: float) -> bool:
        """Return whether it is the own domain or one with a recent summary."""
        if failure_domain == self._own_domain:
            return True
        summary_s = self._summary_s.get(failure_domain, _NEVER_S)
        return now_s - summary_s <= SUMMARY_VALID_S

    def all_relays(self) -> dict[str, list[MemberRecord]]:
        """Return the relays that each domain last reported."""
        return {name: summary.relays for name, summary in self._summaries.items()}

    def sample(
        self,
        now_s: float,
        count: int,
        rng: random.Random,
    ) -> list[DomainSummary]:
        """Return some random summaries, for gossip."""
        summaries = self.valid(now_s)
        return rng.sample(summaries, min(count, len(summaries)))


def hosts_behind(
    generation: int,
    in_use: dict[str, int],
) -> list[str]:
    """Return hosts whose gate uses an older generation, at most _MAX_HOSTS_BEHIND."""
    behind = sorted(host for host, number in in_use.items() if number < generation)
    return behind[:_MAX_HOSTS_BEHIND]


def _heard_s(member: Member) -> float:
    return member.heard_s


def _last_contact_s(member: Member) -> float:
    return max(member.heard_s, member.contacted_s)


def _with_age(summary: DomainSummary, age_s: float) -> DomainSummary:
    return msgspec.structs.replace(
        summary,
        load_age_s=summary.load_age_s + age_s - summary.age_s,
        age_s=age_s,
    )
