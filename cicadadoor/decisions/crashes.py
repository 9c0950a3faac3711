"""Find the requests that crash backend servers and quarantine them."""

# Crashes further apart than this are not attributed to the same request.
CRASH_WINDOW_S = 600.0
QUARANTINE_S = 600.0
SUSPECT_CRASHES = 2
_MAX_FINGERPRINTS = 20_000


class CrashTracker:
    """Count for each request fingerprint the crashes during which it was in flight.

    A fingerprint that was in flight at two crashes is a suspect and has to run alone
    on a backend server. It is quarantined only if the server crashes then, because a
    harmless request that is often in flight also coincides with crashes. If the server
    survives, the fingerprint is cleared.
    """

    __slots__ = ('_quarantined_until_s', '_crashed_s')

    def __init__(self) -> None:
        self._crashed_s: dict[str, list[float]] = {}
        self._quarantined_until_s: dict[str, float] = {}

    def note_crash(self, in_flight: set[str], now_s: float) -> None:
        """Record that a backend server crashed with these fingerprints in flight."""
        oldest_s = now_s - CRASH_WINDOW_S
        for fingerprint in in_flight:
            crashed_s = self._crashed_s.pop(fingerprint, [])
            recent = [time_s for time_s in crashed_s if time_s > oldest_s]
            self._crashed_s[fingerprint] = [*recent[-SUSPECT_CRASHES:], now_s]
        while len(self._crashed_s) > _MAX_FINGERPRINTS:
            self._crashed_s.pop(next(iter(self._crashed_s)))

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the fingerprint has to run alone."""
        oldest_s = now_s - CRASH_WINDOW_S
        crashed_s = self._crashed_s.get(fingerprint, ())
        return sum(time_s > oldest_s for time_s in crashed_s) >= SUSPECT_CRASHES

    def clear(self, fingerprint: str) -> None:
        """Clear a suspect that ran alone without a crash of the backend server."""
        self._crashed_s.pop(fingerprint, None)

    def start_quarantine(self, fingerprint: str, until_s: float) -> bool:
        """Refuse the fingerprint until `until_s`; return whether this is new.

        A quarantine in force keeps its end, so that hosts that report it to each
        other do not prolong it.
        """
        self._crashed_s.pop(fingerprint, None)
        if fingerprint in self._quarantined_until_s:
            return False
        self._quarantined_until_s[fingerprint] = until_s
        return True

    def quarantined_until_s(self, fingerprint: str, now_s: float) -> float:
        """Return the time until which the fingerprint is refused, or 0."""
        return self.active_quarantines(now_s).get(fingerprint, 0)

    def active_quarantines(self, now_s: float) -> dict[str, float]:
        """Return the quarantined fingerprints with the end of each quarantine."""
        expired = [
            name
            for name, until_s in self._quarantined_until_s.items()
            if until_s <= now_s
        ]
        for fingerprint in expired:
            self._quarantined_until_s.pop(fingerprint)
        return self._quarantined_until_s

    def has_entries(self) -> bool:
        """Return whether any fingerprint is tracked or quarantined."""
        return bool(self._crashed_s or self._quarantined_until_s)
