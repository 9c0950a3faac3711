"""Read how much memory the process uses."""

import os
from contextlib import suppress
from pathlib import Path

_STATM = Path('/proc/self/statm')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def resident_bytes() -> int:
    """Return the resident memory of the process, or 0 if it can't be read."""
    with suppress(OSError, ValueError, IndexError):
        return int(_STATM.read_text().split()[1]) * _PAGE_BYTES
    return 0
