"""Validation of servers' answers before they are passed to callers."""

from toucandeal.acknowledged_writes import note_acknowledged
from toucandeal.fleet_tables import FleetTables, group_state
from toucandeal.placement import Placement, Refusal
from toucandeal.primary_lease import lease_expires_at
from toucandeald.confirmations import Confirmations
from toucandeald.replies import DEFAULT_RETRY_AFTER_S, done, refused, reply
from toucandeald.session_messages import CallerReply, ReplyKind, ServerAnswer
from toucandeald.statement_calls import StatementCall
from toucandeald.steady_clock import steady_seconds

__all__ = ['AnswerValidation']


class AnswerValidation:
    """Decides whether a server's answer may be passed to the caller."""

    def __init__(
        self, tables: FleetTables, confirmations: Confirmations
    ) -> None:
        """Initialize with the confirmations of writes."""
        self._tables = tables
        self._confirmations = confirmations

    def is_current(self, placement: Placement) -> bool:
        """Return whether answers from a placement may still be passed on."""
        if not placement.on_primary:
            return True
        now = steady_seconds()
        group = group_state(self._tables, placement.server.group)
        return (
            group.epoch == placement.epoch
            and now < group.primary_work_until
            and now < lease_expires_at(self._tables.primary_lease, now)
        )

    def complete_read(
        self, call: StatementCall, placement: Placement, answer: ServerAnswer
    ) -> CallerReply:
        """Return the reply to a successful read."""
        if self.is_current(placement):
            return done(call.session, answer)
        return refused(
            call.session,
            Refusal('the primary may have changed', DEFAULT_RETRY_AFTER_S),
        )

    async def acknowledge_write(
        self, call: StatementCall, placement: Placement, answer: ServerAnswer
    ) -> CallerReply:
        """Return the reply to a successful write once it can't be lost."""
        confirmed = (
            answer.position is not None
            and await self._confirmations.wait(
                placement.server.group,
                placement.server.name,
                answer.position,
                call.deadline_at,
                lambda: self.is_current(placement),
            )
        )
        if not confirmed or not self.is_current(placement):
            return reply(
                call.session,
                ReplyKind.UNKNOWN,
                'no replica has confirmed the write in time',
            )
        group = group_state(self._tables, placement.server.group)
        note_acknowledged(group.acknowledged, answer.position)
        call.session.seen = max(call.session.seen, answer.position)
        return done(call.session, answer)
