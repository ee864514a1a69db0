"""Token buckets and votes of a rate coordinator.

A workspace's rate and burst limit its operations over all proxies together.
One proxy, the coordinator, keeps a token bucket for each workspace and grants
whole tokens to the others, which spend one for each operation.

Addresses these load patterns:

- One workspace sends many times its limit, spread evenly over the proxies or
  all through one proxy. Tokens are divided by what each proxy wants.
- A limit is lowered far below what is sent, and raised again.
- A workspace keeps sending more than its limit. Operations that would wait
  longer than they may are refused at once.
- Half of the proxies start anew. A bucket is filled only in proportion to the
  votes for its coordinator, and a proxy's vote is valid at one coordinator at
  most, so two coordinators in two views together keep within the limit.
"""

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

import xxhash

from toucandeal.rendezvous import (
    NO_LINKS,
    rendezvous_order,
    widest_first,
)
from toucandeal.workspaces import Workspace

__all__ = [
    'VOTE_VALID_S',
    'RateBucket',
    'VoteCount',
    'advance_votes',
    'bucket_capacity',
    'coordinator_order',
    'credit_tokens',
    'divide_tokens',
    'fill_bucket',
    'record_grant',
    'record_vote',
    'shard_names',
    'token_wait',
    'vote_weight',
    'workspace_shard',
]

PROXIES_PER_SHARD = 32  # each reports to the coordinator five times a second
VOTE_VALID_S = 0.5
# A new coordinator starts with as many; two of them fit the documented slack.
INITIAL_TOKENS = 10.0
FULL_INITIAL_WEIGHT = 0.5  # at most two coordinators have as many votes
# A bucket whose burst is very small must hold a whole token and what comes
# between two divisions, which are 0.01 s apart.
DIVISION_ROOM_S = 0.03
MAX_DIVISION_ROOM = 10.0  # more would exceed the documented slack
# A token is valid for 0.5 s, and is reported as unused at most 0.25 s later.
CREDIT_LIMIT_S = 1.0
PEAK_INTERVAL_S = 0.05  # the resolution of the levels that are remembered


class VoteCount:
    """The votes of the proxies for this coordinator.

    `weight_s` is the integral of the share of the proxies that voted for it;
    buckets are filled from its growth.
    """

    def __init__(self, now: float) -> None:
        """Start without votes."""
        self.valid_until: dict[str, float] = {}
        self.weight_s = 0.0
        self.advanced_at = now


class RateBucket:
    """The tokens of one workspace at its coordinator.

    Attributes
    ----------
    level : float
        Tokens that may be granted.
    filled_to : float
        The `VoteCount.weight_s` up to which it is filled.
    peaks : dict of int to float
        The highest level in each interval of the last `CREDIT_LIMIT_S`.
    granted : dict of str to list
        Times and numbers of the tokens granted to each proxy since then.
    owed : dict of str to float
        Fractions of tokens that earlier divisions have rounded away.
    """

    def __init__(self, burst: float, filled_to: float) -> None:
        """Start with the tokens that a new coordinator may grant."""
        self.level = min(burst, INITIAL_TOKENS)
        self.filled_to = filled_to
        self.peaks: dict[int, float] = {}
        self.granted: dict[str, list[_Granted]] = {}
        self.owed: dict[str, float] = {}


class _Granted(NamedTuple):
    at: float
    tokens: int


def shard_names(proxies: int) -> list[str]:
    """Return the shards into which the workspaces are divided.

    A name includes the number of shards, so that a vote never counts for the
    workspaces of a different division.

    Examples
    --------
    >>> shard_names(32), shard_names(33)
    (['0/1'], ['0/2', '1/2'])
    """
    count = max(math.ceil(proxies / PROXIES_PER_SHARD), 1)
    return [f'{index}/{count}' for index in range(count)]


def workspace_shard(workspace: str, shards: list[str]) -> str:
    """Return the shard of a workspace.

    Examples
    --------
    >>> workspace_shard('w', ['0/1'])
    '0/1'
    """
    return shards[xxhash.xxh3_64_intdigest(workspace.encode()) % len(shards)]


def coordinator_order(
    shard: str,
    proxies: Collection[str],
    links_mbps: Mapping[str, float] = NO_LINKS,
) -> list[str]:
    """Return the proxies in the order in which they coordinate a shard.

    Those with narrow links are the last, where the bandwidths are known.
    """
    index, _, _ = shard.partition('/')
    order = rendezvous_order(proxies, f'rates {index}')
    return widest_first(order, links_mbps)


