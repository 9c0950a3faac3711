"""Detect requests that crash backend servers, and refuse them."""

import math
from hashlib import blake2b

from cicadadoor.decisions.domain_summaries import union_by_key
from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.heartbeats import HostHeartbeat, name_hash
from cicadadoor.entry.membership import HeartbeatPart, Membership
from cicadadoor.entry.messages import CallerRequest
from cicadadoor.kernel import Kernel
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('quarantine')

# A request is refused once this many servers have crashed while running it. After two
# of them, the host no longer retries it itself.
CRASHES_TO_REFUSE = 3
# A crashing request is retried within seconds; crashes further apart are unrelated.
_CRASH_WINDOW_S = 20.0
_MAX_REPORTED = 64
_DIGEST_BYTES = 6


class _CrashedServers:
    __slots__ = ('last_s', 'runs')

    def __init__(self) -> None:
        # Hashes of the runs of servers.
        self.runs: set[int] = set()
        self.last_s = -math.inf


class CrashWatch(HeartbeatPart):
    """Count the backend servers whose connections broke during identical requests.

    A connection that breaks after the request was sent counts as a crash of that run of
    the server. Further ones to the same run are not counted: a server that resets its
    connections for a while would otherwise hold back every request.
    """

    name = 'quarantine'

    def __init__(self) -> None:
        self._timer: TimerService
        self._own: dict[int, _CrashedServers] = {}
        self._others: dict[int, frozenset[int]] = {}

    async def start(self, kernel: Kernel) -> None:
        """Register for heartbeats."""
        self._timer = kernel.find('timer')
        membership: Membership = kernel.find('membership')
        membership.add_part(self)

    def crash_count(self, fingerprint: int) -> int:
        """Return how many servers crashed at any host while running such a request."""
        others = self._others.get(fingerprint, frozenset())
        own = self._own.get(fingerprint)
        return len(others) if own is None else len(others | own.runs)

    def note_crash(self, fingerprint: int, backend: Backend) -> None:
        """Record a connection that broke while a request was running."""
        record = self._own.setdefault(fingerprint, _CrashedServers())
        record.runs.add(name_hash(backend.pool_key))
        record.last_s = self._timer.now_s()
        if len(record.runs) == CRASHES_TO_REFUSE:
            log.warning(
                'request_quarantined',
                fingerprint=fingerprint,
                backend_server=backend.record.instance_id,
            )

    def note_response(self, fingerprint: int) -> None:
        """Forget this host's crashes for a request that a backend server answered."""
        self._own.pop(fingerprint, None)

    def add_fields(self, fields: dict[str, object]) -> None:
        """Add the crashes of the most recent fingerprints to the heartbeat."""
        oldest_s = self._timer.now_s() - _CRASH_WINDOW_S
        for fingerprint, record in list(self._own.items()):
            if record.last_s < oldest_s:
                self._own.pop(fingerprint)
        recent = sorted(
            self._own.items(),
            key=lambda item: item[1].last_s,
            reverse=True,
        )
        fields['crashes'] = {
            fingerprint: frozenset(each.runs)
            for fingerprint, each in recent[:_MAX_REPORTED]
        }

    def on_heartbeats(self, heartbeats: list[HostHeartbeat]) -> None:
        """Store the crashes that the other hosts saw."""
        self._others = union_by_key(heartbeat.crashes for heartbeat in heartbeats)


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
