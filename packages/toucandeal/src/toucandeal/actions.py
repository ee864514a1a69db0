"""Actions that the systems return to the embedding process.

Each action is a ``NamedTuple``; the process performs them in order.
"""

from typing import Any, NamedTuple

from toucandeal.entities import Operation
from toucandeal.outcomes import Outcome

__all__ = [
    'Action',
    'Decision',
    'DropTransaction',
    'Execute',
    'Fence',
    'Poll',
    'Promote',
    'Reply',
    'ResizePool',
    'SendHeartbeat',
    'WakeAt',
]


class Execute(NamedTuple):
    """Send a request's statements to a target.

    The connection is closed if no answer has arrived by `deadline_at`.
    """

    request: int
    target: str
    operation: Operation
    term: int
    transaction: str | None
    deadline_at: float


class Poll(NamedTuple):
    """Request the status of a target."""

    target: str
    sent_at: float


class Fence(NamedTuple):
    """Request that a target refuse every term below `term`."""

    group: str
    target: str
    term: int


class Promote(NamedTuple):
    """Request that a target fenced at `term` become the primary."""

    group: str
    target: str
    term: int


class Reply(NamedTuple):
    """Answer a request."""

    request: int
    outcome: Outcome


class ResizePool(NamedTuple):
    """Set the number of data connections to a target; 0 closes the pool."""

    target: str
    address: str
    size: int


class DropTransaction(NamedTuple):
    """Close the connection of a transaction, which rolls it back."""

    transaction: str


class SendHeartbeat(NamedTuple):
    """Send the peers a heartbeat now, ahead of the heartbeat interval."""


class WakeAt(NamedTuple):
    """Run the systems no later than this time."""

    at: float


class Decision(NamedTuple):
    """A log entry: a decision, its subject, its reason and its inputs."""

    kind: str
    subject: str
    choice: str
    reason: str
    inputs: dict[str, Any]


Action = (
    Execute
    | Poll
    | Fence
    | Promote
    | Reply
    | ResizePool
    | DropTransaction
    | SendHeartbeat
    | WakeAt
    | Decision
)