def record_vote(votes: VoteCount, voter: str, valid_until: float) -> None:
    """Record a vote; the votes must have been advanced until now."""
    votes.valid_until[voter] = max(
        valid_until, votes.valid_until.get(voter, valid_until)
    )


def advance_votes(
    votes: VoteCount, proxies: float, evidence_until: float, now: float
) -> None:
    """Add the time since the last call to the integral of the votes.

    Parameters
    ----------
    votes : VoteCount
    proxies : float
        All proxies among which votes may be divided.
    evidence_until : float
        The end of the time in which this proxy is certainly counted.
    now : float

    Examples
    --------
    >>> votes = VoteCount(10.0)
    >>> record_vote(votes, 'p1', 10.5)
    >>> advance_votes(votes, 2, 12.0, 11.0)
    >>> votes.weight_s
    0.25
    """
    since = votes.advanced_at
    end = min(now, evidence_until)
    earliest = min(votes.valid_until.values(), default=math.inf)
    if earliest > now:
        # Nothing has expired, as in nearly all calls: one for each message.
        covered_s = max(end - since, 0) * len(votes.valid_until)
    else:
        covered_s = sum(
            max(min(until, end) - since, 0)
            for until in votes.valid_until.values()
        )
    votes.weight_s += covered_s / max(proxies, len(votes.valid_until), 1)
    votes.advanced_at = max(now, since)
    if earliest <= now:
        votes.valid_until = {
            voter: until
            for voter, until in votes.valid_until.items()
            if until > now
        }


def vote_weight(votes: VoteCount, proxies: float) -> float:
    """Return the share of the proxies whose votes are valid now."""
    voters = len(votes.valid_until)
    return voters / max(proxies, voters, 1)


def bucket_capacity(limit: Workspace, weight: float) -> float:
    """Return the most tokens that a bucket may hold.

    The burst is shared like the rate. A coordinator with the votes of half of
    the proxies may keep `INITIAL_TOKENS` of it, so that a small burst yields
    whole tokens while some votes are missing. One without votes grants none,
    and keeps no more than a new one has.

    Examples
    --------
    >>> limit = Workspace('w', rate_per_s=50.0, burst=100.0)
    >>> bucket_capacity(limit, 1.0), bucket_capacity(limit, 0.5)
    (100.0, 50.0)
    >>> bucket_capacity(limit, 0.0)
    10.0
    >>> bucket_capacity(limit._replace(burst=0.0), 0.5)
    1.75
    """
    initial = min(limit.burst, INITIAL_TOKENS)
    if weight <= 0:
        return initial
    room = min(limit.rate_per_s * DIVISION_ROOM_S, MAX_DIVISION_ROOM - 1)
    return max(
        limit.burst * weight,
        initial * min(weight / FULL_INITIAL_WEIGHT, 1),
        room * weight + 1,
    )


def fill_bucket(
    bucket: RateBucket, limit: Workspace, votes: VoteCount, capacity: float
) -> None:
    """Fill a bucket at its rate, as far as the votes allow, up to a capacity.

    Examples
    --------
    >>> votes, limit = VoteCount(0.0), Workspace('w', rate_per_s=8.0, burst=20)
    >>> bucket = RateBucket(20, votes.weight_s)
    >>> votes.weight_s = 0.5
    >>> fill_bucket(bucket, limit, votes, 20)
    >>> bucket.level
    14.0
    """
    added = limit.rate_per_s * (votes.weight_s - bucket.filled_to)
    bucket.filled_to = votes.weight_s
    bucket.level = min(bucket.level + added, capacity)
    now = votes.advanced_at
    interval = int(now / PEAK_INTERVAL_S)
    oldest = interval - int(CREDIT_LIMIT_S / PEAK_INTERVAL_S) - 1
    if interval not in bucket.peaks:
        bucket.peaks = {
            key: peak for key, peak in bucket.peaks.items() if key >= oldest
        }
    bucket.peaks[interval] = max(bucket.level, bucket.peaks.get(interval, 0))


