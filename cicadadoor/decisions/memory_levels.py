"""Tell whether a process uses more memory than its account explains.

The account of what is held for other parties is right only if released bytes are
freed. What the process really uses shows whether they are.
"""

import enum

# Of the machine's memory.
_NEAR_LIMIT_FRACTION = 0.9
# An alert is repeated after growth by this part of the machine's memory, and ends when
# the level is as far below its threshold.
_STEP_FRACTION = 0.05


@enum.unique
class MemoryAlert(enum.Enum):
    """Name what is wrong with the memory of a process."""

    # More than the account leaves for the process itself.
    UNACCOUNTED = 'memory_unaccounted'
    # The platform ends a process that exceeds the memory of its machine.
    NEAR_LIMIT = 'memory_near_limit'


class _Threshold:
    """Report a level when it exceeds a threshold, and again for each further step."""

    __slots__ = ('_next_bytes', '_step_bytes', '_threshold_bytes')

    def __init__(self, threshold_bytes: int, step_bytes: int) -> None:
        self._threshold_bytes = threshold_bytes
        self._step_bytes = step_bytes
        self._next_bytes = threshold_bytes

    def exceeds(self, level_bytes: int) -> bool:
        if level_bytes < self._threshold_bytes - self._step_bytes:
            self._next_bytes = self._threshold_bytes
        if level_bytes <= self._next_bytes:
            return False
        self._next_bytes = level_bytes + self._step_bytes
        return True


class MemoryLevels:
    """Compare what a process uses with its account and with its machine."""

    __slots__ = ('_by_alert',)

    def __init__(self, memory_bytes: int, account_limit_bytes: int) -> None:
        step_bytes = int(memory_bytes * _STEP_FRACTION)
        near_limit_bytes = int(memory_bytes * _NEAR_LIMIT_FRACTION)
        unaccounted_bytes = memory_bytes - account_limit_bytes
        self._by_alert = {
            MemoryAlert.UNACCOUNTED: _Threshold(unaccounted_bytes, step_bytes),
            MemoryAlert.NEAR_LIMIT: _Threshold(near_limit_bytes, step_bytes),
        }

    def update(self, resident_bytes: int, held_bytes: int) -> list[MemoryAlert]:
        """Record a sample; return what has just become wrong or worse."""
        levels = {
            MemoryAlert.UNACCOUNTED: resident_bytes - held_bytes,
            MemoryAlert.NEAR_LIMIT: resident_bytes,
        }
        return [
            alert
            for alert, level_bytes in levels.items()
            if self._by_alert[alert].exceeds(level_bytes)
        ]
