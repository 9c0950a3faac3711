"""Decide which hosts are alive, from what was heard and when."""

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
# A dead host is named as unreachable for this long; a replaced one is not needed.
FORGET_AFTER_S = 600.0
SUMMARY_VALID_S = 120.0
_MAX_SIGHTINGS = 24
_MAX_HOSTS_BEHIND = 8
_NEVER_S = float('-inf')


class Member:
    """Hold the record of a host and the evidence of its life."""

    __slots__ = (
        'asked_s',
        'digest',
        'generation',
        'heard_s',
        'is_probe_failed',
        'known_s',
        'record',
    )

    def __init__(self, record: MemberRecord, known_s: float) -> None:
        self.record = record
        self.known_s = known_s
        self.heard_s = _NEVER_S
        self.asked_s = _NEVER_S
        self.is_probe_failed = False
        self.generation = 0
        self.digest = ''

    def is_alive(self, now_s: float) -> bool:
        """Tell whether the host counts as alive.

        It is suspected when nobody whose word arrived heard it and a direct probe
        failed.
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
        """Take a record that is new or has a higher incarnation.

        It is no evidence of life: a record can arrive late or by way of others.
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
            # A restarted host has to be heard itself.
            member.heard_s = _NEVER_S
            member.generation = 0
            member.digest = ''
        member.record = record
        member.known_s = now_s
        member.is_probe_failed = False
        return True

    def note_sighting(self, sighting: Sighting, received_s: float) -> bool:
        """Take when somebody heard a member; False if its record is needed."""
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

    def probe_failed(self, host: str, asked_s: float) -> None:
        """Note that a direct probe was not answered."""
        member = self._members.get(host)
        if member is not None and member.heard_s < asked_s:
            member.is_probe_failed = True

    def forget_old(self, now_s: float) -> list[MemberRecord]:
        """Drop hosts that are dead for long, and return them."""
        gone = [
            member.record
            for member in self._members.values()
            if max(member.heard_s, member.known_s) < now_s - FORGET_AFTER_S
        ]
        for record in gone:
            self._members.pop(record.host)
        return gone

    def find(self, host: str) -> Member | None:
        """Return a member, or None if it was never named."""
        return self._members.get(host)

    def known(self) -> list[Member]:
        """Return all members that are not forgotten."""
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
        """Return the lowest-ranked live hosts, this one included."""
        hosts = [member.record.host for member in self.alive(now_s)]
        return sorted([*hosts, self._own_host])[:count]

    def gossip_partners(
        self,
        now_s: float,
        count: int,
        rng: random.Random,
    ) -> list[MemberRecord]:
        """Return whom to ask next: the one left alone longest, others at random.

        Dead members are asked too, so that parts of a domain that were cut off from
        each other find together again.
        """
        members = sorted(self._members.values(), key=_last_contact_s)
        chosen = members[:1]
        others = members[1:]
        chosen.extend(rng.sample(others, min(count - 1, len(others))))
        for member in chosen:
            member.asked_s = now_s
        return [member.record for member in chosen]

    def sightings(self, now_s: float) -> list[Sighting]:
        """Return what this host can tell of others, the latest heard first."""
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
        """Take when a host of a domain was heard, directly or by others."""
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
        """Return the ages of the last word of some domains, to pass on."""
        names = sorted(self._heard_s)
        return [
            DomainAge(name, now_s - self._heard_s[name])
            for name in rng.sample(names, min(count, len(names)))
        ]

    def note(self, summary: DomainSummary, received_s: float) -> bool:
        """Take a summary if it is newer than the one held."""
        name = summary.failure_domain
        if name == self._own_domain:
            return False
        heard_s = received_s - max(summary.age_s, 0)
        before_s = self._summary_s.get(name, _NEVER_S)
        # Written so that an age that is no number is refused as well.
        if not heard_s > before_s:
            return False
        before = self._summaries.get(name)
        if before is not None and math.isinf(summary.load_age_s):
            # Hosts that are no relays do not collect the load.
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
        """Return the summaries that are young enough, with their present ages."""
        return [
            _with_age(summary, now_s - self._summary_s[name])
            for name, summary in sorted(self._summaries.items())
            if now_s - self._summary_s[name] <= SUMMARY_VALID_S
        ]

    def is_known(self, failure_domain: str, now_s: float) -> bool:
        """Tell whether it is the own domain or one with a summary young enough."""
        if failure_domain == self._own_domain:
            return True
        summary_s = self._summary_s.get(failure_domain, _NEVER_S)
        return now_s - summary_s <= SUMMARY_VALID_S

    def all_relays(self) -> dict[str, list[MemberRecord]]:
        """Return the relays that each domain last named."""
        return {name: summary.relays for name, summary in self._summaries.items()}

    def sample(
        self,
        now_s: float,
        count: int,
        rng: random.Random,
    ) -> list[DomainSummary]:
        """Return some summaries to pass on."""
        summaries = self.valid(now_s)
        return rng.sample(summaries, min(count, len(summaries)))


def hosts_behind(
    generation: int,
    in_use: dict[str, int],
) -> list[str]:
    """Return hosts whose gate has a lower generation in use, a bounded number."""
    behind = sorted(host for host, number in in_use.items() if number < generation)
    return behind[:_MAX_HOSTS_BEHIND]


def _heard_s(member: Member) -> float:
    return member.heard_s


def _last_contact_s(member: Member) -> float:
    return max(member.heard_s, member.asked_s)


def _with_age(summary: DomainSummary, age_s: float) -> DomainSummary:
    return msgspec.structs.replace(
        summary,
        load_age_s=summary.load_age_s + age_s - summary.age_s,
        age_s=age_s,
    )
