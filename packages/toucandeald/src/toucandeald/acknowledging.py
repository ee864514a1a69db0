"""Passes servers' answers on only while they are surely valid."""

from toucandeal.fleet_tables import FleetTables, group_state
from toucandeal.permissions import basis_ends_at
from toucandeal.placement import Place, Refuse
from toucandeald.confirmations import Confirmations
from toucandeald.replies import RETRY_S, done, refused, reply
from toucandeald.session_messages import CallerReply, ReplyKind, ServerAnswer
from toucandeald.statement_calls import Call
from toucandeald.steady_clock import steady_seconds

__all__ = ['Acknowledging']


class Acknowledging:
    """What decides whether an answer still stands."""

    def __init__(
        self, tables: FleetTables, confirmations: Confirmations
    ) -> None:
        """Take what confirms writes."""
        self._tables = tables
        self._confirmations = confirmations

    def is_current(self, place: Place) -> bool:
        """Return whether answers of the place may still be passed on."""
        if not place.on_primary:
            return True
        now = steady_seconds()
        group = group_state(self._tables, place.server.group)
        return (
            group.epoch == place.epoch
            and now < group.work_until
            and now < basis_ends_at(self._tables.permissions, now)
        )

    def answered(
        self, call: Call, place: Place, answer: ServerAnswer
    ) -> CallerReply:
        """Pass the success of a read on."""
        if self.is_current(place):
            return done(call.session, answer)
        return refused(
            call.session, Refuse('the primary may have changed', RETRY_S)
        )

    async def acknowledge(
        self, call: Call, place: Place, answer: ServerAnswer
    ) -> CallerReply:
        """Pass a write's success on once it can't be lost any more."""
        kept = answer.position is not None and await self._confirmations.wait(
            place.server.group,
            place.server.name,
            answer.position,
            call.deadline_at,
            lambda: self.is_current(place),
        )
        if not kept or not self.is_current(place):
            return reply(
                call.session,
                ReplyKind.UNKNOWN,
                'no replica has confirmed the write in time',
            )
        call.session.seen = max(call.session.seen, answer.position)
        return done(call.session, answer)
