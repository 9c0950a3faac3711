"""Find the requests that crash backend servers, by what deaths have in common."""

# Deaths further apart than this are not taken as one request's doing.
DEATH_WINDOW_S = 600.0
QUARANTINE_S = 600.0
SUSPECT_DEATHS = 2
_MAX_FINGERPRINTS = 20_000


class CrashTracker:
    """Count for each fingerprint the deaths it was in flight at.

    A fingerprint that two deaths share is a suspect. Only a death while it runs alone
    on a backend server convicts it, because an innocent request that is often in
    flight shares deaths as well. A run alone that ends otherwise clears it.
    """

    __slots__ = ('_quarantined_until_s', '_deaths')

    def __init__(self) -> None:
        self._deaths: dict[str, list[float]] = {}
        self._quarantined_until_s: dict[str, float] = {}

    def note_death(self, in_flight: set[str], now_s: float) -> None:
        """Record that a backend server died with these fingerprints in flight."""
        oldest_s = now_s - DEATH_WINDOW_S
        for fingerprint in in_flight:
            deaths = self._deaths.pop(fingerprint, [])
            recent = [died_s for died_s in deaths if died_s > oldest_s]
            self._deaths[fingerprint] = [*recent[-SUSPECT_DEATHS:], now_s]
        while len(self._deaths) > _MAX_FINGERPRINTS:
            self._deaths.pop(next(iter(self._deaths)))

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Tell whether the fingerprint has to run alone."""
        oldest_s = now_s - DEATH_WINDOW_S
        deaths = self._deaths.get(fingerprint, ())
        return sum(died_s > oldest_s for died_s in deaths) >= SUSPECT_DEATHS

    def clear(self, fingerprint: str) -> None:
        """Record that the suspect ran alone and its backend server went on."""
        self._deaths.pop(fingerprint, None)

    def start_quarantine(self, fingerprint: str, until_s: float) -> bool:
        """Refuse the fingerprint until then; tell whether it was not refused yet.

        A known conviction keeps its end, so that hosts that tell each other of it do
        not prolong it.
        """
        self._deaths.pop(fingerprint, None)
        if fingerprint in self._quarantined_until_s:
            return False
        self._quarantined_until_s[fingerprint] = until_s
        return True

    def quarantined_until_s(self, fingerprint: str, now_s: float) -> float:
        """Return until when the fingerprint is refused, or 0 if it is not."""
        return self.convictions(now_s).get(fingerprint, 0)

    def convictions(self, now_s: float) -> dict[str, float]:
        """Return all fingerprints that are refused, and until when."""
        expired = [
            name
            for name, until_s in self._quarantined_until_s.items()
            if until_s <= now_s
        ]
        for fingerprint in expired:
            self._quarantined_until_s.pop(fingerprint)
        return self._quarantined_until_s

    def has_entries(self) -> bool:
        """Tell whether there is anything to compare a request with."""
        return bool(self._deaths or self._quarantined_until_s)
