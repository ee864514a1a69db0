"""Replies by workspace, for deployments with many of them.

The busiest workspaces are listed by name and the others as one, so that a
large configuration does not multiply the time series of each proxy.
"""

import collections
from collections.abc import Iterator, Mapping

from prometheus_client.core import GaugeMetricFamily

__all__ = ['WorkspaceMetrics', 'busiest']

LISTED_WORKSPACES = 20
OTHER = 'other'
NO_WORKSPACE = '-'  # a public session without a key, or an unknown key

Counts = Mapping[str, Mapping[str, int]]


def busiest(counts: Counts, limit: int) -> dict[str, dict[str, int]]:
    """Return the busiest workspaces by name, and the sum of the others.

    Parameters
    ----------
    counts : mapping
        Number of replies by workspace and outcome.
    limit : int
        Of workspaces listed by name.

    Examples
    --------
    >>> counts = {'a': {'done': 5}, 'b': {'done': 1}, 'c': {'done': 2}}
    >>> busiest(counts, 1)
    {'a': {'done': 5}, 'other': {'done': 3}}
    """
    ranked = sorted(
        counts, key=lambda name: (-sum(counts[name].values()), name)
    )
    listed = {name: dict(counts[name]) for name in ranked[:limit]}
    others: collections.Counter[str] = collections.Counter()
    for name in ranked[limit:]:
        others.update(counts[name])
    if others:
        others.update(listed.get(OTHER, {}))  # a workspace of this name
        listed[OTHER] = dict(others)
    return listed


class WorkspaceMetrics:
    """A collector of replies by workspace.

    The counts are exported as gauges: the sum of the others decreases when a
    workspace becomes one of the busiest, which a counter may not.
    """

    def __init__(self) -> None:
        """Start without replies."""
        self._counts: dict[str, collections.Counter[str]] = {}

    def count(self, workspace: str, outcome: str) -> None:
        """Count a reply."""
        name = workspace or NO_WORKSPACE
        self._counts.setdefault(name, collections.Counter())[outcome] += 1

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the metrics; there are none without workspaces."""
        if not self._counts:
            return
        family = GaugeMetricFamily(
            'toucandeal_workspace_replies',
            'Replies since the start, of the busiest workspaces',
            labels=('workspace', 'outcome'),
        )
        for name, outcomes in busiest(self._counts, LISTED_WORKSPACES).items():
            for outcome, number in outcomes.items():
                family.add_metric((name, outcome), number)
        yield family
