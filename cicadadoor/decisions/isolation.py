"""Distinguish an isolated failure domain from an outage of the platform."""

from collections.abc import Iterable

from cicadadoor.config.model import IsolatedKeys, Organisation

# Reports about other domains pass through several hosts, each of which forwards a few
# domains per second.
EVIDENCE_VALID_S = 30.0
# A restarting agent is back within this time. After it, withdrawals no longer reach
# the gate, so the gate counts as isolated.
AGENT_TIMEOUT_S = 30.0
_NEVER_S = float('-inf')


class IsolationEvidence:
    """Track the last evidence that this failure domain is not isolated.

    A withdrawal can be submitted at the platform or at any other domain. So the domain
    is isolated unless it has recent contact with the platform, or hears every other
    domain (then nobody reaches the platform, which is an outage). A host that starts
    has no evidence of its own and uses that of its peers.
    """

    def __init__(self) -> None:
        self._last_evidence_s = _NEVER_S

    def update(
        self,
        now_s: float,
        contact_age_s: float,
        heard_s: dict[str, float],
        other_domains: Iterable[str],
        *,
        hears_own_domain: bool,
    ) -> None:
        """Update the evidence from the current observations.

        `heard_s` is the time at which each other domain was last heard.
        `hears_own_domain` is False when this host knows members of its own domain and
        hears none of them.
        """
        self._note(now_s - contact_age_s)
        if hears_own_domain:
            ages = [heard_s.get(domain, _NEVER_S) for domain in other_domains]
            self._note(min(ages, default=now_s))

    def note_peer(self, now_s: float, age_s: float) -> None:
        """Use a peer's evidence of the given age."""
        self._note(now_s - max(age_s, 0))

    def age_s(self, now_s: float) -> float:
        """Return the age of the last evidence, or infinity if there is none."""
        return now_s - self._last_evidence_s

    def isolated_for_s(self, now_s: float) -> float:
        """Return how long the domain has been isolated, or 0."""
        age_s = self.age_s(now_s)
        return age_s if age_s > EVIDENCE_VALID_S else 0

    def _note(self, evidence_s: float) -> None:
        self._last_evidence_s = max(self._last_evidence_s, evidence_s)


def isolated_at_gate_s(
    now_s: float,
    reported_s: float | None,
    isolated_for_s: float,
) -> float:
    """Return how long a gate has been isolated, from its agent's last report."""
    if reported_s is None:
        return 0
    silent_s = now_s - reported_s
    if isolated_for_s > 0:
        return isolated_for_s + silent_s
    return silent_s if silent_s > AGENT_TIMEOUT_S else 0


def may_serve(organisation: Organisation, isolated_s: float) -> bool:
    """Return whether keys of the organisation are still accepted."""
    if isolated_s <= 0:
        return True
    if organisation.isolated_keys is IsolatedKeys.REFUSE:
        return False
    return isolated_s <= organisation.serve_for_s
