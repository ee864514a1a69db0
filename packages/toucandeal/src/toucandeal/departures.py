"""When a server began to leave, as far as a proxy can know.

A server that leaves reports it in its entry of the list of servers. From then
on it gets operations for the drain time only, but an entry has no time, and a
proxy may see it late: it follows the list by calls that wait in the store for
the next change, and a connection may go silent while such a call is under way.

So the report lies between two moments. It was not made before `earliest`, from
which the drain time is counted, and it was made by `latest`:

- An answer of the store proves that the list was complete when the call was
  sent, or when the wait of the call ended without a change.
- A change that the own call brings was made while the call waited in the store.
  An answer that is overdue, or that comes right after its call was sent, may
  bring an earlier one.
- A change that a peer sends first was not brought by the own call, whose
  connection may be silent. Only the last proof counts then, and what the peer
  knows: it sends the ages of both moments, as clocks are never compared. A peer
  of an earlier build sends none.
"""

import math
from typing import NamedTuple

__all__ = [
    'Departure',
    'DepartureAges',
    'ListFeed',
    'complete_as_of',
    'departure_ages',
    'note_answer',
    'note_call',
    'note_call_ended',
    'note_interrupted',
    'note_tick',
    'seen_in_copy',
    'seen_in_feed',
    'seen_again',
]

# For a call to reach the store. Changes of before are answered by then as well.
CALL_DELAY_S = 0.1


class Departure(NamedTuple):
    """The bounds of the time at which a server began to leave, in seconds."""

    earliest: float
    latest: float


class DepartureAges(NamedTuple):
    """How long ago the bounds of a departure were, in seconds."""

    earliest: float
    latest: float


class ListFeed:
    """What the calls that follow the list prove about its changes.

    No change of before `proven_at` is unknown here, and none of before
    `assumed_at` unless a connection is silent. A call is waiting in the store
    from `waits_from` to `waits_until`.
    """

    def __init__(self) -> None:
        """Start without a proof."""
        self.proven_at = -math.inf
        self.assumed_at = -math.inf
        self.ticked_at = -math.inf
        self.waits_from = math.inf
        self.waits_until = -math.inf


def complete_as_of(
    sent_at: float, wait_s: float, answered_at: float, *, has_changes: bool
) -> float:
    """Return the time at which an answer certainly had all changes.

    Parameters
    ----------
    sent_at : float
        When the call was sent, in seconds.
    wait_s : float
        How long the store waits for a change.
    answered_at : float
        When the answer arrived.
    has_changes : bool

    Examples
    --------
    >>> complete_as_of(10.0, 2.0, 12.1, has_changes=False)
    12.0
    >>> complete_as_of(10.0, 2.0, 11.5, has_changes=True)
    10.0
    """
    waited = answered_at >= sent_at + wait_s
    return sent_at if has_changes or not waited else sent_at + wait_s


def note_call(feed: ListFeed, sent_at: float, wait_s: float) -> None:
    """Note that a call was sent that waits for the next change."""
    feed.waits_from = sent_at + CALL_DELAY_S
    feed.waits_until = sent_at + wait_s


def note_call_ended(feed: ListFeed) -> None:
    """Note that the store has answered, so that no call is waiting there.

    What the answer proves is noted apart; that changes are gone proves nothing.
    """
    feed.waits_from = math.inf


def note_answer(feed: ListFeed, as_of: float) -> None:
    """Note that all changes of before `as_of` have been applied."""
    feed.proven_at = max(feed.proven_at, as_of)
    feed.assumed_at = max(feed.assumed_at, as_of)


def note_interrupted(feed: ListFeed) -> None:
    """Note that a call got no answer, so changes may be unknown."""
    feed.assumed_at = feed.proven_at
    feed.waits_from = math.inf


def note_tick(feed: ListFeed, now: float) -> None:
    """Note that this proxy runs, while it may wait for an answer.

    What arrived during a freeze may still be unread, so a tick speaks for the
    time of the one before it.
    """
    if feed.waits_from <= feed.ticked_at <= feed.waits_until:
        feed.assumed_at = max(feed.assumed_at, feed.ticked_at)
    feed.ticked_at = now


def seen_in_feed(feed: ListFeed, now: float) -> Departure:
    """Return the departure of a server whose change the own call brought."""
    return Departure(feed.assumed_at, now)


def seen_in_copy(
    feed: ListFeed, ages: DepartureAges | None, sent_after: float, now: float
) -> Departure:
    """Return the departure of a server whose change a peer sent first.

    Parameters
    ----------
    feed : ListFeed
    ages : DepartureAges or None
        As the peer has sent them; None if it is of an earlier build.
    sent_after : float
        A time, on this clock, after which the peer sent them; minus infinity
        if there is none.
    now : float

    Examples
    --------
    >>> feed = ListFeed()
    >>> note_answer(feed, 90.0)
    >>> seen_in_copy(feed, DepartureAges(3.0, 1.0), 99.5, 100.0)
    Departure(earliest=96.5, latest=99.0)
    >>> seen_in_copy(feed, None, 99.5, 100.0)
    Departure(earliest=90.0, latest=100.0)
    """
    if ages is None:
        return Departure(feed.proven_at, now)
    return Departure(
        max(feed.proven_at, sent_after - ages.earliest), now - ages.latest
    )


def seen_again(known: Departure, other: Departure) -> Departure:
    """Return a known departure with what another sight of it proves.

    Examples
    --------
    >>> seen_again(Departure(99.9, 100.0), Departure(80.0, 97.0))
    Departure(earliest=97.0, latest=97.0)
    """
    latest = min(known.latest, other.latest)
    return Departure(min(known.earliest, latest), latest)


def departure_ages(departure: Departure, now: float) -> DepartureAges:
    """Return how long ago the bounds of a departure were."""
    return DepartureAges(now - departure.earliest, now - departure.latest)
