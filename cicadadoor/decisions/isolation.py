"""Tell a domain that is cut off from everything from an outage of the platform."""

from collections.abc import Iterable

from cicadadoor.config.model import IsolatedKeys, Organisation

# Word of other domains passes through several hosts, each of which tells a few
# domains a second.
EVIDENCE_VALID_S = 30.0
# An agent that restarts is back within this time. After it, withdrawals do not reach
# the gate any more, and the gate is as good as cut off.
AGENT_TIMEOUT_S = 30.0
_NEVER_S = float('-inf')


class IsolationEvidence:
    """Remember when it was last shown that this domain is not cut off.

    A withdrawal can be handed in at the platform or at any other domain. So the
    domain is cut off unless it has word of the platform, or hears every other domain
    (then nobody reaches the platform, which is an outage). A host that starts knows
    nothing, and takes the evidence of its peers.
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
        """Weigh what is known now.

        `heard_s` tells when each other domain was heard. `hears_own_domain` is False
        when this host knows members of its own domain and hears none of them.
        """
        self._note(now_s - contact_age_s)
        if hears_own_domain:
            ages = [heard_s.get(domain, _NEVER_S) for domain in other_domains]
            self._note(min(ages, default=now_s))

    def note_peer(self, now_s: float, age_s: float) -> None:
        """Take the age of a peer's evidence."""
        self._note(now_s - max(age_s, 0))

    def age_s(self, now_s: float) -> float:
        """Return the age of the last evidence, infinity if there is none."""
        return now_s - self._last_evidence_s

    def isolated_for_s(self, now_s: float) -> float:
        """Return for how long the domain is cut off, 0 if it is not."""
        age_s = self.age_s(now_s)
        return age_s if age_s > EVIDENCE_VALID_S else 0

    def _note(self, evidence_s: float) -> None:
        self._last_evidence_s = max(self._last_evidence_s, evidence_s)


def isolated_at_gate_s(
    now_s: float,
    reported_s: float | None,
    isolated_for_s: float,
) -> float:
    """Return for how long a gate is cut off, from what its agent told it and when."""
    if reported_s is None:
        return 0
    silent_s = now_s - reported_s
    if isolated_for_s > 0:
        return isolated_for_s + silent_s
    return silent_s if silent_s > AGENT_TIMEOUT_S else 0


def may_serve(organisation: Organisation, isolated_s: float) -> bool:
    """Tell whether keys of the organisation are still taken."""
    if isolated_s <= 0:
        return True
    if organisation.isolated_keys is IsolatedKeys.REFUSE:
        return False
    return isolated_s <= organisation.serve_for_s
