"""Waits of statements for a server that can run them."""

from collections.abc import Callable

from toucandeal.fleet import find_workspace
from toucandeal.fleet_tables import accepts_operations
from toucandeal.placement import Placement, Refusal, useful_wait_s
from toucandeald.admission import KEY_CHANGED, holds_workspace
from toucandeald.forwarding_context import ForwardingContext
from toucandeald.session_messages import AnswerKind, ServerAnswer
from toucandeald.statement_calls import StatementCall
from toucandeald.steady_clock import pause, steady_seconds

__all__ = [
    'is_wanted',
    'may_repeat',
    'repeat_window_s',
    'wait_for_placement',
    'withheld_reason',
]

CHECK_INTERVAL_S = 0.03


async def wait_for_placement(
    context: ForwardingContext,
    call: StatementCall,
    place: Callable[[], Placement | Refusal],
) -> Placement | Refusal:
    """Return the placement of a statement as soon as there is one.

    Parameters
    ----------
    context : ForwardingContext
    call : StatementCall
    place : callable
        Returns the placement at the present time, or a refusal.

    Returns
    -------
    Placement or Refusal
        The last refusal if no server could run the statement while waiting
        for one was of use.
    """
    while True:
        placement = place()
        if isinstance(placement, Placement) or not _may_wait(
            context, call, placement
        ):
            return placement
        await pause(context.clock, CHECK_INTERVAL_S)


def _may_wait(
    context: ForwardingContext, call: StatementCall, refusal: Refusal
) -> bool:
    waited_s = steady_seconds() + CHECK_INTERVAL_S - call.began_at
    return (
        waited_s < useful_wait_s(refusal, call.route)
        and not _has_rate(context, call)
        and is_wanted(context, call)
    )


def is_wanted(context: ForwardingContext, call: StatementCall) -> bool:
    """Return whether the caller waits for the answer and may receive it."""
    return (
        not context.pools.stopped
        and not call.session.ended
        and holds_workspace(context.tables, call.session)
    )


def _has_rate(context: ForwardingContext, call: StatementCall) -> bool:
    """Return whether the operations of the statement's workspace are limited.

    All that wait for a promotion are sent at its end, in addition to those that
    the rate allows then.
    """
    workspace = find_workspace(
        context.tables.configuration, call.session.workspace
    )
    return workspace is not None and workspace.rate_per_s is not None


def repeat_window_s(
    context: ForwardingContext,
    call: StatementCall,
    answer: ServerAnswer,
    usual_s: float,
) -> float:
    """Return the time from its start in which a statement may be repeated.

    One that was withheld may be repeated until its time-out, like one that
    waits for a server.
    """
    if answer.kind is AnswerKind.WITHHELD and not _has_rate(context, call):
        return call.route.timeout_s
    return usual_s


def may_repeat(
    context: ForwardingContext, call: StatementCall, answer: ServerAnswer
) -> bool:
    """Return whether an attempt without effect is followed by another one."""
    elapsed_s = steady_seconds() - call.began_at
    window_s = repeat_window_s(context, call, answer, call.retry_window_s)
    return elapsed_s <= window_s and is_wanted(context, call)


def withheld_reason(
    context: ForwardingContext, call: StatementCall, placement: Placement
) -> str:
    """Return why a statement that has a connection is not sent, or ``''``.

    The primary, the key or the caller may have changed while it waited.
    """
    name = placement.server.name
    if not accepts_operations(context.tables, name, steady_seconds()):
        return 'the server has been leaving for too long'
    if not context.validation.is_current(placement):
        return 'the primary may have changed'
    if not holds_workspace(context.tables, call.session):
        return KEY_CHANGED
    return 'the caller has left' if call.session.ended else ''
