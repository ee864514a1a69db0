"""What the systems ask the embedding process to do.

Each action is a plain row; the process performs them in order.
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
    'TellPeers',
    'WakeAt',
]


class Execute(NamedTuple):
    """Send a request's statements to a target.

    A connection whose answer is not there at `deadline_at` is closed.
    """

    request: int
    target: str
    operation: Operation
    term: int
    transaction: str | None
    deadline_at: float


class Poll(NamedTuple):
    """Ask a target for its status."""

    target: str
    sent_at: float


class Fence(NamedTuple):
    """Ask a target to refuse every term below `term`."""

    group: str
    target: str
    term: int


class Promote(NamedTuple):
    """Ask a target that is fenced at `term` to become the primary."""

    group: str
    target: str
    term: int


class Reply(NamedTuple):
    """Answer a request."""

    request: int
    outcome: Outcome


class ResizePool(NamedTuple):
    """Hold this many data connections to a target; 0 closes the pool."""

    target: str
    address: str
    size: int


class DropTransaction(NamedTuple):
    """Close the connection of a transaction, which rolls it back."""

    transaction: str


class TellPeers(NamedTuple):
    """Send the peers a heartbeat now, without waiting for the next one."""


class WakeAt(NamedTuple):
    """Run the systems again at this time at the latest."""

    at: float


class Decision(NamedTuple):
    """A log line: what was decided, for what, and from which inputs."""

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
    | TellPeers
    | WakeAt
    | Decision
)
