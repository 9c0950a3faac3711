"""Decide which requests are refused because they crash backend servers.

Hosts exchange what they know as reports, which are merged: the runs of servers that
crashed are united, counts only grow, and a higher generation replaces a lower one. A
generation ends when a backend server answers such a request, because a request that
crashes every server that begins to run it is never answered.
"""

import math
from collections.abc import Iterable, Mapping
from hashlib import blake2b

import msgspec

# A request is refused once this many servers have crashed while running it. After two
# of them, the host no longer retries it itself.
CRASHES_TO_REFUSE = 3
# A request that has neither arrived nor crashed a server for this long is forgotten.
RETENTION_S = 60.0
_FIRST_PROBE_INTERVAL_S = 60.0
_MAX_PROBE_INTERVAL_S = 3600.0
# Enough to reach the longest interval, and few enough to avoid an overflow.
_MAX_DOUBLINGS = 10
# Hosts may differ for some seconds on which of them are live, so a host probes only
# after it has seen the same live hosts for this long.
_SETTLE_S = 5.0
# Ages grow by the time a report takes. If every younger age were adopted, two hosts
# would renew an entry for each other without end.
_AGE_TOLERANCE_S = 5.0
# A host that has forgotten a request does not adopt it again just before it ends.
_MAX_ADOPTED_AGE_S = RETENTION_S - 2 * _AGE_TOLERANCE_S
# Connections to several servers that break together, while all of them ran such a
# request, show a fault of the network. They count as one crash.
_SAME_MOMENT_S = 0.05
_MAX_ENTRIES = 256
_MAX_RUNS = 8
# Of each heartbeat; a report takes about 45 bytes. The worst requests are in every
# heartbeat, the others take turns.
_WORST_REPORTS = 32
_ROTATING_REPORTS = 16
_AGE_DIGITS = 2


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Tell other hosts what is known of a request.

    `runs` are hashes of the server runs that crashed. `seen_age_s` counts from its last
    arrival or crash, `probe_age_s` from the last probe or the start of the quarantine;
    the latter is None if there is no quarantine.
    """

    generation: int
    failed_probes: int
    runs: frozenset[int]
    seen_age_s: float
    probe_age_s: float | None = None


class QuarantineChange:
    """Hold the start of a quarantine, or its end with the reason."""

    __slots__ = ('crash_count', 'fingerprint', 'reason')

    def __init__(self, fingerprint: int, crash_count: int, reason: str = '') -> None:
        self.fingerprint = fingerprint
        self.crash_count = crash_count
        self.reason = reason


class _Entry:
    __slots__ = (
        'crash_s',
        'failed_probes',
        'generation',
        'is_probing',
        'probe_s',
        'runs',
        'seen_s',
    )

    def __init__(self, seen_s: float) -> None:
        self.generation = 0
        self.runs: frozenset[int] = frozenset()
        self.failed_probes = 0
        self.seen_s = seen_s
        # Time of the last crash that this host saw and counted.
        self.crash_s = -math.inf
        # Begin of the last probe or of the quarantine.
        self.probe_s = -math.inf
        self.is_probing = False

    @property
    def is_quarantined(self) -> bool:
        return len(self.runs) >= CRASHES_TO_REFUSE

    @property
    def rank(self) -> tuple[bool, int, int, float]:
        """Return a key that is higher for worse requests."""
        return self.is_quarantined, self.failed_probes, len(self.runs), self.seen_s

    @property
    def next_probe_s(self) -> float:
        doublings = min(self.failed_probes, _MAX_DOUBLINGS)
        interval_s = math.ldexp(_FIRST_PROBE_INTERVAL_S, doublings)
        return self.probe_s + min(_MAX_PROBE_INTERVAL_S, interval_s)

    def add_runs(self, runs: Iterable[int], probe_s: float) -> None:
        """Add crashed runs; `probe_s` applies if they start a quarantine."""
        was_quarantined = self.is_quarantined
        # Any bounded choice serves, as long as all hosts make the same one.
        self.runs = frozenset(sorted(self.runs.union(runs))[:_MAX_RUNS])
        if self.is_quarantined and not was_quarantined:
            self.probe_s = probe_s

    def start_generation(self, generation: int) -> None:
        """Forget the crashes of earlier generations."""
        self.generation = generation
        self.runs = frozenset()
        self.failed_probes = 0
        self.probe_s = -math.inf
        self.is_probing = False

    def report(self, now_s: float) -> CrashReport:
        """Return what to tell other hosts."""
        probe_age_s = None
        if self.is_quarantined:
            probe_age_s = round(now_s - self.probe_s, _AGE_DIGITS)
        return CrashReport(
            self.generation,
            self.failed_probes,
            self.runs,
            round(now_s - self.seen_s, _AGE_DIGITS),
            probe_age_s,
        )


class RequestQuarantine:
    """Count crashes by request fingerprint, and refuse the requests that cause them."""

    def __init__(self, own_host: int) -> None:
        self._own_host = own_host
        self._entries: dict[int, _Entry] = {}
        self._changes: list[QuarantineChange] = []
        self._rotation = 0
        self._live_hosts: frozenset[int] = frozenset()
        # Time since which this host may probe and has seen the same live hosts.
        self._settled_s = math.inf

    @property
    def active_count(self) -> int:
        """Return the number of requests that are refused."""
        return sum(1 for entry in self._entries.values() if entry.is_quarantined)

    def crash_count(self, fingerprint: int) -> int:
        """Return how many servers crashed since such a request was last answered."""
        entry = self._entries.get(fingerprint)
        return 0 if entry is None else len(entry.runs)

    def refuses(self, fingerprint: int, now_s: float) -> bool:
        """Return whether to refuse an arriving request, which renews its quarantine."""
        entry = self._entries.get(fingerprint)
        if entry is None or not entry.is_quarantined:
            return False
        if now_s - entry.seen_s > RETENTION_S:
            self._remove(fingerprint, 'not seen')
            return False
        entry.seen_s = now_s
        return not self._may_probe(fingerprint, entry, now_s)

    def begin(self, fingerprint: int, now_s: float) -> bool:
        """Record that a request which was not refused begins; return if it probes."""
        entry = self._entries.get(fingerprint)
        if entry is None or not entry.is_quarantined:
            return False
        if not self._may_probe(fingerprint, entry, now_s):
            return False
        entry.is_probing = True
        entry.probe_s = now_s
        return True

    def end_probe(self, fingerprint: int) -> None:
        """Record the end of a probe, whatever its outcome."""
        entry = self._entries.get(fingerprint)
        if entry is not None:
            entry.is_probing = False

    def note_crash(
        self, fingerprint: int, run: int, now_s: float, sent_s: float = math.inf
    ) -> None:
        """Record that a run of a server crashed while running such a request."""
        entry = self._entry(fingerprint, now_s)
        entry.seen_s = now_s
        if sent_s < entry.crash_s and now_s - entry.crash_s < _SAME_MOMENT_S:
            return
        entry.crash_s = now_s
        was_quarantined = entry.is_quarantined
        if entry.is_probing:
            entry.is_probing = False
            entry.failed_probes += 1
            entry.probe_s = now_s
        entry.add_runs((run,), now_s)
        self._note_start(fingerprint, entry, was_quarantined=was_quarantined)
        self._evict()

    def note_response(self, fingerprint: int, now_s: float) -> None:
        """Forget the crashes of a request that a backend server answered."""
        entry = self._entries.get(fingerprint)
        if entry is None or not entry.runs:
            return
        self._note_end(fingerprint, entry, 'answered')
        # The entry is kept, so that reports of other hosts do not restore the crashes.
        entry.start_generation(entry.generation + 1)
        entry.seen_s = now_s

    def update_hosts(
        self, live: frozenset[int], now_s: float, *, may_probe: bool
    ) -> None:
        """Set the other live hosts, and whether this host is in touch with enough."""
        if not may_probe:
            self._settled_s = math.inf
        elif math.isinf(self._settled_s) or live != self._live_hosts:
            self._settled_s = now_s
        self._live_hosts = live

    def expire(self, now_s: float) -> None:
        """Forget the requests that have not been seen for the retention time."""
        for fingerprint, entry in list(self._entries.items()):
            if now_s - entry.seen_s > RETENTION_S:
                self._remove(fingerprint, 'not seen')

    def reports(self, now_s: float) -> dict[int, CrashReport]:
        """Return the next reports, within the bound for one heartbeat."""
        worst_first = sorted(
            self._entries.items(), key=lambda item: item[1].rank, reverse=True
        )
        chosen = worst_first[:_WORST_REPORTS]
        rest = worst_first[_WORST_REPORTS:]
        if rest:
            first = self._rotation % len(rest)
            self._rotation = first + _ROTATING_REPORTS
            chosen += (rest[first:] + rest[:first])[:_ROTATING_REPORTS]
        return {name: entry.report(now_s) for name, entry in chosen}

    def merge(
        self,
        reports: Mapping[int, CrashReport],
        now_s: float,
        max_new_age_s: float = _MAX_ADOPTED_AGE_S,
    ) -> None:
        """Adopt what another host has just reported."""
        for fingerprint, report in reports.items():
            is_known = fingerprint in self._entries
            max_age_s = RETENTION_S if is_known else max_new_age_s
            # Also false for NaN.
            if 0 <= report.seen_age_s <= max_age_s:
                self._merge_one(fingerprint, report, now_s)
        self._evict()

    def take_changes(self) -> list[QuarantineChange]:
        """Return the quarantines that have started or ended since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _merge_one(self, fingerprint: int, report: CrashReport, now_s: float) -> None:
        seen_s = now_s - report.seen_age_s
        entry = self._entry(fingerprint, seen_s)
        if report.generation < entry.generation:
            return
        was_quarantined = entry.is_quarantined
        if report.generation > entry.generation:
            self._note_end(fingerprint, entry, 'answered at another host')
            was_quarantined = False
            entry.start_generation(report.generation)
        if seen_s > entry.seen_s + _AGE_TOLERANCE_S:
            entry.seen_s = seen_s
        entry.failed_probes = max(entry.failed_probes, report.failed_probes)
        probe_s = now_s - max(0.0, report.probe_age_s or 0.0)
        entry.add_runs(report.runs, probe_s)
        if report.probe_age_s is not None and not entry.is_probing:
            if probe_s > entry.probe_s + _AGE_TOLERANCE_S:
                entry.probe_s = probe_s
        self._note_start(fingerprint, entry, was_quarantined=was_quarantined)

    def _may_probe(self, fingerprint: int, entry: _Entry, now_s: float) -> bool:
        if entry.is_probing or now_s < entry.next_probe_s:
            return False
        if now_s - self._settled_s < _SETTLE_S:
            return False
        own_weight = _weight(fingerprint, self._own_host)
        return all(own_weight > _weight(fingerprint, host) for host in self._live_hosts)

    def _entry(self, fingerprint: int, seen_s: float) -> _Entry:
        entry = self._entries.get(fingerprint)
        if entry is None:
            entry = _Entry(seen_s)
            self._entries[fingerprint] = entry
        return entry

    def _evict(self) -> None:
        excess = len(self._entries) - _MAX_ENTRIES
        if excess <= 0:
            return
        mildest_first = sorted(self._entries, key=lambda name: self._entries[name].rank)
        for fingerprint in mildest_first[:excess]:
            self._remove(fingerprint, 'evicted by worse requests')

    def _remove(self, fingerprint: int, reason: str) -> None:
        self._note_end(fingerprint, self._entries.pop(fingerprint), reason)

    def _note_start(
        self, fingerprint: int, entry: _Entry, *, was_quarantined: bool
    ) -> None:
        if entry.is_quarantined and not was_quarantined:
            self._changes.append(QuarantineChange(fingerprint, len(entry.runs)))

    def _note_end(self, fingerprint: int, entry: _Entry, reason: str) -> None:
        if entry.is_quarantined:
            self._changes.append(QuarantineChange(fingerprint, len(entry.runs), reason))


def merge_reports(
    by_host: Iterable[Mapping[int, CrashReport]],
) -> dict[int, CrashReport]:
    """Return the reports of several hosts as one, within the bound for a heartbeat."""
    merged = RequestQuarantine(0)
    for reports in by_host:
        merged.merge(reports, 0, RETENTION_S)
    return merged.reports(0)


def _weight(fingerprint: int, host: int) -> bytes:
    return blake2b(f'{fingerprint}:{host}'.encode(), digest_size=8).digest()
