"""Decide whether a generation is in force everywhere."""

import msgspec

from cicadadoor.links.membership_messages import DomainSummary

# Older word of a domain confirms nothing.
REPORT_VALID_S = 30.0


class Confirmation(msgspec.Struct, frozen=True, kw_only=True):
    """Tell what was reported about a generation, and nothing more."""

    generation: int
    in_force: bool
    hosts_confirmed: int
    behind: list[str]
    unreachable: list[str]


def confirm(
    generation: int,
    configured_domains: list[str],
    summaries: list[DomainSummary],
) -> Confirmation:
    """Return whether each host of each configured domain reported the generation.

    A domain with no young report is named as `failure domain NAME`, since its hosts
    are not known; a host that is behind as `HOST` of its own domain's report.
    """
    by_domain = {summary.failure_domain: summary for summary in summaries}
    behind: list[str] = []
    unreachable: list[str] = []
    confirmed = 0
    for domain in sorted({*configured_domains, *by_domain}):
        summary = by_domain.get(domain)
        if summary is None or summary.age_s > REPORT_VALID_S:
            unreachable.append(f'failure domain {domain}')
            continue
        unreachable.extend(summary.unreachable)
        if summary.generation >= generation:
            confirmed += summary.host_count
        elif summary.behind:
            behind.extend(summary.behind)
        else:
            # All its hosts agree on a generation that is too low.
            behind.append(f'failure domain {domain} (generation {summary.generation})')
    return Confirmation(
        generation=generation,
        in_force=bool(configured_domains) and not behind and not unreachable,
        hosts_confirmed=confirmed,
        behind=behind,
        unreachable=unreachable,
    )
