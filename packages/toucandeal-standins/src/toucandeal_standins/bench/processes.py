"""CPU time and resident memory of a process, from /proc."""

import os
from pathlib import Path
from typing import NamedTuple

__all__ = ['ProcessUsage', 'process_usage']

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_FIRST_FIELD_INDEX = 2  # index of the first field after the command name


class ProcessUsage(NamedTuple):
    """CPU seconds since the process started, and resident bytes."""

    cpu_s: float
    resident_bytes: int


def process_usage(pid: int) -> ProcessUsage:
    """Return the CPU time and resident memory of a process."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[13 - _FIRST_FIELD_INDEX]) + int(
        fields[14 - _FIRST_FIELD_INDEX]
    )
    pages = int(fields[23 - _FIRST_FIELD_INDEX])
    return ProcessUsage(ticks / _TICKS_PER_S, pages * _PAGE_BYTES)
