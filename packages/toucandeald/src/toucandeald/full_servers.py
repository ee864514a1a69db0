"""Connections to servers that accept no more of them.

Addresses this load pattern: after a loss of all proxies, their dead connections
occupy most of a server's limit for seconds, and the first proxies to restart
take the rest. The others borrow.
"""

from collections.abc import Awaitable, Callable
from typing import Any

from toucandeald.borrowing import NOT_LENT
from toucandeald.connection_pool import FULL_RETRY_DELAY_S, ConnectionPool
from toucandeald.session_messages import AnswerKind, ServerAnswer
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['may_lend', 'open_or_borrow']


async def open_or_borrow(
    clock,
    pool: ConnectionPool,
    open_directly: Callable[[], Awaitable[Any]],
    borrow: Callable[[], Awaitable[Any]],
):
    """Open a connection, or borrow one if the server accepts no more.

    Parameters
    ----------
    clock : IReactorTime
    pool : ConnectionPool
        Only one without connections of its own borrows.
    open_directly : callable
        Returns a connection or the server's refusal.
    borrow : callable
        Returns a connection or None.

    Returns
    -------
    connection or ServerAnswer
        `NOT_LENT` if the server was not asked, since it was full before.
    """
    refusal = NOT_LENT
    if steady_seconds() >= pool.full_until:
        opened = await open_directly()
        if not _is_full(opened):
            return opened
        refusal = opened
        pool.full_until = steady_seconds() + FULL_RETRY_DELAY_S
    else:
        await pause(clock, 0)  # until the statement is in the queue
    if not pool.waiting or _has_own(pool):
        return refusal
    return await borrow() or refusal


def may_lend(pool: ConnectionPool) -> bool:
    """Return whether the pool has, or may open, connections to lend.

    One without any at a full server would ask its peers, and they it.
    """
    return steady_seconds() >= pool.full_until or _has_own(pool)


def _has_own(pool: ConnectionPool) -> bool:
    """Return whether a connection is open that was not borrowed."""
    return any(not connection.borrowed for connection in pool.connections)


def _is_full(opened: Any) -> bool:
    return (
        isinstance(opened, ServerAnswer)
        and opened.kind is AnswerKind.TOO_MANY_CONNECTIONS
    )
