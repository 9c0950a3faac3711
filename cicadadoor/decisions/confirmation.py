"""Decide whether all hosts use a generation of the configuration."""

import msgspec

from cicadadoor.links.membership_messages import DomainSummary

# An older report of a failure domain does not count as confirmation.
REPORT_VALID_S = 60.0


class Confirmation(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the failure domains reported about a generation."""

    generation: int
    in_force: bool
    hosts_confirmed: int
    behind: list[str]
    unreachable: list[str]


def confirm(
    generation: int,
    configured_domains: list[str],
    summaries: list[DomainSummary],
    digest: str = '',
) -> Confirmation:
    """Return whether each host of each configured domain reported the generation.

    A domain without a recent report is listed as `failure domain NAME`, since its
    hosts are unknown; hosts that are behind are listed by name, as in the report of
    their domain. A report with the same number and a digest other than `digest` does
    not confirm the generation.
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
        missing = _unconfirmed_hosts(summary, generation, digest)
        behind.extend(missing)
        if not missing:
            confirmed += summary.host_count
    return Confirmation(
        generation=generation,
        in_force=bool(configured_domains) and not behind and not unreachable,
        hosts_confirmed=confirmed,
        behind=behind,
        unreachable=unreachable,
    )


def _unconfirmed_hosts(
    summary: DomainSummary, generation: int, digest: str
) -> list[str]:
    label = f'failure domain {summary.failure_domain}'
    if summary.generation < generation:
        # No host names mean that all hosts agree on a generation that is too low.
        return summary.behind or [f'{label} (generation {summary.generation})']
    # The summary holds only the first characters of the digest.
    is_same = digest.startswith(summary.digest)
    if summary.generation == generation and not is_same:
        return [f'{label} (digest {summary.digest})']
    return []
