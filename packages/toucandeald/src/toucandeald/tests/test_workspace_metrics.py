"""Replies by workspace, with names of any kind."""

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.parser import text_string_to_metric_families

from toucandeald.workspace_metrics import (
    LISTED_WORKSPACES,
    OTHER,
    WorkspaceMetrics,
    busiest,
)


def test_a_workspace_with_the_name_of_the_sum_is_counted_in_it():
    # Guards against replies of a workspace that no metric has.
    counts = {OTHER: {'done': 9, 'refused': 2}, 'a': {'done': 1}}
    assert busiest(counts, 1) == {OTHER: {'done': 10, 'refused': 2}}


def test_names_with_the_characters_of_the_format_arrive_unchanged():
    # Guards against a name that adds labels or lines to the metrics.
    names = {'a"b', r'a\b', 'a\nb{x="1"} 2', 'a,b="c"', 'é', '#', ' '}
    metrics = WorkspaceMetrics()
    for name in names:
        metrics.count(name, 'done')
    registry = CollectorRegistry()
    registry.register(metrics)
    text = generate_latest(registry).decode()
    family = next(iter(text_string_to_metric_families(text)))
    found = {sample.labels['workspace'] for sample in family.samples}
    assert found == names
    assert {sample.value for sample in family.samples} == {1}


def test_many_workspaces_have_a_limited_number_of_time_series():
    # Guards against as many series as there are workspaces.
    metrics = WorkspaceMetrics()
    for number in range(10 * LISTED_WORKSPACES):
        metrics.count(f'w{number}', 'done')
    family = next(metrics.collect())
    assert len(family.samples) == LISTED_WORKSPACES + 1
