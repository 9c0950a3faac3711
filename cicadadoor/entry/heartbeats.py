"""Define the heartbeats of hosts and the summaries of failure domains."""

import zlib
from collections.abc import Mapping, Sequence
from functools import lru_cache
from typing import Annotated

import msgspec
from msgspec import structs

from cicadadoor.decisions.domain_summaries import (
    smallest_ages,
    sum_counts,
    sum_rates,
    youngest_limits,
)
from cicadadoor.decisions.request_quarantine import CrashReport, merge_reports
from cicadadoor.entry.model import Position, Topic

TOPICS = tuple(Topic)
# As long as the settings allow for the name of a host.
_MAX_NAME_LENGTH = 63
_NAME_HASH_CACHE_SIZE = 16_384
_RATE_DIGITS = 1
# The bounds exclude NaN and infinity. A server may name a limit of 32 digits.
_MAX_RATE_PER_S = 1e32
_MAX_AGE_S = 1e9

Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_LENGTH)]
RatePerS = Annotated[float, msgspec.Meta(ge=0, le=_MAX_RATE_PER_S)]
AgeS = Annotated[float, msgspec.Meta(ge=0, le=_MAX_AGE_S)]
Era = Annotated[int, msgspec.Meta(ge=0)]


class HostHeartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Report to other hosts that this one is alive, and its state.

    `revisions` and `digests` are in the order of the topics. `demand` holds requests
    per second by organisation. `in_flight` counts this host's requests at each backend
    server. `unreachable` holds the seconds since each backend server last failed to
    answer. `quarantines` holds, by request fingerprint, what the sender knows of the
    crashes of backend servers while such a request ran; `crashes` holds only their
    runs, for older hosts, whose `quarantines` are None. `learned` is a flat list of
    pairs: a backend server and an object that it has just loaded; it is sent only
    within the region. `limits` holds, by backend server, the requests per second that
    it takes from all hosts together, as it told the sender (None if the limit has
    ended), and the seconds since then. `is_served` is whether the store answers the
    sender, and `is_pressed` whether the sender is short of memory. `memory_percent` is
    the part of its machine's memory that the sender uses, None if unknown; a summary
    has its reporter's. `eras` holds the eras of the store that the `revisions` belong
    to; older hosts name none. `era_age_s` holds the seconds since the sender noticed
    that the store had come back from a copy, None if that is long ago. Names are sent
    as `name_hash`, since traffic between regions is billed.

    In the summary of a failure domain, `members` are the live hosts of the domain and
    `leaving` and `pressed` those of them that are about to stop or short of memory;
    `demand`, `in_flight`, `unreachable`, `quarantines`, `limits` and `learned` concern
    all of them together.
    """

    host: Name
    instance: Name
    number: int
    is_leaving: bool
    revisions: tuple[int, ...]
    digests: tuple[int, ...]
    demand: dict[int, RatePerS] = {}
    in_flight: dict[int, int] = {}
    unreachable: dict[int, AgeS] = {}
    crashes: dict[int, frozenset[int]] = {}
    is_served: bool = True
    learned: tuple[int, ...] = ()
    members: frozenset[int] = frozenset()
    leaving: frozenset[int] = frozenset()
    limits: dict[int, tuple[RatePerS | None, AgeS]] = {}
    quarantines: dict[int, CrashReport] | None = None
    is_pressed: bool = False
    pressed: frozenset[int] = frozenset()
    memory_percent: int | None = None
    eras: tuple[Era, ...] = ()
    era_age_s: AgeS | None = None

    def position(self, topic: Topic) -> Position:
        """Return the position of the sender's copy of a topic."""
        index = TOPICS.index(topic)
        era = self.eras[index] if len(self.eras) == len(TOPICS) else 0
        return Position(era, self.revisions[index])

    def saw_return(self, topic: Topic) -> bool:
        """Return whether the sender has read a topic since the store came back."""
        era = max(self.eras, default=0)
        return self.era_age_s is not None and self.position(topic).era == era

    def digest(self, topic: Topic) -> int:
        """Return the digest of the sender's copy of a topic."""
        return self.digests[TOPICS.index(topic)]


@lru_cache(_NAME_HASH_CACHE_SIZE)
def name_hash(name: str) -> int:
    """Return the number that replaces a name in heartbeats."""
    return zlib.crc32(name.encode())


def runs_of(quarantines: Mapping[int, CrashReport]) -> dict[int, frozenset[int]]:
    """Return the `crashes` that older hosts read instead of `quarantines`."""
    return {name: report.runs for name, report in quarantines.items() if report.runs}


def summarise(own: HostHeartbeat, others: Sequence[HostHeartbeat]) -> HostHeartbeat:
    """Return the summary of a failure domain; `others` are its other live hosts."""
    heartbeats = [own, *others]
    quarantines = merge_reports(each.quarantines or {} for each in heartbeats)
    return structs.replace(
        own,
        demand=sum_rates((each.demand for each in heartbeats), _RATE_DIGITS),
        in_flight=sum_counts(each.in_flight for each in heartbeats),
        unreachable=smallest_ages(each.unreachable for each in heartbeats),
        crashes=runs_of(quarantines),
        quarantines=quarantines,
        limits=youngest_limits(each.limits for each in heartbeats),
        learned=tuple(hash_value for each in heartbeats for hash_value in each.learned),
        members=frozenset(name_hash(each.host) for each in heartbeats),
        leaving=frozenset(
            name_hash(each.host) for each in heartbeats if each.is_leaving
        ),
        pressed=pressed_hosts(heartbeats),
    )


def pressed_hosts(heartbeats: Sequence[HostHeartbeat]) -> frozenset[int]:
    """Return the hosts that are short of memory, by the hash of their name."""
    senders = (name_hash(each.host) for each in heartbeats if each.is_pressed)
    return frozenset(senders).union(*(each.pressed for each in heartbeats))
