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
    workspace.
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


class RateGrant(msgspec.Struct, tag='y', array_like=True):
    """Tokens for the sender of a report.

    `sent_at` is in the coordinator's clock, and `report_sent_at` the
    report's `sent_at`, from which the tokens are valid. A coordinator that is
    draining sets `released` and no longer uses the recipient's votes.
    """

    sender: str
    incarnation: int
    shard: str
    sent_at: float
    report_sent_at: float
    tokens: dict[str, int]
    released: bool = False
