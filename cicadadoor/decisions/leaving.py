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


class _LeavingState:
    __slots__ = (
        'good_since_s',
        'last_evidence_s',
        'list_version',
        'stable_health_s',
        'sources',
    )

    def __init__(self) -> None:
        self.sources: set[Evidence] = set()
        self.last_evidence_s = 0.0
        self.list_version = 0
        self.good_since_s: float | None = None
        self.stable_health_s = STABLE_HEALTH_S


class LeavingTable:
    """Hold the evidence for each backend server; any single source suffices."""

    def __init__(self) -> None:
        self._states: dict[str, _LeavingState] = {}

    def is_leaving(self, server: str) -> bool:
        """Return whether the server must not get new requests."""
        state = self._states.get(server)
        return state is not None and bool(state.sources)

    def note(self, server: str, evidence: Evidence, now_s: float) -> bool:
        """Record that the server is leaving; return whether this was not known."""
        state = self._states.setdefault(server, _LeavingState())
        is_new = not state.sources
        state.sources.add(evidence)
        state.last_evidence_s = now_s
        state.good_since_s = None
        return is_new

    def note_good_health(self, server: str, sent_s: float, now_s: float) -> bool:
        """Record a good `/health` response; return whether the server is usable again.

        A response to a probe that was sent before the last evidence is ignored.
        """
        state = self._states.get(server)
        if state is None or not state.sources or sent_s <= state.last_evidence_s:
            return False
        if state.good_since_s is None:
            state.good_since_s = sent_s
        if state.sources & _SEEN_BY_PROBE:
            state.sources -= _CLEARED_BY_GOOD_HEALTH
        elif now_s - state.good_since_s >= state.stable_health_s:
            state.sources -= _CLEARED_BY_GOOD_HEALTH
            state.stable_health_s = min(_MAX_STABLE_HEALTH_S, 2 * state.stable_health_s)
        return not state.sources

    def note_failed_probe(self, server: str) -> None:
        """Record a failed `/health` probe."""
        state = self._states.get(server)
        if state is not None:
            state.good_since_s = None

    def note_listed(
        self,
        server: str,
        version: int,
        *,
        is_leaving: bool,
        now_s: float,
    ) -> None:
        """Apply an entry of the platform's host list unless a newer one was applied."""
        state = self._states.get(server)
        known_version = state.list_version if state else 0
        if version <= known_version:
            return
        if is_leaving:
            self.note(server, Evidence.HOST_LIST, now_s)
            self._states[server].list_version = version
        elif state is not None:
            state.list_version = version
            state.sources.discard(Evidence.HOST_LIST)

    def set_operator(self, servers: Collection[str], now_s: float) -> None:
        """Replace the set of servers that operators drain."""
        for name, state in self._states.items():
            if name not in servers:
                state.sources.discard(Evidence.OPERATOR)
        for server in servers:
            state = self._states.get(server)
            if state is None or Evidence.OPERATOR not in state.sources:
                self.note(server, Evidence.OPERATOR, now_s)

    def directly_reported(self) -> list[str]:
        """Return the servers that reported to this gate directly that they leave."""
        return sorted(
            name for name, state in self._states.items() if state.sources & _DIRECT
        )

    def describe_evidence(self, server: str) -> str:
        """Return the sources of evidence as text for log lines."""
        state = self._states.get(server)
        sources = state.sources if state else ()
        return ','.join(sorted(source.value for source in sources))
