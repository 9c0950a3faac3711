"""Report and reclaim memory that the account of the host does not explain."""

import gc
import math
from collections.abc import Callable

from cicadadoor.decisions.memory_levels import MemoryAlert, MemoryLevels
from cicadadoor.entry.state import EntryState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.memory_tuning import return_free_blocks
from cicadadoor.telemetry import logs, metrics
from cicadadoor.telemetry.process_memory import resident_bytes
from cicadadoor.timer import TimerService

log = logs.logger('memory')

# A host receives about 30 MB in this time.
_SAMPLE_PERIOD_S = 0.25
# A collection holds up the event loop for tens of milliseconds.
_RECLAIM_INTERVAL_S = 5.0
_BYTES_PER_MB = 1_000_000


class MemoryWatch(Service):
    """Compare the memory that the process uses with its account."""

    name = 'memory_watch'

    def __init__(self, read_resident_bytes: Callable[[], int] = resident_bytes) -> None:
        self._read_resident_bytes = read_resident_bytes
        self._state: EntryState
        self._timer: TimerService
        self._levels: MemoryLevels
        self._memory_bytes = 0
        # What the account leaves for the process itself.
        self._allowance_bytes = 0
        self._used_bytes = 0
        self._peak_bytes = 0
        self._next_reclaim_s = -math.inf

    async def start(self, kernel: Kernel) -> None:
        """Sample periodically."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._memory_bytes = int(self._state.settings.memory_mb * _BYTES_PER_MB)
        account_limit_bytes = self._state.account.limit_bytes
        self._allowance_bytes = self._memory_bytes - account_limit_bytes
        self._levels = MemoryLevels(self._memory_bytes, account_limit_bytes)
        self._timer.subscribe('memory_watch', _SAMPLE_PERIOD_S, self._sample)

    @property
    def used_percent(self) -> int | None:
        """Return the used part of the machine's memory, or None if it is unknown."""
        if not self._used_bytes:
            return None
        return round(100 * self._used_bytes / self._memory_bytes)

    async def stop(self, grace_s: float) -> None:
        """Log the highest sample."""
        log.info('memory_peak', resident_bytes=self._peak_bytes)

    async def _sample(self) -> None:
        account = self._state.account
        used_bytes = self._read_resident_bytes()
        self._peak_bytes = max(self._peak_bytes, used_bytes)
        for alert in self._levels.update(used_bytes, account.held_bytes):
            self._report(alert, used_bytes)
            is_unaccounted = alert is MemoryAlert.UNACCOUNTED
            if is_unaccounted and self._timer.now_s() >= self._next_reclaim_s:
                used_bytes = self._reclaim(used_bytes)
        unaccounted_bytes = used_bytes - account.held_bytes
        # Holding less for others is better than being ended with all of it.
        account.note_excess(max(0, unaccounted_bytes - self._allowance_bytes))
        self._used_bytes = used_bytes
        metrics.RESIDENT_BYTES.set(used_bytes)
        metrics.UNACCOUNTED_BYTES.set(unaccounted_bytes)

    def _reclaim(self, used_bytes: int) -> int:
        """Free what nothing refers to; return the memory that is used then."""
        objects = gc.collect()
        return_free_blocks()
        self._next_reclaim_s = self._timer.now_s() + _RECLAIM_INTERVAL_S
        left_bytes = self._read_resident_bytes()
        log.warning(
            'memory_reclaimed', objects=objects, freed_bytes=used_bytes - left_bytes
        )
        return left_bytes

    def _report(self, alert: MemoryAlert, used_bytes: int) -> None:
        account = self._state.account
        by_kind = {
            f'{kind}_bytes': held_bytes
            for kind, held_bytes in account.held_by_kind().items()
        }
        log.warning(
            alert.value,
            resident_bytes=used_bytes,
            memory_bytes=self._memory_bytes,
            held_bytes=account.held_bytes,
            limit_bytes=account.limit_bytes,
            evictions=account.evictions,
            uncollected_objects=sum(gc.get_count()),
            **by_kind,
        )
