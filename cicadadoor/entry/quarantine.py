"""Detect requests that crash backend servers, and refuse them."""

import math
from hashlib import blake2b

from cicadadoor.entry.heartbeats import HostHeartbeat
from cicadadoor.entry.membership import HeartbeatPart, Membership
from cicadadoor.entry.messages import CallerRequest
from cicadadoor.kernel import Kernel
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('quarantine')

# A request is refused once this many crashes were counted while it was running.
# After two crashes, the host no longer retries it itself.
CRASHES_TO_REFUSE = 3
# A crashing request is retried within seconds; crashes further apart are unrelated.
_CRASH_WINDOW_S = 20.0
_MAX_REPORTED = 64
_DIGEST_BYTES = 6


class _CrashCount:
    __slots__ = ('count', 'last_s')

    def __init__(self) -> None:
        self.count = 0
        self.last_s = -math.inf


class CrashWatch(HeartbeatPart):
    """Count connections to backend servers that broke during identical requests.

    A connection that breaks after the request was sent counts as a crash of the
    backend server.
    """

    name = 'quarantine'

    def __init__(self) -> None:
        self._timer: TimerService
        self._own: dict[int, _CrashCount] = {}
        self._others: dict[int, int] = {}

    async def start(self, kernel: Kernel) -> None:
        """Register for heartbeats."""
        self._timer = kernel.find('timer')
        membership: Membership = kernel.find('membership')
        membership.add_part(self)

    def crash_count(self, fingerprint: int) -> int:
        """Return the crashes that all hosts counted for such a request."""
        others = self._others.get(fingerprint, 0)
        own = self._own.get(fingerprint)
        return others if own is None else others + own.count

    def note_crash(self, fingerprint: int, backend_server: str) -> None:
        """Count a connection that broke while a request was running."""
        record = self._own.setdefault(fingerprint, _CrashCount())
        record.count += 1
        record.last_s = self._timer.now_s()
        if record.count == CRASHES_TO_REFUSE:
            log.warning(
                'request_quarantined',
                fingerprint=fingerprint,
                backend_server=backend_server,
            )

    def note_response(self, fingerprint: int) -> None:
        """Reset this host's count for a request that a backend server answered."""
        self._own.pop(fingerprint, None)

    def add_fields(self, fields: dict[str, object]) -> None:
        """Add the counts of the most recent fingerprints to the heartbeat."""
        oldest_s = self._timer.now_s() - _CRASH_WINDOW_S
        for fingerprint, record in list(self._own.items()):
            if record.last_s < oldest_s:
                self._own.pop(fingerprint)
        recent = sorted(
            self._own.items(),
            key=lambda item: item[1].last_s,
            reverse=True,
        )
        fields['crashes'] = {name: each.count for name, each in recent[:_MAX_REPORTED]}

    def on_heartbeats(self, heartbeats: list[HostHeartbeat]) -> None:
        """Sum the counts of the other hosts."""
        self._others = {}
        for heartbeat in heartbeats:
            for fingerprint, count in heartbeat.crashes.items():
                self._others[fingerprint] = self._others.get(fingerprint, 0) + count


def fingerprint_of(request: CallerRequest, organisation: str, body: bytes) -> int:
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
