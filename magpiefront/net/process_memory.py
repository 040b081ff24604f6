"""What this process takes of the machine's memory, and giving free memory back to the system."""

from __future__ import annotations

import ctypes
import os

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Parameters of mallopt(3). Without them glibc raises its own threshold whenever a large block is freed, and
# keeps later blocks of that size in a heap that shrinks only from its end.
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3
TRIM_THRESHOLD_BYTES, MMAP_THRESHOLD_BYTES = 256 * 1024, 128 * 1024


def resident_bytes(pid: int | None = None) -> int:
    """The resident memory of a process, or of this one, in bytes; 0 if the system does not tell."""
    try:
        with open(f"/proc/{pid if pid is not None else 'self'}/statm", encoding="ascii") as f:
            return int(f.read().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


class ProcessMemory:
    """This process's resident memory, at the cost of one system call for a reading."""

    def __init__(self) -> None:
        try:
            self._statm = os.open("/proc/self/statm", os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._statm = -1
        self.high_water_bytes = 0  # the most that a reading has shown

    def read(self) -> int:
        """Resident memory in bytes; 0 if the system does not tell."""
        if self._statm < 0:
            return 0
        try:
            resident = int(os.pread(self._statm, 128, 0).split()[1]) * PAGE_BYTES
        except (OSError, ValueError, IndexError):
            return 0
        if resident > self.high_water_bytes:
            self.high_water_bytes = resident
        return resident


class Allocator:
    """The C library's allocator, where it is glibc's; elsewhere the calls do nothing."""

    def __init__(self) -> None:
        library = ctypes.CDLL(None)
        self._trim = getattr(library, "malloc_trim", None)
        self._option = getattr(library, "mallopt", None) if self._trim is not None else None

    def fix_thresholds(self) -> None:
        """Keeps large blocks out of the heap, so that they are given back as they are freed."""
        if self._option is not None:
            self._option(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
            self._option(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)

    def trim(self) -> None:
        """Gives free memory back to the system."""
        if self._trim is not None:
            self._trim(0)
