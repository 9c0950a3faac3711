"""Read how much memory a process uses."""

from pathlib import Path

_BYTES_PER_KIB = 1024


def peak_resident_bytes(pid: int) -> int:
    """Return the highest resident memory of a process; raise OSError if it is gone."""
    peak_bytes = 0
    for line in (Path('/proc') / str(pid) / 'status').read_text().splitlines():
        name, _, text = line.partition(':')
        if name in {'VmHWM', 'VmRSS'}:
            peak_bytes = max(peak_bytes, int(text.split()[0]) * _BYTES_PER_KIB)
    return peak_bytes


def resident_bytes(pid: int) -> int:
    """Return the present resident memory of a process; raise OSError if it is gone."""
    for line in (Path('/proc') / str(pid) / 'status').read_text().splitlines():
        name, _, text = line.partition(':')
        if name == 'VmRSS':
            return int(text.split()[0]) * _BYTES_PER_KIB
    return 0
