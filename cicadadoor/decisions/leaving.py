"""Track leaving backend servers, from sources that may be stale or wrong."""

from collections.abc import Collection
from enum import Enum, unique

# A restart between two probes shows no change of health. So a server that reported
# draining in its responses becomes usable after its health was good for this long
# without interruption; the time doubles each time it reports draining again.
STABLE_HEALTH_S = 120.0
_MAX_STABLE_HEALTH_S = 1800.0


@unique
class Evidence(Enum):
    """List the sources that can report a backend server as leaving."""

    HOST_LIST = 'host_list'
    ANSWER = 'answer'
    HEALTH = 'health'
    REFUSED = 'refused'
    SIBLING = 'sibling'
    OPERATOR = 'operator'


_DIRECT = frozenset((Evidence.ANSWER, Evidence.HEALTH))
# Good health after these is a change, and so recent evidence that the server is back.
_SEEN_BY_PROBE = frozenset((Evidence.HEALTH, Evidence.REFUSED))
_CLEARED_BY_GOOD_HEALTH = frozenset(
    (Evidence.ANSWER, Evidence.HEALTH, Evidence.REFUSED, Evidence.SIBLING)
)


class _Mark:
    __slots__ = ('good_since_s', 'last_s', 'list_version', 'stable_health_s', 'sources')

    def __init__(self) -> None:
        self.sources: set[Evidence] = set()
        self.last_s = 0.0
        self.list_version = 0
        self.good_since_s: float | None = None
        self.stable_health_s = STABLE_HEALTH_S


class LeavingTable:
    """Hold the evidence for each backend server; any single source suffices."""

    def __init__(self) -> None:
        self._marks: dict[str, _Mark] = {}

    def is_leaving(self, server: str) -> bool:
        """Return whether the server must not get new requests."""
        mark = self._marks.get(server)
        return mark is not None and bool(mark.sources)

    def note(self, server: str, evidence: Evidence, now_s: float) -> bool:
        """Record that the server is leaving; return whether this was not known."""
        mark = self._marks.setdefault(server, _Mark())
        is_new = not mark.sources
        mark.sources.add(evidence)
        mark.last_s = now_s
        mark.good_since_s = None
        return is_new

    def note_good_health(self, server: str, asked_s: float, now_s: float) -> bool:
        """Record a good `/health` response; return whether the server is usable again.

        A response to a probe that was sent before the last evidence is ignored.
        """
        mark = self._marks.get(server)
        if mark is None or not mark.sources or asked_s <= mark.last_s:
            return False
        if mark.good_since_s is None:
            mark.good_since_s = asked_s
        if mark.sources & _SEEN_BY_PROBE:
            mark.sources -= _CLEARED_BY_GOOD_HEALTH
        elif now_s - mark.good_since_s >= mark.stable_health_s:
            mark.sources -= _CLEARED_BY_GOOD_HEALTH
            mark.stable_health_s = min(_MAX_STABLE_HEALTH_S, 2 * mark.stable_health_s)
        return not mark.sources

    def note_no_health(self, server: str) -> None:
        """Record a failed `/health` probe."""
        mark = self._marks.get(server)
        if mark is not None:
            mark.good_since_s = None

    def note_listed(
        self,
        server: str,
        version: int,
        *,
        is_leaving: bool,
        now_s: float,
    ) -> None:
        """Apply an entry of the platform's host list unless a newer one was applied."""
        mark = self._marks.get(server)
        known_version = mark.list_version if mark else 0
        if version <= known_version:
            return
        if is_leaving:
            self.note(server, Evidence.HOST_LIST, now_s)
            self._marks[server].list_version = version
        elif mark is not None:
            mark.list_version = version
            mark.sources.discard(Evidence.HOST_LIST)

    def set_operator(self, servers: Collection[str], now_s: float) -> None:
        """Replace the set of servers that operators drain."""
        for name, mark in self._marks.items():
            if name not in servers:
                mark.sources.discard(Evidence.OPERATOR)
        for server in servers:
            mark = self._marks.get(server)
            if mark is None or Evidence.OPERATOR not in mark.sources:
                self.note(server, Evidence.OPERATOR, now_s)

    def directly_reported(self) -> list[str]:
        """Return the servers that reported to this gate directly that they leave."""
        return sorted(
            name for name, mark in self._marks.items() if mark.sources & _DIRECT
        )

    def describe_evidence(self, server: str) -> str:
        """Return the sources of evidence as text for log lines."""
        mark = self._marks.get(server)
        sources = mark.sources if mark else ()
        return ','.join(sorted(source.value for source in sources))
