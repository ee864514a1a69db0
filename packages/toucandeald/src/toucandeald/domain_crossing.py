"""Updates, reports and logs the shares of reads that leave the domain."""

import math

from toucandeal.fleet_tables import FleetTables
from toucandeal.read_crossing import CrossingStep, step_crossing
from toucandeald.logs import log_event
from toucandeald.prometheus_metrics import PrometheusMetrics

__all__ = ['DomainCrossing']

MS_PER_S = 1000


class DomainCrossing:
    """The shares of this proxy, with their metrics and log lines."""

    def __init__(self, tables: FleetTables, metrics: PrometheusMetrics) -> None:
        """Initialize with the tables that hold the shares."""
        self._tables = tables
        self._metrics = metrics

    def tick(self, now: float) -> None:
        """Update all shares; it is called every 0.25 s."""
        for step in step_crossing(self._tables, now):
            self._report(step)
            if step.logs:
                self._log(step)

    def _report(self, step: CrossingStep) -> None:
        evidence = step.evidence
        asked = max(step.asked, 1)
        measures = {
            'share': step.share,
            'left': step.left / asked,
            'unserved': evidence.unserved,
            'own_wait_seconds': evidence.own_wait_s,
            'away_wait_seconds': evidence.away_wait_s,
            'distance_seconds': evidence.distance_s,
        }
        self._metrics.crossing(
            step.group, self._tables.failure_domain, measures
        )

    def _log(self, step: CrossingStep) -> None:
        evidence = step.evidence
        log_event(
            'crossing share',
            group=step.group,
            failure_domain=self._tables.failure_domain,
            share=round(step.share, 3),
            destinations=sorted(step.destinations),
            own_wait_ms=_ms(evidence.own_wait_s),
            own_age_ms=_ms(evidence.own_age_s),
            away_wait_ms=_ms(evidence.away_wait_s),
            away_age_ms=_ms(evidence.away_age_s),
            distance_ms=_ms(evidence.distance_s),
            crossing_cost_ms=_ms(self._tables.crossing_cost_s),
            unserved=round(evidence.unserved, 3),
        )


def _ms(seconds: float) -> float | None:
    """Return milliseconds, or None for an unknown time."""
    return None if math.isinf(seconds) else round(seconds * MS_PER_S, 1)