def record_grant(
    bucket: RateBucket, proxy: str, tokens: int, now: float
) -> None:
    """Take tokens out of the bucket for a proxy."""
    bucket.level -= tokens
    log = bucket.granted.setdefault(proxy, [])
    log.append(_Granted(now, tokens))


def credit_tokens(
    bucket: RateBucket, proxy: str, tokens: int, capacity: float, now: float
) -> float:
    """Add back tokens that a proxy has not used, and return how many.

    Only tokens that were granted in the last `CREDIT_LIMIT_S` are added, and
    only so far as the bucket would hold them if they had never been granted.
    Without this, a bucket that was refilled to its capacity meanwhile would
    grant them in addition to a whole burst.

    Examples
    --------
    >>> limit = Workspace('w', rate_per_s=8.0, burst=10)
    >>> votes = VoteCount(0.0)
    >>> bucket = RateBucket(10, 0.0)
    >>> record_grant(bucket, 'p1', 8, 0.0)
    >>> votes.weight_s = 0.5
    >>> fill_bucket(bucket, limit, votes, 10)
    >>> bucket.level
    6.0
    >>> credit_tokens(bucket, 'p1', 5, 10, 0.5), bucket.level
    (4.0, 10.0)
    >>> credit_tokens(bucket, 'p2', 5, 10, 0.5)
    0.0
    """
    log = [
        entry
        for entry in bucket.granted.pop(proxy, [])
        if now - entry.at <= CREDIT_LIMIT_S
    ]
    outstanding = sum(entry.tokens for entry in log)
    unused = min(tokens, outstanding)
    if outstanding > unused:
        bucket.granted[proxy] = _without(log, unused)
    peak = max(bucket.level, max(bucket.peaks.values(), default=0))
    credit = float(max(min(unused, capacity - peak), 0))
    bucket.level += credit
    # As if these tokens had been in the bucket all the time.
    bucket.peaks = {key: top + credit for key, top in bucket.peaks.items()}
    return credit


def token_wait(waiting: int, rate_per_s: float, weight: float) -> float:
    """Return the time in which a bucket yields tokens for all that wait.

    Parameters
    ----------
    waiting : int
        Operations at all proxies that wait for a token.
    rate_per_s : float
    weight : float
        Share of the proxies that vote for the bucket's coordinator.

    Returns
    -------
    float
        In seconds; infinity if the bucket is not filled.

    Examples
    --------
    >>> token_wait(8, 16.0, 1.0), token_wait(8, 16.0, 0.5)
    (0.5, 1.0)
    >>> token_wait(1, 0.0, 1.0)
    inf
    """
    filled_per_s = rate_per_s * weight
    return waiting / filled_per_s if filled_per_s > 0 else math.inf


def _without(log: list[_Granted], tokens: int) -> list[_Granted]:
    """Return a log of grants without its first tokens."""
    kept = []
    for entry in log:
        used = min(entry.tokens, tokens)
        tokens -= used
        if entry.tokens > used:
            kept.append(_Granted(entry.at, entry.tokens - used))
    return kept


def divide_tokens(
    tokens: int, wanted: Mapping[str, int], owed: dict[str, float]
) -> dict[str, int]:
    """Divide tokens among proxies in proportion to what they want.

    Parameters
    ----------
    tokens : int
    wanted : mapping of str to int
        Tokens that each proxy wants, at least 1.
    owed : dict of str to float
        Fractions rounded away before; they are updated, so that a proxy with
        a small share gets its token in a later division.

    Examples
    --------
    >>> divide_tokens(9, {'a': 2, 'b': 3}, {})
    {'a': 2, 'b': 3}
    >>> owed = {}
    >>> divide_tokens(3, {'a': 4, 'b': 4}, owed)
    {'a': 2, 'b': 1}
    >>> divide_tokens(3, {'a': 4, 'b': 4}, owed)
    {'a': 1, 'b': 2}
    """
    total = sum(wanted.values())
    if tokens >= total:
        return dict(wanted)
    shares = {}
    for gone in owed.keys() - wanted.keys():
        owed.pop(gone)
    for name, count in wanted.items():
        exact = tokens * count / total
        shares[name] = int(exact)
        owed[name] = owed.get(name, 0) + exact - shares[name]
    remaining = tokens - sum(shares.values())
    by_debt = sorted(wanted, key=lambda name: (-owed[name], name))
    for name in by_debt[:remaining]:
        shares[name] += 1
        owed[name] -= 1
    return shares
