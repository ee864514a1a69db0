"""Messages by which a rate coordinator grants tokens to the other proxies.

Each report is answered with a grant; if tokens are scarce, further grants
follow as the bucket fills.
"""

import msgspec

__all__ = ['RateGrant', 'RateReport']


class RateReport(msgspec.Struct, tag='x', array_like=True):
    """A proxy's vote for the coordinator of a shard, and its requests.

    `echo` is the `sent_at` of the last grant received from the coordinator's
    `echo_incarnation`; a report without an echo is no vote. `sent_at` is in
    the sender's clock. `wanted` and `returned` are numbers of tokens by
    workspace, and `waiting` the operations among `wanted` that wait already.
    """

    sender: str
    incarnation: int
    address: str
    shard: str
    echo: float
    echo_incarnation: int
    sent_at: float
    wanted: dict[str, int]
    returned: dict[str, int]
    waiting: dict[str, int] = {}


class RateGrant(msgspec.Struct, tag='y', array_like=True):
    """Tokens for the sender of a report.

    `sent_at` is in the coordinator's clock, and `report_sent_at` the
    report's `sent_at`, from which the tokens are valid. A coordinator that is
    draining sets `released` and no longer uses the recipient's votes. `waits`
    are the times, in seconds by workspace, in which the bucket yields tokens
    for all operations that wait.
    """

    sender: str
    incarnation: int
    shard: str
    sent_at: float
    report_sent_at: float
    tokens: dict[str, int]
    released: bool = False
    waits: dict[str, float] = {}
