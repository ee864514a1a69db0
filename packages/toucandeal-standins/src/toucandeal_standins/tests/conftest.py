"""A running deployment with the reel catalogue declared, for each test."""

import contextlib

import pytest

from toucandeal_standins import catalogue
from toucandeal_standins.cluster import (
    ATELIER,
    declare_group_text,
    running_cluster,
    wait_until,
)
from toucandeal_standins.requests import SyncSession

GROUP = ATELIER.group


@contextlib.contextmanager
def declared_cluster(deployment=ATELIER, flags=()):
    """Run a deployment whose group is writable on every proxy."""
    with running_cluster(deployment, flags) as cluster:
        commands = [
            declare_group_text(cluster, GROUP),
            *catalogue.declarations(GROUP),
            'declare class slow of reels write once deadline 5s',
            'declare class lookup of reels read deadline 5s',
        ]
        for command in commands:
            answer = cluster.proxies[0].command(command)
            assert answer['in_force'] == answer['proxies']
        wait_until(
            lambda: all(
                proxy.command('show groups')['rows'][0]['writable']
                for proxy in cluster.proxies
            ),
            'a primary',
        )
        session = SyncSession(cluster, 'conservators')
        served = session.write('schema', catalogue.schema(), proxy=0)
        assert served.status == 200, served
        yield cluster


@pytest.fixture
def cluster():
    """Return a running deployment of the first user's size."""
    with declared_cluster() as running:
        yield running
