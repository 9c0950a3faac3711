"""Decide whether a generation is in force everywhere."""

import msgspec

from cicadadoor.links.membership_messages import DomainSummary

# Older word of a domain confirms nothing.
REPORT_VALID_S = 60.0


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
    digest: str = '',
) -> Confirmation:
    """Return whether each host of each configured domain reported the generation.

    A domain with no young report is named as `failure domain NAME`, since its hosts
    are not known; a host that is behind as `HOST` of its own domain's report.
    `digest` is that of the generation; another one with the same number is no
    confirmation.
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
        # Without names all its hosts agree on a generation that is too low.
        return summary.behind or [f'{label} (generation {summary.generation})']
    # The summary holds the beginning of a digest.
    is_same = digest.startswith(summary.digest)
    if summary.generation == generation and not is_same:
        return [f'{label} (digest {summary.digest})']
    return []
