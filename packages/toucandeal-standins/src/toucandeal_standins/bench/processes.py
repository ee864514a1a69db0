"""Processor time and memory of a process, from the kernel's tables."""

import os
from pathlib import Path
from typing import NamedTuple

__all__ = ['Usage', 'usage']

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_FIRST_FIELD = 2  # fields after the command's closing parenthesis


class Usage(NamedTuple):
    """Processor seconds so far, and resident bytes."""

    cpu_s: float
    resident_bytes: int


def usage(pid: int) -> Usage:
    """Return what a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[13 - _FIRST_FIELD]) + int(fields[14 - _FIRST_FIELD])
    pages = int(fields[23 - _FIRST_FIELD])
    return Usage(ticks / _TICKS_PER_S, pages * _PAGE_BYTES)
