"""Settings of the decision code, with their units.

The baselines of the bench are the same code with other policies.
"""

from typing import NamedTuple

__all__ = ['Policies']


class Policies(NamedTuple):
    """Switches and bounds of the decisions.

    Attributes
    ----------
    heartbeat_s : float
        Period of heartbeats to targets and peers.
    suspect_s : float
        Silence after which a primary counts as failed.
    stagger_s : float
        Head start of each proxy over the next one in the order of takeover.
    takeover_timeout_s : float
        Time within which a takeover must end.
    switchover_timeout_s : float
        Time within which a replica must catch up in a planned switchover.
    peer_timeout_s : float
        Silence after which a peer counts as gone.
    pause_s : float
        Gap between two ticks that counts as a pause of the process.
    replica_wait_s : float
        How long a read waits for a replica before it goes to the primary.
    confirm_gap_s : float
        Time between two polls that wait for a confirmation.
    idle_transaction_s : float
        Idle time after which an open transaction is rolled back.
    control_share : float
        Greatest share of a core that heartbeats may cost.
    replica_reads : str
        ``bounded``, ``primary_only`` or ``round_robin``.
    fixed_lag_s : float
        Lag cut-off of ``round_robin``.
    confirm_writes : bool
        Acknowledge a write only when a majority holds it.
    fair_queue : bool
        Order by caller, cost and deadline; otherwise first come.
    admission : bool
        Refuse at once what cannot meet its deadline.
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
