"""Detect requests that crash backend servers, and refuse them."""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from hashlib import blake2b

import msgspec

from cicadadoor.decisions.request_quarantine import (
    CRASHES_TO_REFUSE,
    CrashReport,
    RequestQuarantine,
)
from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.heartbeats import HostHeartbeat, name_hash, runs_of
from cicadadoor.entry.membership import HeartbeatPart, Membership
from cicadadoor.entry.messages import CallerRequest
from cicadadoor.entry.model import HostRecord
from cicadadoor.entry.state import EntryState
from cicadadoor.kernel import Kernel
from cicadadoor.telemetry import logs, metrics
from cicadadoor.timer import TimerService

log = logs.logger('quarantine')

# A host that has started waits this long for the quarantines that the others hold.
_TAKEOVER_TIMEOUT_S = 1.0
# Hosts beyond a region tell of themselves once a second at most.
_HOSTS_INTERVAL_S = 0.5
_DIGEST_BYTES = 6
# Of the record that a host keeps in the store; a quarantine takes about 60 bytes.
_MAX_STORED = 8


class CrashWatch(HeartbeatPart):
    """Count the backend servers whose connections broke during identical requests.

    A connection that breaks after the request was sent counts as a crash of that run of
    the server. Further ones to the same run are not counted: a server that resets its
    connections for a while would otherwise hold back every request.
    """

    name = 'quarantine'

    def __init__(self) -> None:
        self._timer: TimerService
        self._membership: Membership
        self._quarantine: RequestQuarantine
        self._started_s = 0.0
        self._has_heard_all = False
        self._hosts_updated_s = -math.inf
        # Heartbeats that have been merged, by host.
        self._merged: dict[str, tuple[str, int]] = {}
        # Requests that crashed a server while this host waited for the answer.
        self._crashed_here: set[int] = set()

    async def start(self, kernel: Kernel) -> None:
        """Register for heartbeats."""
        state: EntryState = kernel.find('state')
        self._timer = kernel.find('timer')
        self._membership = kernel.find('membership')
        self._quarantine = RequestQuarantine(name_hash(state.settings.host))
        self._started_s = self._timer.now_s()
        self._membership.add_part(self)

    @property
    def is_informed(self) -> bool:
        """Return whether this host knows the quarantines, or has waited for them."""
        waited_s = self._timer.now_s() - self._started_s
        return self._has_heard_all or waited_s >= _TAKEOVER_TIMEOUT_S

    def crash_count(self, fingerprint: int) -> int:
        """Return how many servers crashed at any host while running such a request."""
        return self._quarantine.crash_count(fingerprint)

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether such requests are refused, apart from probes."""
        return self.crash_count(fingerprint) >= CRASHES_TO_REFUSE

    def refuses(self, fingerprint: int) -> bool:
        """Return whether to refuse an arriving request, which renews its quarantine."""
        is_refused = self._quarantine.refuses(fingerprint, self._timer.now_s())
        self._publish_changes()
        return is_refused

    @contextmanager
    def running(self, fingerprint: int) -> Iterator[bool]:
        """Track a request that was not refused; yield whether it is a probe."""
        is_probe = self._quarantine.begin(fingerprint, self._timer.now_s())
        if not is_probe:
            yield False
            return
        metrics.QUARANTINE_PROBES.inc()
        log.info('quarantine_probe_sent', fingerprint=fingerprint)
        try:
            yield True
        finally:
            self._quarantine.end_probe(fingerprint)

    def note_crash(self, fingerprint: int, backend: Backend, took_s: float) -> None:
        """Record a connection that broke `took_s` after a request was sent."""
        run = name_hash(backend.pool_key)
        now_s = self._timer.now_s()
        self._crashed_here.add(fingerprint)
        self._quarantine.note_crash(fingerprint, run, now_s, now_s - took_s)
        self._publish_changes()

    def note_response(self, fingerprint: int) -> None:
        """Forget the crashes of a request that a backend server answered."""
        self._quarantine.note_response(fingerprint, self._timer.now_s())
        self._publish_changes()

    @property
    def has_quarantines(self) -> bool:
        """Tell whether any request is quarantined."""
        return self._quarantine.active_count > 0

    def quarantines(self, *, only_seen: bool) -> dict[int, CrashReport]:
        """Return the worst quarantines, of crashes that this host saw or of all."""
        reports = self._quarantine.reports(self._timer.now_s())
        self._crashed_here.intersection_update(reports)
        held = [
            (fingerprint, report)
            for fingerprint, report in reports.items()
            if report.probe_age_s is not None
            and (fingerprint in self._crashed_here or not only_seen)
        ]
        return dict(held[:_MAX_STORED])

    def adopt_stored(self, record: HostRecord) -> None:
        """Merge the quarantines that a host has stored, perhaps before it ended."""
        away_s = max(0.0, self._timer.wall_s() - record.written_s)
        reports = {
            fingerprint: msgspec.structs.replace(
                report, seen_age_s=report.seen_age_s + away_s
            )
            for fingerprint, report in record.quarantines.items()
        }
        self._quarantine.merge(reports, self._timer.now_s())
        self._publish_changes()

    def add_fields(self, fields: dict[str, object]) -> None:
        """Add what this host knows of crashes to the heartbeat."""
        reports = self._quarantine.reports(self._timer.now_s())
        fields['quarantines'] = reports
        fields['crashes'] = runs_of(reports)

    def on_tick(self, heartbeats: list[HostHeartbeat]) -> None:
        """Merge what the other hosts know, and forget what has ended."""
        now_s = self._timer.now_s()
        if now_s - self._hosts_updated_s >= _HOSTS_INTERVAL_S:
            self._hosts_updated_s = now_s
            self._update_hosts(now_s)
        unseen = [
            each
            for each in heartbeats
            if self._merged.get(each.host) != (each.instance, each.number)
        ]
        self._merged = {each.host: (each.instance, each.number) for each in heartbeats}
        # Ages were right when the heartbeat was sent, so each one is merged only once.
        for heartbeat in unseen:
            self._quarantine.merge(_reports_of(heartbeat), now_s)
        self._quarantine.expire(now_s)
        self._publish_changes()

    def on_unlisted_heartbeat(self, heartbeat: HostHeartbeat) -> None:
        """Merge what a host knows that is not in the list as this one has read it."""
        # A host that has started reads no list while the store is silent.
        self._quarantine.merge(_reports_of(heartbeat), self._timer.now_s())
        self._publish_changes()

    def _update_hosts(self, now_s: float) -> None:
        membership = self._membership
        heard = membership.peers.heard(now_s)
        is_alone = membership.host_count == 1
        is_isolated = 2 * len(heard) < len(membership.peers)
        if is_alone:
            self._has_heard_all = self._has_heard_all or membership.is_listed
        elif heard and len(heard) == len(membership.peers):
            self._has_heard_all = True
        self._quarantine.update_hosts(
            frozenset(peer.name_hash for peer in heard),
            now_s,
            may_probe=is_alone or (bool(heard) and not is_isolated),
        )

    def _publish_changes(self) -> None:
        changes = self._quarantine.take_changes()
        for change in changes:
            if change.reason:
                log.info(
                    'quarantine_ended',
                    fingerprint=change.fingerprint,
                    crashes=change.crash_count,
                    reason=change.reason,
                )
            else:
                log.warning(
                    'quarantine_started',
                    fingerprint=change.fingerprint,
                    crashes=change.crash_count,
                )
        if changes:
            metrics.QUARANTINES.set(self._quarantine.active_count)


def _reports_of(heartbeat: HostHeartbeat) -> dict[int, CrashReport]:
    if heartbeat.quarantines is not None:
        return heartbeat.quarantines
    # From an older host, which reports the crashes of the last seconds.
    return {
        fingerprint: CrashReport(0, 0, runs, 0)
        for fingerprint, runs in heartbeat.crashes.items()
    }


def fingerprint_of(
    request: CallerRequest, organisation: str, body: bytes | bytearray
) -> int:
    """Return a hash of the request that is the same for its retries."""
    hashed = blake2b(digest_size=_DIGEST_BYTES)
    for part in (
        request.method.encode(),
        request.host_name.encode(),
        request.target,
        organisation.encode(),
        body,
    ):
        hashed.update(b'%d:' % len(part))
        hashed.update(part)
    return int.from_bytes(hashed.digest(), 'big')
