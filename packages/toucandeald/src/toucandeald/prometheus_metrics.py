"""Counters, gauges and latency histograms in the Prometheus text format."""

from collections.abc import Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from toucandeald.workspace_metrics import WorkspaceMetrics

__all__ = ['PrometheusMetrics']

# Spread around the latency objectives of callers, 100 to 800 ms.
_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.8, 1.6, 3.2)


class PrometheusMetrics:
    """The Prometheus metrics of a proxy."""

    def __init__(self) -> None:
        """Register the metrics."""
        self.workspaces = WorkspaceMetrics()
        self._registry = CollectorRegistry()
        self._registry.register(self.workspaces)
        self._replies = Counter(
            'toucandeal_replies',
            'Replies to callers',
            ['statement', 'outcome'],
            registry=self._registry,
        )
        self._latency = Histogram(
            'toucandeal_reply_seconds',
            'From a whole request to its reply',
            ['statement'],
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
        self._gauges = Gauge(
            'toucandeal_state',
            'Sizes and versions that hold now',
            ['name'],
            registry=self._registry,
        )
        self._rates = Gauge(
            'toucandeal_rate_operations',
            'Operations of the busiest workspaces, by the rate limit',
            ['workspace', 'outcome'],
            registry=self._registry,
        )

        self._crossing = Gauge(
            'toucandeal_crossing',
            'Reads of a group that leave the failure domain, with the waits',
            ['group', 'failure_domain', 'measure'],
            registry=self._registry,
        )

    @property
    def registry(self) -> CollectorRegistry:
        """Return the registry of all metrics."""
        return self._registry

    def count_reply(self, statement: str, outcome: str, seconds: float) -> None:
        """Count a reply and its latency."""
        self._replies.labels(statement, outcome).inc()
        self._latency.labels(statement).observe(seconds)

    def list_rates(self, outcome: str, counts: Mapping[str, int]) -> None:
        """Show the numbers of operations by workspace."""
        for workspace, count in counts.items():
            self._rates.labels(workspace, outcome).set(count)

    def clear_rates(self) -> None:
        """Remove all workspaces, as other ones may be the busiest now."""
        self._rates.clear()

    def crossing(
        self, group: str, failure_domain: str, measures: dict[str, float]
    ) -> None:
        """Set the measures of a group in this proxy's failure domain."""
        for name, level in measures.items():
            self._crossing.labels(group, failure_domain, name).set(level)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        self._gauges.labels(name).set(level)
