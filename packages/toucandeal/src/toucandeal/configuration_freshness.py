"""Until when a proxy may rely on the keys in its configuration.

A removed key must stop working on each proxy within a time limit, also on one
that is cut off from the store. A proxy therefore serves callers with keys only
while its configuration was certainly the newest one at a recent moment, the
freshness of the configuration. The moment is proved

- by the store: the proxy's own call proves the moment at which it was sent,
  once the changes in its answer are applied; or
- by a peer, which relays the age of its own proof. The age is counted from the
  time at which this proxy had sent the message that the peer echoes, so clocks
  of different proxies are never compared.

A store that was restored from an older copy begins a new era, and a proof of
an earlier era counts for nothing. The restored configuration may also be older
than one that a peer still has, so a proof counts only for a proxy whose version
is not older than any it has heard of.
"""

import math
from typing import NamedTuple

__all__ = [
    'ConfigurationFreshness',
    'PeerFreshness',
    'call_is_due',
    'freshness_age',
    'is_fresh',
    'prove_by_call',
    'prove_by_peer',
    'start_era',
]

# Of the limit on revocation: for clock rates that differ, and for the time
# between the arrival of a statement and its check.
FRESHNESS_MARGIN_S = 0.5
# An older proof is renewed by an own call with wait 0. Two proxies poll every
# 1.0 s and a heartbeat takes up to 0.25 s, so peers usually prove more.
RENEWAL_AGE_S = 1.6
RANK_DELAY_S = 0.05  # added per rank, so that proxies do not all call at once


class ConfigurationFreshness:
    """The evidence that this proxy's configuration is the newest one.

    `as_of` is the latest moment at which it was certainly the newest, in the
    store's era `era`. `newest_version` is the highest version heard of.
    """

    def __init__(self) -> None:
        """Start without a proof."""
        self.as_of = -math.inf
        self.era = 0
        self.newest_version = 0


class PeerFreshness(NamedTuple):
    """What a peer reports: its version, its proof's age and the era of both."""

    version: int
    age_s: float
    store_era: int = 0


def start_era(freshness: ConfigurationFreshness, era: int) -> None:
    """Discard the proofs of earlier eras of the store.

    Examples
    --------
    >>> freshness = ConfigurationFreshness()
    >>> prove_by_call(freshness, 1, 5.0, 0)
    >>> start_era(freshness, 1)
    >>> freshness.as_of
    -inf
    """
    if era > freshness.era:
        freshness.era = era
        freshness.as_of = -math.inf


def prove_by_call(
    freshness: ConfigurationFreshness, version: int, sent_at: float, era: int
) -> None:
    """Record that the store answered an own call, and nothing is newer.

    Parameters
    ----------
    freshness : ConfigurationFreshness
    version : int
        Of the configuration in force, after the answer was applied.
    sent_at : float
    era : int
        The store's era in the answer.
    """
    start_era(freshness, era)
    _prove(freshness, version, sent_at, era)


def prove_by_peer(
    freshness: ConfigurationFreshness,
    report: PeerFreshness,
    version: int,
    sent_after: float,
) -> None:
    """Record a peer's proof.

    Parameters
    ----------
    freshness : ConfigurationFreshness
    report : PeerFreshness
    version : int
        Of the configuration in force here. A peer with a newer one proves
        nothing about it.
    sent_after : float
        A time, on this clock, after which the peer sent its message; minus
        infinity if there is none.
    """
    start_era(freshness, report.store_era)
    freshness.newest_version = max(freshness.newest_version, report.version)
    _prove(freshness, version, sent_after - report.age_s, report.store_era)


def _prove(
    freshness: ConfigurationFreshness, version: int, as_of: float, era: int
) -> None:
    if era == freshness.era and version >= freshness.newest_version:
        freshness.as_of = max(freshness.as_of, as_of)


def freshness_age(freshness: ConfigurationFreshness, now: float) -> float:
    """Return the age of the proof; infinity if there is none."""
    return now - freshness.as_of


def is_fresh(
    freshness: ConfigurationFreshness, limit_s: float, now: float
) -> bool:
    """Return whether keys may be relied on now, under a limit on revocation.

    Examples
    --------
    >>> freshness = ConfigurationFreshness()
    >>> prove_by_call(freshness, 1, 5.0, 0)
    >>> is_fresh(freshness, 5.0, 9.4), is_fresh(freshness, 5.0, 9.5)
    (True, False)
    """
    return freshness_age(freshness, now) < limit_s - FRESHNESS_MARGIN_S


def call_is_due(
    freshness: ConfigurationFreshness, rank: int, now: float
) -> bool:
    """Return whether the proof is so old that an own call is due."""
    due_s = RENEWAL_AGE_S + rank * RANK_DELAY_S
    return freshness_age(freshness, now) > due_s
