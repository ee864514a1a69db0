"""Admission of callers' operations within the rate of their workspace."""

from collections.abc import Awaitable, Callable, Mapping

from toucandeal.caller_sessions import CallerSession
from toucandeal.fleet import Statement, Verb
from toucandeal.fleet_tables import FleetTables
from toucandeal.placement import Refusal
from toucandeald.rate_coordination import RateCoordination
from toucandeald.replies import refused
from toucandeald.session_messages import CallerReply

__all__ = ['OVER_LIMIT', 'RateAdmission', 'busiest_workspaces']

OVER_LIMIT = 'the rate limit of the workspace is reached'
MAX_LISTED = 20  # workspaces with metrics of their own
OTHER = 'other'


class RateAdmission:
    """Spends one token for each operation of a workspace with a rate."""

    def __init__(
        self,
        tables: FleetTables,
        rates: RateCoordination,
        fail_transaction: Callable[[CallerSession, str], None],
    ) -> None:
        """Initialize with what rolls back a session's transaction."""
        self.granted: dict[str, int] = {}
        self.refused: dict[str, int] = {}
        self._tables = tables
        self._rates = rates
        self._fail_transaction = fail_transaction
        rates.on_decision = self._count

    async def run(
        self,
        session: CallerSession,
        statement: Statement,
        began_at: float,
        forward: Callable[[], Awaitable[CallerReply]],
    ) -> CallerReply:
        """Forward a statement if its operation has or gets a token."""
        workspace = session.workspace
        if not _begins_operation(session, statement):
            return await forward()
        delay_s = await self._rates.acquire(
            workspace, began_at + self._objective_s(session)
        )
        if delay_s is not None:
            self._fail_transaction(session, OVER_LIMIT)
            return refused(session, Refusal(OVER_LIMIT, delay_s))
        session.ran = False
        answer = await forward()
        if not session.ran:
            self._rates.give_back(workspace)
        return answer

    def _objective_s(self, session: CallerSession) -> float:
        if session.transaction is not None:
            return session.transaction.route.latency_objective_s
        route = self._tables.configuration.routes.get(session.database)
        return 0 if route is None else route.latency_objective_s

    def _count(self, workspace: str, granted: bool) -> None:
        counts = self.granted if granted else self.refused
        counts[workspace] = counts.get(workspace, 0) + 1


def _begins_operation(session: CallerSession, statement: Statement) -> bool:
    """Return whether a statement that is forwarded costs a token.

    A transaction costs one with its first statement other than its end.
    """
    if not session.workspace or statement.verb is Verb.COMMIT:
        return False
    transaction = session.transaction
    return transaction is None or transaction.placement is None


def busiest_workspaces(counts: Mapping[str, int]) -> dict[str, int]:
    """Return the counts of the busiest workspaces, and of all others.

    Examples
    --------
    >>> counts = busiest_workspaces({f'w{rank}': rank for rank in range(30)})
    >>> len(counts), counts['w29'], counts['other']
    (21, 29, 45)
    """
    ranked = sorted(counts, key=lambda name: (-counts[name], name))
    listed = {name: counts[name] for name in ranked[:MAX_LISTED]}
    others = sum(counts[name] for name in ranked[MAX_LISTED:])
    return listed | {OTHER: others} if others else listed
