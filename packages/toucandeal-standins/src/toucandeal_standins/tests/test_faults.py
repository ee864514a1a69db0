"""Guarantees under faults: single, combined in pairs, and repeated."""

import pytest

from toucandeal_standins.cluster import ATELIER
from toucandeal_standins.declared import declared_cluster
from toucandeal_standins.faults import FAULTS
from toucandeal_standins.process import wait_until
from toucandeal_standins.writers import Writers

FIVE_SERVERS = ATELIER._replace(servers=5)
SINGLY = [(name,) for name in FAULTS]
PAIRS = [
    ('store down', 'primary killed'),
    ('store down', 'primary partitioned'),
    ('proxy killed', 'primary killed'),
    ('proxy stopped', 'primary stopped'),
    ('link to primary held', 'primary partitioned'),
    ('answers of primary lost', 'store slow'),
    ('replicas paused', 'primary partitioned'),
    ('peers not heard', 'primary partitioned'),
]
LINK_FAULT_WORDS = ('link', 'answers of', 'peers')
TWICE = [
    'primary killed',
    'primary partitioned',
    'primary stopped',
    'proxy stopped',
    'answers of primary lost',
]


def _linked_proxies(names):
    return int(any(word in name for name in names for word in LINK_FAULT_WORDS))


def _inject(cluster, names):
    return [FAULTS[name].inject(cluster) for name in names]


def _run(cluster, rounds):
    writers = Writers(cluster)
    try:
        writers.wait_for_writes(20)
        for names in rounds:
            recoveries = _inject(cluster, names)
            if all(FAULTS[name].writes_served for name in names):
                writers.wait_for_writes(30)
            else:
                before = sum(writers.outcomes.values())
                _wait_for_outcomes(writers, before + 20)
            for recover in recoveries:
                recover()
            writers.wait_for_writes(20)
    finally:
        writers.stop()
    return writers


def _wait_for_outcomes(writers, number):
    wait_until(
        lambda: sum(writers.outcomes.values()) >= number, 'more outcomes'
    )


@pytest.mark.parametrize(
    'names', SINGLY + PAIRS, ids=lambda names: ' and '.join(names)
)
def test_guarantees_hold_under(names):
    with declared_cluster(linked=_linked_proxies(names)) as cluster:
        assert _run(cluster, [names]).verify().violated == {}


def test_guarantees_hold_under_paused_replica_and_silent_primary():
    # With three servers only one would remain, so no write could be confirmed.
    names = ('replica paused', 'primary silent')
    with declared_cluster(FIVE_SERVERS) as cluster:
        assert _run(cluster, [names]).verify().violated == {}


@pytest.mark.parametrize('name', TWICE)
def test_guarantees_hold_when_a_fault_recurs(name):
    with declared_cluster(FIVE_SERVERS, (), _linked_proxies([name])) as cluster:
        assert _run(cluster, [(name,), (name,)]).verify().violated == {}
