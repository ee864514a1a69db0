"""A proxy's balances of rate tokens, and forecasts of what it will use.

See :mod:`toucandeal.rate_limits` for the coordinator's part. A proxy requests
tokens in advance, so that operations do not wait for a round trip, but never
so many that a workspace with a small rate has its tokens idle at proxies that
may not need them.
"""

import collections
import math
from typing import NamedTuple

from toucandeal.workspaces import Workspace

__all__ = [
    'MAX_RETRY_DELAY_S',
    'TOKEN_VALID_S',
    'Batch',
    'RateBalance',
    'add_tokens',
    'expected_use',
    'expire_surplus',
    'expire_tokens',
    'may_join_wait',
    'give_back_token',
    'held_tokens',
    'observe_use',
    'retry_delay',
    'take_returned',
    'take_token',
]

TOKEN_VALID_S = 0.5  # from the sending of the report that requested it
FORECAST_S = 0.5
USED_RECENTLY_S = 5.0
IDLE_SHARE = 0.5  # of a limit, which may be held unused by all proxies
AVERAGE_TIME_S = 1.0  # below, one operation would make the forecast 1
MAX_JOINED_S = 0.1  # of a proxy's part of the rate, which may wait at once
MAX_RETRY_DELAY_S = 10.0  # for rates near 0


class Batch(NamedTuple):
    """Tokens of one grant; `grantor` is the coordinator's incarnation."""

    expires_at: float
    tokens: int
    grantor: tuple[str, int]


class RateBalance:
    """A proxy's tokens of one workspace.

    Attributes
    ----------
    batches : list of Batch
        Unused tokens in the order of their expiry.
    spent : deque of Batch
        Tokens spent while they are still valid, in that order, so that one
        can be given back.
    expired : dict
        Numbers of expired unused tokens, by their grantor.
    use_per_s : float
        Moving average of the operations a second, with or without tokens.
    joins, joined_at : float
        Operations that may join a long wait, and when this was updated.
    """

    def __init__(self, now: float) -> None:
        """Start without tokens."""
        self.batches: list[Batch] = []
        self.spent: collections.deque[Batch] = collections.deque()
        self.expired: dict[tuple[str, int], int] = {}
        self.use_per_s = 0.0
        self.used_at = -math.inf
        self.uses = 0
        self.observed_at = now
        self.joins = 0.0
        self.joined_at = now


def add_tokens(balance: RateBalance, batch: Batch) -> None:
    """Add the tokens of a grant."""
    if batch.tokens > 0:
        balance.batches.append(batch)
        balance.batches.sort()


def expire_tokens(balance: RateBalance, now: float) -> None:
    """Move the tokens that are no longer valid to `expired`.

    Examples
    --------
    >>> balance = RateBalance(0.0)
    >>> add_tokens(balance, Batch(0.5, 3, ('p1', 7)))
    >>> expire_tokens(balance, 0.5)
    >>> balance.expired, held_tokens(balance)
    ({('p1', 7): 3}, 0)
    """
    while balance.batches and balance.batches[0].expires_at <= now:
        batch = balance.batches.pop(0)
        grantor = batch.grantor
        balance.expired[grantor] = (
            balance.expired.get(grantor, 0) + batch.tokens
        )
    while balance.spent and balance.spent[0].expires_at <= now:
        balance.spent.popleft()


def expire_surplus(balance: RateBalance, needed: int) -> None:
    """Move the tokens beyond those `needed` to `expired`, the oldest first.

    Without this, a token for an operation that no longer waits would be
    missing at other proxies until it expires.
    """
    surplus = held_tokens(balance) - needed
    while surplus > 0:
        batch = balance.batches.pop(0)
        count = min(batch.tokens, surplus)
        surplus -= count
        grantor = batch.grantor
        balance.expired[grantor] = balance.expired.get(grantor, 0) + count
        if batch.tokens > count:
            balance.batches.insert(
                0, batch._replace(tokens=batch.tokens - count)
            )


def held_tokens(balance: RateBalance) -> int:
    """Return how many tokens are unused."""
    return sum(batch.tokens for batch in balance.batches)


