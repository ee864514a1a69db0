"""What a relay reports, and what a proxy concludes from such reports.

Addresses this load pattern: with hundreds of proxies, a heartbeat that listed
all of them would have tens of kilobytes. A summary states what holds for all
proxies that it covers, and names only the exceptions.

A relay sends other relays a summary of the proxies attached to it, and
attached proxies one of the whole fleet. The confirmation in it that no proxy
had begun a promotion is a time at its sender, sent as an age. A recipient
subtracts the age from a time after which the message was sent, as for the
leases of single peers, so each hop can only make the confirmation older. It
counts only for the same membership, and the membership identifies the counted
proxies, their incarnations and the store era. A proxy confirms only
promotions of its own, and waits for all proxies of its membership when it
begins one, so equal memberships on the way mean that it waits for the
recipient.
"""

import math

from toucandeal.relay_reports import (
    ATTACHED_SILENT_S,
    MAX_AGE_S,
    HeardProxy,
    HeardSummary,
    RelayState,
    RelaySummary,
)
from toucandeal.relays import NO_MEMBERSHIP

__all__ = [
    'fleet_agrees',
    'fleet_confirmed_at',
    'fleet_summary',
    'heard_times',
    'known_draining',
    'local_summary',
]


def local_summary(state: RelayState, now: float) -> RelaySummary:
    """Return the summary of the proxies attached to this relay."""
    attached = state.assigned_at
    confirmed_at = min(
        (_confirmed_at(state, name) for name in attached), default=now
    )
    return RelaySummary(
        covers_fleet=False,
        none_begun_age=_age(confirmed_at, now),
        agreed=all(_agrees(state, name) for name in attached),
        silent=sorted(
            name
            for name, since in attached.items()
            if now - max(since, _heard_at(state, name)) > ATTACHED_SILENT_S
        ),
        draining=sorted(_heard_draining(state, now)),
        guests=sorted(
            name
            for name, heard in state.heard.items()
            if name not in attached
            and now - heard.attached_at <= ATTACHED_SILENT_S
        ),
    )


def fleet_summary(
    state: RelayState, now: float, *, none_begun: bool
) -> RelaySummary:
    """Return the summary of the whole fleet for an attached proxy.

    `none_begun` is whether this relay has begun no promotion.
    """
    heard = heard_times(state)
    confirmed_at = fleet_confirmed_at(state, now) if none_begun else -math.inf
    return RelaySummary(
        covers_fleet=True,
        none_begun_age=_age(confirmed_at, now),
        agreed=fleet_agrees(state),
        silent=sorted(
            name
            for name in state.incarnations.keys() | state.marked
            if name != state.name
            and now - heard.get(name, -math.inf) > ATTACHED_SILENT_S
        ),
        draining=sorted(known_draining(state, now)),
        guests=[],
    )


def fleet_confirmed_at(state: RelayState, now: float) -> float:
    """Return the oldest confirmation among all other proxies, or -inf.

    A relay combines what the other relays confirm, for themselves and for the
    proxies attached to them. A proxy is attached to two relays, so the better
    of their two confirmations counts. Any other proxy takes the best summary
    of the fleet that it has heard.
    """
    assignment = state.assignment
    if assignment is None:
        return -math.inf
    if not assignment.is_relay(state.name):
        return max(
            (
                summary.none_begun_at
                for name, summary in state.fleet_summaries.items()
                if _is_current(state, name, summary)
            ),
            default=-math.inf,
        )
    own = min(
        (_confirmed_at(state, name) for name in state.assigned_at), default=now
    )
    by_relay = {
        name: summary.none_begun_at
        for name, summary in state.local_summaries.items()
        if _is_current(state, name, summary)
    } | {state.name: own}
    relays = [name for name in assignment.attached if name != state.name]
    return min(
        (
            *(_confirmed_at(state, name) for name in relays),
            *(
                max(
                    (by_relay.get(name, -math.inf) for name in pair),
                    default=-math.inf,
                )
                for pair in assignment.pairs
            ),
        ),
        default=-math.inf,
    )


def fleet_agrees(state: RelayState) -> bool:
    """Return whether all proxies have reported this proxy's membership.

    A proxy that is no relay needs the word of each of its relays.
    """
    assignment = state.assignment
    if assignment is None:
        return False
    if not assignment.is_relay(state.name):
        pair = assignment.relays_of.get(state.name, ())
        return bool(pair) and all(
            name in state.fleet_summaries
            and _is_current(state, name, state.fleet_summaries[name])
            and state.fleet_summaries[name].agreed
            for name in pair
        )
    agreeing = {
        name
        for name, summary in state.local_summaries.items()
        if summary.agreed and _is_current(state, name, summary)
    }
    if all(_agrees(state, name) for name in state.assigned_at):
        agreeing.add(state.name)
    relays = set(assignment.attached) - {state.name}
    return all(_agrees(state, name) for name in relays) and all(
        agreeing.intersection(pair) for pair in assignment.pairs
    )


def heard_times(state: RelayState) -> dict[str, float]:
    """Return when each proxy was last heard, directly or by a relay.

    A proxy counts as heard at the time of the latest summary that covers it
    and does not list it as silent.
    """
    heard = {name: entry.heard_at for name, entry in state.heard.items()}
    assignment = state.assignment
    if assignment is None:
        return heard
    for name, summary in state.local_summaries.items():
        covered = assignment.attached.get(name, frozenset()) - summary.silent
        _raise_times(heard, covered | summary.guests, summary.heard_at)
    for summary in state.fleet_summaries.values():
        covered = state.incarnations.keys() - summary.silent
        _raise_times(heard, covered, summary.heard_at)
    return heard


def known_draining(state: RelayState, now: float) -> set[str]:
    """Return the proxies that are known to be draining."""
    draining = _heard_draining(state, now)
    for summaries in (state.local_summaries, state.fleet_summaries):
        for summary in summaries.values():
            if now - summary.heard_at <= ATTACHED_SILENT_S:
                draining |= summary.draining
    return draining


def _heard_draining(state: RelayState, now: float) -> set[str]:
    return {
        name
        for name, heard in state.heard.items()
        if heard.draining
        and now - heard.heard_at <= MAX_AGE_S
        and heard.incarnation == state.incarnations.get(name, heard.incarnation)
    }


def _raise_times(heard: dict[str, float], names, time: float) -> None:
    for name in names:
        if heard.get(name, -math.inf) < time:
            heard[name] = time


def _age(time: float, now: float) -> float:
    return min(now - time, MAX_AGE_S)


def _heard_at(state: RelayState, name: str) -> float:
    heard = state.heard.get(name)
    return -math.inf if heard is None else heard.heard_at


def _confirmed_at(state: RelayState, name: str) -> float:
    """Return the last confirmation of a proxy with the same membership."""
    return (
        state.heard[name].none_begun_at if _agrees(state, name) else -math.inf
    )


def _agrees(state: RelayState, name: str) -> bool:
    heard = state.heard.get(name)
    return heard is not None and _is_current(state, name, heard)


def _is_current(
    state: RelayState, name: str, heard: HeardProxy | HeardSummary
) -> bool:
    membership = state.assignment.membership if state.assignment else None
    return (
        heard.membership == membership
        and membership != NO_MEMBERSHIP
        and heard.incarnation == state.incarnations.get(name)
    )
