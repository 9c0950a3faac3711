"""Share among the hosts of a region which objects backend servers have cached."""

from collections import deque

from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.backends import Backends
from cicadadoor.entry.heartbeats import HostHeartbeat, name_hash
from cicadadoor.entry.membership import HeartbeatPart, Membership
from cicadadoor.kernel import Kernel
from cicadadoor.timer import TimerService

# Each object is reported in this many heartbeats, since one may be lost or replaced by
# the next one before it is read.
_REPORT_HEARTBEATS = 3


class CacheReports(HeartbeatPart):
    """Report newly cached objects, so that other hosts need not have them loaded."""

    name = 'learning'

    def __init__(self) -> None:
        self._timer: TimerService
        self._backends: Backends
        self._membership: Membership
        # Time, name hash of the backend server and hash of the object key.
        self._reported: deque[tuple[float, int, int]] = deque()

    async def start(self, kernel: Kernel) -> None:
        """Register for heartbeats."""
        self._timer = kernel.find('timer')
        self._backends = kernel.find('backends')
        self._membership = kernel.find('membership')
        self._membership.add_part(self)

    def note(self, backend: Backend, object_key: str) -> None:
        """Record that a backend server has loaded an object."""
        now_s = self._timer.now_s()
        self._reported.append((now_s, backend.name_hash, name_hash(object_key)))

    def add_fields(self, fields: dict[str, object]) -> None:
        """Add the objects that were loaded during the last heartbeats."""
        report_window_s = (
            _REPORT_HEARTBEATS * self._membership.peers.heartbeat_interval_s
        )
        oldest_s = self._timer.now_s() - report_window_s
        while self._reported and self._reported[0][0] < oldest_s:
            self._reported.popleft()
        fields['learned'] = tuple(
            hash_value for _, *pair in self._reported for hash_value in pair
        )

    def on_heartbeats(self, heartbeats: list[HostHeartbeat]) -> None:
        """Apply the objects that servers have loaded for other hosts."""
        for heartbeat in heartbeats:
            pairs = zip(heartbeat.learned[::2], heartbeat.learned[1::2], strict=False)
            for server_hash, object_hash in pairs:
                backend = self._backends.find_by_name_hash(server_hash)
                if backend is not None:
                    backend.cached_objects.add_from_peer(object_hash)
