"""Watch the processes of hosts as the platform does."""

import time
from contextlib import suppress

import anyio

from tests.soak.fleet import MEMORY_MB, Fleet
from tests.utils.process_memory import peak_resident_bytes

_SAMPLE_S = 0.03
_BYTES_PER_MB = 1_000_000
_FAULT_LINE = 'ended_by_fault'


class HostWatch:
    """Check the memory of all hosts, and that none ends by itself."""

    def __init__(self, fleet: Fleet) -> None:
        self.peak_bytes = 0
        # How late the event loop of the soak has woken up at most.
        self.max_late_s = 0.0
        self._fleet = fleet
        # Highest resident memory by the name of the host and the id of the process.
        self._peaks_bytes: dict[tuple[str, int], int] = {}

    async def run(self) -> None:
        """Sample all hosts until cancelled."""
        while True:
            self.sample()
            due_s = time.monotonic() + _SAMPLE_S
            await anyio.sleep(_SAMPLE_S)
            self.max_late_s = max(self.max_late_s, time.monotonic() - due_s)

    def sample(self) -> None:
        """Check each host once."""
        for host in self._fleet.hosts:
            host.process.check_end()
            pid = host.process.pid
            # The process may have ended.
            with suppress(OSError):
                peak_bytes = peak_resident_bytes(pid)
                self.peak_bytes = max(self.peak_bytes, peak_bytes)
                seen_bytes = self._peaks_bytes.get((host.name, pid), 0)
                self._peaks_bytes[host.name, pid] = max(seen_bytes, peak_bytes)

    def find_violations(self) -> list[str]:
        """Return a line for each process that the platform or a fault has ended."""
        found = [
            f'{name}: resident memory of process {pid} reached '
            f'{peak_bytes / _BYTES_PER_MB:.0f} MB of {MEMORY_MB} MB'
            for (name, pid), peak_bytes in self._peaks_bytes.items()
            if peak_bytes > MEMORY_MB * _BYTES_PER_MB
        ]
        for host in self._fleet.hosts:
            found.extend(host.process.violations)
            if _FAULT_LINE in host.process.log_text():
                found.append(f'{host.name}: {_FAULT_LINE} in its log')
        return found