def take_token(balance: RateBalance, now: float) -> bool:
    """Spend the token that expires first; return whether there was one.

    Examples
    --------
    >>> balance = RateBalance(0.0)
    >>> add_tokens(balance, Batch(0.5, 1, ('p1', 7)))
    >>> take_token(balance, 0.1), take_token(balance, 0.1)
    (True, False)
    >>> give_back_token(balance, 0.2)
    >>> take_token(balance, 0.6)
    False
    """
    expire_tokens(balance, now)
    if not balance.batches:
        return False
    batch = balance.batches[0]
    if batch.tokens > 1:
        balance.batches[0] = batch._replace(tokens=batch.tokens - 1)
    else:
        balance.batches.pop(0)
    balance.spent.append(batch._replace(tokens=1))
    return True


def give_back_token(balance: RateBalance, now: float) -> None:
    """Return the token of an operation that did not run to the balance.

    It takes the earliest expiry of the tokens spent, which is at most that of
    the operation's own token.
    """
    expire_tokens(balance, now)
    if balance.spent:
        add_tokens(balance, balance.spent.popleft())


def take_returned(balance: RateBalance, grantor: tuple[str, int]) -> int:
    """Remove and return the number of expired tokens to report to a grantor.

    Tokens of earlier coordinators are dropped: their buckets are gone or are
    filled by the votes that they still have.

    Examples
    --------
    >>> balance = RateBalance(0.0)
    >>> add_tokens(balance, Batch(0.5, 3, ('p1', 7)))
    >>> expire_surplus(balance, 1)
    >>> take_returned(balance, ('p1', 7)), held_tokens(balance)
    (2, 1)
    """
    returned = balance.expired.pop(grantor, 0)
    balance.expired.clear()
    return returned


def observe_use(balance: RateBalance, now: float) -> None:
    """Update the moving average from the operations since the last call.

    Examples
    --------
    >>> balance = RateBalance(0.0)
    >>> balance.uses = 10
    >>> observe_use(balance, 0.5)
    >>> round(balance.use_per_s, 1)
    7.9
    """
    elapsed_s = now - balance.observed_at
    if elapsed_s <= 0:
        return
    weight = 1 - math.exp(-elapsed_s / AVERAGE_TIME_S)
    balance.use_per_s += weight * (balance.uses / elapsed_s - balance.use_per_s)
    balance.uses = 0
    balance.observed_at = now


def may_join_wait(
    balance: RateBalance, limit: Workspace, proxies: int, now: float
) -> bool:
    """Return whether an operation waits although too many do, and count it.

    Operations that wait give up in the end, many of them at once. As many as a
    proxy's part of the rate join them, so that the tokens that come then are
    used.

    Examples
    --------
    >>> balance, limit = RateBalance(0.0), Workspace('w', rate_per_s=20.0)
    >>> [may_join_wait(balance, limit, 2, now) for now in (0.05, 0.1, 0.15)]
    [False, True, False]
    """
    balance.joins = min(
        balance.joins + (now - balance.joined_at) * limit.rate_per_s / proxies,
        max(limit.rate_per_s * MAX_JOINED_S / proxies, 1),
    )
    balance.joined_at = now
    if balance.joins < 1:
        return False
    balance.joins -= 1
    return True


def expected_use(
    balance: RateBalance, limit: Workspace, proxies: int, now: float
) -> int:
    """Return how many tokens to hold for operations that may come.

    A proxy that expects less than one operation holds one token only if a
    token at each proxy is at most `IDLE_SHARE` of the limit. Otherwise tokens
    held in advance would be missing where the next operation comes, so
    operations request theirs when they come.

    Examples
    --------
    >>> balance = RateBalance(0.0)
    >>> balance.use_per_s, balance.used_at = 30.0, 0.0
    >>> expected_use(balance, Workspace('w', rate_per_s=100.0), 3, 0.1)
    15
    >>> expected_use(balance, Workspace('w', rate_per_s=1.0), 3, 0.1)
    0
    """
    affordable = int(limit.rate_per_s * FORECAST_S)
    if now - balance.used_at > USED_RECENTLY_S or affordable < 1:
        return 0
    expected = balance.use_per_s * FORECAST_S
    if expected < 1:
        spare = IDLE_SHARE * min(affordable, limit.burst)
        return 1 if spare >= proxies else 0
    return min(math.ceil(expected), affordable)


def retry_delay(missing: int, rate_per_s: float) -> float:
    """Return the delay after which a refused operation may get a token.

    Examples
    --------
    >>> retry_delay(5, 20.0), retry_delay(5, 0.0)
    (0.25, 10.0)
    """
    if rate_per_s <= 0:
        return MAX_RETRY_DELAY_S
    return min(max(missing, 1) / rate_per_s, MAX_RETRY_DELAY_S)
