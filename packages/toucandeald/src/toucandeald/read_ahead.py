"""Limits on the input that is read before it can be handled.

A caller may send requests without waiting for replies. What is read ahead stays
in memory until its turn, so reading from the connection pauses at a limit, and
the rest waits in the network. A caller that pipelines requests loses nothing.
"""

__all__ = [
    'CHUNK_BYTES',
    'SESSION_LIMIT_BYTES',
    'ReadBudget',
    'may_read',
    'must_reject',
]

CHUNK_BYTES = 16_384  # read from a connection at once
SESSION_LIMIT_BYTES = 32_768  # of one session, some 500 statements
MEMORY_SHARE = 0.0625  # of the process's memory, for the input of all sessions
DEFAULT_MEMORY_MB = 256.0  # where the settings name no limit
_BYTES_PER_MB = 1_000_000


def may_read(session_bytes: int, total_bytes: int, total_limit: float) -> bool:
    """Return whether more input may be read behind a request that runs.

    It answers a flood: callers that send far faster than their requests run. A
    session without input of its own may always read, so that a flood in other
    sessions does not stop it.

    Parameters
    ----------
    session_bytes : int
        Read ahead in this session.
    total_bytes, total_limit : int, float
        Read ahead in all sessions, and the limit of that.

    Examples
    --------
    >>> may_read(100, 100, 1000), may_read(100, 1000, 1000)
    (True, False)
    >>> may_read(0, 1000, 1000), may_read(SESSION_LIMIT_BYTES, 32_768, 1e6)
    (True, False)
    """
    if not session_bytes:
        return True
    return session_bytes < SESSION_LIMIT_BYTES and total_bytes < total_limit


def must_reject(
    session_bytes: int, total_bytes: int, total_limit: float
) -> bool:
    """Return whether an incomplete request must be rejected.

    It answers a flood of long requests that never end. Such a request can't
    wait in the network, since only its end would let it run.

    Parameters
    ----------
    session_bytes : int
        Of the incomplete request.
    total_bytes, total_limit : int, float
        Read ahead in all sessions, and the limit of that.

    Examples
    --------
    >>> must_reject(40_000, 900_000, 1e6), must_reject(40_000, 1_000_000, 1e6)
    (False, True)
    >>> must_reject(80, 1_000_000, 1e6)
    False
    """
    return session_bytes > SESSION_LIMIT_BYTES and total_bytes >= total_limit


class ReadBudget:
    """The bytes that are read ahead in all sessions, and their limit."""

    def __init__(self, memory_mb: float | None = None) -> None:
        """Initialize with the memory of the process, if it is limited."""
        memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * _BYTES_PER_MB
        self.limit_bytes = memory_bytes * MEMORY_SHARE
        self.total_bytes = 0

    def may_read(self, session_bytes: int) -> bool:
        """Return whether a session with a running request may read more."""
        return may_read(session_bytes, self.total_bytes, self.limit_bytes)

    def must_reject(self, session_bytes: int) -> bool:
        """Return whether a session's incomplete request must be rejected."""
        return must_reject(session_bytes, self.total_bytes, self.limit_bytes)
