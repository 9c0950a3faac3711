"""Stand in for a machine that ends a process once it exceeds its memory."""

import os
import signal
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import Self

from tests.utils.process_memory import resident_bytes

_SAMPLE_S = 0.01
_SOCKET = 'socket:['
_QUEUES_COLUMN = 4
_INODE_COLUMN = 9


class MachineMemory:
    """Sample the resident memory and unread bytes of a process from a thread.

    A thread keeps sampling while the event loop of the test is busy with sending.
    """

    def __init__(self, pid: int, limit_bytes: int) -> None:
        self.peak_bytes = 0
        self.peak_unread_bytes = 0
        self.has_killed = False
        self._pid = pid
        self._limit_bytes = limit_bytes
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def __enter__(self) -> Self:
        """Begin to sample."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End sampling, so that no later process with the same id is ended."""
        self._is_stopped.set()
        self._thread.join()

    def _watch(self) -> None:
        with suppress(OSError):
            while not self._is_stopped.is_set() and not self.has_killed:
                self._sample()
                time.sleep(_SAMPLE_S)

    def _sample(self) -> None:
        unread_bytes = _unread_bytes(self._pid)
        used_bytes = resident_bytes(self._pid) + unread_bytes
        self.peak_unread_bytes = max(self.peak_unread_bytes, unread_bytes)
        self.peak_bytes = max(self.peak_bytes, used_bytes)
        if used_bytes > self._limit_bytes:
            self.has_killed = True
            os.kill(self._pid, signal.SIGKILL)


def _unread_bytes(pid: int) -> int:
    """Return the bytes that the kernel holds for the process to read."""
    inodes = set()
    for entry in Path(f'/proc/{pid}/fd').iterdir():
        # The process may have closed it.
        with suppress(FileNotFoundError):
            target = str(entry.readlink())
            if target.startswith(_SOCKET):
                inodes.add(target[len(_SOCKET) : -1])
    unread_bytes = 0
    for line in Path(f'/proc/{pid}/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        # The queue of a listener counts connections.
        if fields[_INODE_COLUMN] in inodes and fields[3] != '0A':
            unread_bytes += int(fields[_QUEUES_COLUMN].partition(':')[2], 16)
    return unread_bytes
