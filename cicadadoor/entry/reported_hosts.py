"""Track the summaries of other failure domains, and hosts that are not listed."""

from collections.abc import Iterable

from cicadadoor.entry.heartbeats import HostHeartbeat

# A summary counts for this long; reporters send several in this time.
SUMMARY_TIMEOUT_S = 5.0
# A host that is not listed shares the limits for this time after its last heartbeat.
_UNLISTED_TIMEOUT_S = 10.0
# Far more than the hosts of any fleet, so that a faulty sender cannot fill the memory.
_MAX_UNLISTED_HOSTS = 1024


class UnlistedHosts:
    """Count the hosts that send heartbeats and are not in the list of hosts."""

    def __init__(self) -> None:
        self._heard_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of these hosts."""
        return len(self._heard_s)

    def record_heartbeat(self, host: str, now_s: float) -> None:
        """Record a heartbeat of a host that is not listed, unless too many are."""
        if host in self._heard_s or len(self._heard_s) < _MAX_UNLISTED_HOSTS:
            self._heard_s[host] = now_s

    def discard(self, hosts: Iterable[str]) -> None:
        """Remove hosts that are listed now."""
        for name in hosts:
            self._heard_s.pop(name, None)

    def prune(self, now_s: float) -> None:
        """Remove hosts that have become silent."""
        for name, heard_s in list(self._heard_s.items()):
            if now_s - heard_s > _UNLISTED_TIMEOUT_S:
                self._heard_s.pop(name)


class _ReceivedSummary:
    __slots__ = ('heard_s', 'summary')

    def __init__(self, summary: HostHeartbeat, heard_s: float) -> None:
        self.summary = summary
        self.heard_s = heard_s


class SummaryTable:
    """Hold the latest summary of each reporter, by failure domain."""

    def __init__(self) -> None:
        self._by_domain: dict[str, dict[str, _ReceivedSummary]] = {}

    def record(self, domain: str, summary: HostHeartbeat, now_s: float) -> None:
        """Replace the summary of a reporter, and drop all that have expired."""
        received = self._by_domain.setdefault(domain, {})
        received.pop(summary.host, None)
        received[summary.host] = _ReceivedSummary(summary, now_s)
        for name, each in list(self._by_domain.items()):
            kept = {
                host: one
                for host, one in each.items()
                if now_s - one.heard_s <= SUMMARY_TIMEOUT_S
            }
            if kept:
                self._by_domain[name] = kept
            else:
                self._by_domain.pop(name)

    def fresh(self, domain: str, now_s: float) -> list[HostHeartbeat]:
        """Return the recent summaries of a failure domain, the latest one last."""
        return [
            each.summary
            for each in self._by_domain.get(domain, {}).values()
            if now_s - each.heard_s <= SUMMARY_TIMEOUT_S
        ]

    def fresh_domains(self, now_s: float) -> frozenset[str]:
        """Return the failure domains with a recent summary."""
        return frozenset(
            domain for domain in self._by_domain if self.fresh(domain, now_s)
        )

    def members(self, now_s: float) -> dict[str, frozenset[int]]:
        """Return the live hosts of each failure domain with a recent summary."""
        return {
            domain: frozenset().union(
                *(summary.members for summary in self.fresh(domain, now_s))
            )
            for domain in self.fresh_domains(now_s)
        }

    def latest(self, now_s: float) -> list[HostHeartbeat]:
        """Return the latest summary of each failure domain, if it is recent."""
        found = [self.fresh(domain, now_s)[-1:] for domain in self._by_domain]
        return [each for summaries in found for each in summaries]
