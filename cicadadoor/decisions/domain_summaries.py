"""Decide which hosts exchange heartbeats, and sum those of a failure domain.

With few hosts, each one sends heartbeats to all others. The messages of a host would
grow with the number of hosts, and their cost with its square. With more hosts,
heartbeats stay within the failure domain, and two hosts of each domain, the reporters,
send summaries to the reporters of the other domains, which pass them on to the hosts
of their own. A host's messages then grow only with the hosts of its domain, and those
of a reporter also with the number of domains. Two reporters send the same, so that
neither the death of one nor a lost message makes a domain look silent.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

# Up to this number of hosts, each one sends heartbeats to all others.
MAX_DIRECT_HOSTS = 24
_REPORTER_COUNT = 2
# Requests per second, or None if the limit has ended, and the seconds since then.
ReportedLimit = tuple[float | None, float]


def uses_summaries(host_count: int) -> bool:
    """Return whether domains exchange summaries instead of heartbeats."""
    return host_count > MAX_DIRECT_HOSTS


def reporters(hosts: Iterable[str]) -> list[str]:
    """Return the hosts of a failure domain that report for it; `hosts` are live."""
    return sorted(hosts)[:_REPORTER_COUNT]


def contacts(live: Iterable[str], listed: Sequence[str], attempt: int) -> list[str]:
    """Return the hosts of another failure domain to send a summary to.

    If none is known to be live, other listed hosts are tried at each attempt.
    """
    found = reporters(live)
    if found or not listed:
        return found
    ordered = sorted(listed)
    first = attempt * _REPORTER_COUNT
    numbers = range(first, first + min(_REPORTER_COUNT, len(ordered)))
    return [ordered[number % len(ordered)] for number in numbers]


def sum_counts(counts: Iterable[Mapping[int, int]]) -> dict[int, int]:
    """Add up counts by name hash."""
    total: Counter[int] = Counter()
    for each in counts:
        total.update(each)
    return dict(total)


def sum_rates(rates: Iterable[Mapping[int, float]], digits: int) -> dict[int, float]:
    """Add up rates by name hash, rounded to a number of digits."""
    total: dict[int, float] = {}
    for each in rates:
        for name, rate_per_s in each.items():
            total[name] = total.get(name, 0) + rate_per_s
    return {name: round(rate_per_s, digits) for name, rate_per_s in total.items()}


def smallest_ages(ages: Iterable[Mapping[int, float]]) -> dict[int, float]:
    """Return the smallest age by name hash."""
    smallest: dict[int, float] = {}
    for each in ages:
        for name, age_s in each.items():
            smallest[name] = min(age_s, smallest.get(name, age_s))
    return smallest


def youngest_limits(
    limits: Iterable[Mapping[int, ReportedLimit]],
) -> dict[int, ReportedLimit]:
    """Return the limit with the smallest age by name hash."""
    youngest: dict[int, ReportedLimit] = {}
    for each in limits:
        for name, (rate_per_s, age_s) in each.items():
            if name not in youngest or age_s < youngest[name][1]:
                youngest[name] = (rate_per_s, age_s)
    return youngest
