"""Eject backend servers that fail requests, and readmit them after a good probe."""

from collections.abc import Sequence

MAX_EJECTED_SHARE = 0.5
# If at least this share of the servers looks bad, the gate's own measurement is
# more likely at fault, and no server is ejected.
SUSPECT_SHARE = 0.8
_EJECT_CONSECUTIVE_BAD = 3
_MIN_SAMPLES = 10
_EJECT_BAD_RATIO = 0.5
_GAIN = 0.1
_MIN_EJECTION_S = 5.0
_MAX_EJECTION_S = 60.0


class _ServerRecord:
    __slots__ = ('consecutive_bad', 'bad_ratio', 'bad_since_s', 'samples', 'ejection_s')

    def __init__(self) -> None:
        self.consecutive_bad = 0
        self.bad_ratio = 0.0
        self.samples = 0
        self.bad_since_s: float | None = None
        self.ejection_s = _MIN_EJECTION_S


class EjectionTable:
    """Track which backend servers one gate ejects; times are on the boot clock."""

    def __init__(self) -> None:
        self._records: dict[str, _ServerRecord] = {}

    def note_result(self, server: str, *, is_bad: bool, now_s: float) -> None:
        """Record the outcome of one request."""
        record = self._records.setdefault(server, _ServerRecord())
        record.samples += 1
        record.consecutive_bad = record.consecutive_bad + 1 if is_bad else 0
        record.bad_ratio += _GAIN * (int(is_bad) - record.bad_ratio)
        has_samples = record.samples >= _MIN_SAMPLES
        looks_bad = record.consecutive_bad >= _EJECT_CONSECUTIVE_BAD or (
            has_samples and record.bad_ratio >= _EJECT_BAD_RATIO
        )
        if looks_bad and record.bad_since_s is None:
            record.bad_since_s = now_s

    def note_probe(self, server: str, *, is_good: bool, now_s: float) -> bool:
        """Record the outcome of a probe; return whether the server is usable again."""
        record = self._records.get(server)
        if record is None or record.bad_since_s is None:
            return False
        if not is_good or now_s < record.bad_since_s + record.ejection_s:
            return False
        readmitted = _ServerRecord()
        # A health endpoint may report good health wrongly, so each further ejection
        # lasts longer.
        readmitted.ejection_s = min(_MAX_EJECTION_S, 2 * record.ejection_s)
        self._records[server] = readmitted
        return True

    def ejected(self, servers: Sequence[str]) -> frozenset[str]:
        """Return the ejected servers among those of one service and domain.

        At most half are ejected, starting with those that have been bad longest. None
        is ejected if nearly all look bad, because then the measurement is suspect.
        """
        bad = [name for name in servers if self._bad_since_s(name) is not None]
        if not bad or len(bad) >= SUSPECT_SHARE * len(servers):
            return frozenset()
        bad.sort(key=self._bad_since_s)
        return frozenset(bad[: int(MAX_EJECTED_SHARE * len(servers))])

    def forget(self, present: frozenset[str]) -> None:
        """Remove servers that are no longer configured."""
        for name in set(self._records) - present:
            self._records.pop(name)

    def _bad_since_s(self, server: str) -> float | None:
        record = self._records.get(server)
        return record.bad_since_s if record else None
