"""Settings of the decision code, with their units.

The benchmark's baselines run the same code with other policies.
"""

from typing import NamedTuple

__all__ = ['Policies']


class Policies(NamedTuple):
    """Options and limits of the decision code.

    Attributes
    ----------
    heartbeat_s : float
        Heartbeat interval to targets and peers.
    suspect_s : float
        Time without an answer after which a primary counts as failed.
    stagger_s : float
        Delay between consecutive proxies in the takeover order.
    takeover_timeout_s : float
        Time within which a takeover must complete.
    switchover_timeout_s : float
        Time within which a replica must catch up in a planned switchover.
    peer_timeout_s : float
        Time without a heartbeat after which a peer counts as gone.
    pause_s : float
        Gap between two inputs or ticks that counts as a pause of the process.
    replica_wait_s : float
        How long a read waits for a replica before it is sent to the primary.
    confirm_gap_s : float
        Poll interval while requests wait for confirmation.
    idle_transaction_s : float
        Idle time after which an open transaction is rolled back.
    control_share : float
        Largest share of a CPU core that heartbeats may use.
    replica_reads : str
        ``bounded``, ``primary_only`` or ``round_robin``.
    fixed_lag_s : float
        Replication lag above which ``round_robin`` skips a replica.
    confirm_writes : bool
        Acknowledge a write only after a majority has stored it.
    fair_queue : bool
        Order requests by caller, cost and deadline instead of by arrival.
    admission : bool
        Refuse requests immediately if they cannot meet their deadline.
    """

    heartbeat_s: float = 0.05
    suspect_s: float = 0.15
    stagger_s: float = 0.08
    takeover_timeout_s: float = 0.3
    switchover_timeout_s: float = 1.0
    peer_timeout_s: float = 0.8
    pause_s: float = 0.4
    replica_wait_s: float = 0.012
    confirm_gap_s: float = 0.002
    idle_transaction_s: float = 5.0
    control_share: float = 0.1
    replica_reads: str = 'bounded'
    fixed_lag_s: float = 1.0
    confirm_writes: bool = True
    fair_queue: bool = True
    admission: bool = True
