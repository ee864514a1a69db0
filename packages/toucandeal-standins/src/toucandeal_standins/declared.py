"""Starts a deployment and declares the reel catalogue on it."""

import contextlib
from collections.abc import Iterator

from toucandeal_standins import catalogue
from toucandeal_standins.cluster import (
    ATELIER,
    Cluster,
    Deployment,
    class_suffixes,
    declare_group_text,
    group_names,
    running_cluster,
)
from toucandeal_standins.process import wait_until
from toucandeal_standins.requests import SyncSession

__all__ = ['declare_all', 'declared_cluster']

TEST_CLASSES = (
    'declare class slow of {group} write once deadline 5s',
    'declare class lookup of {group} read deadline 5s',
)
REPEATED_OUTCOMES = frozenset(('refused', 'unknown'))


def declare_all(cluster: Cluster) -> None:
    """Declare the groups and classes and create the catalogue's tables.

    Raises
    ------
    RuntimeError
        A command or the schema was rejected.
    """
    names = group_names(cluster.deployment)
    suffixes = class_suffixes(cluster.deployment)
    for number, (group, suffix) in enumerate(zip(names, suffixes, strict=True)):
        commands = [
            declare_group_text(cluster, group),
            *catalogue.declarations(group, suffix),
            *(
                text.format(group=group)
                for text in TEST_CLASSES[: 2 - 2 * number]
            ),
        ]
        for command in commands:
            _require_field('in_force', cluster.proxies[0].command(command))
    wait_until(lambda: _all_writable(cluster), 'primaries')
    session = SyncSession(cluster, 'conservators')
    for suffix in suffixes:
        _create_tables(session, f'booking{suffix}')


def _create_tables(session: SyncSession, request_class: str) -> None:
    """Create the tables; the same request key makes it safe to repeat.

    On a busy machine the answer may come after the deadline of the class.
    """
    answers: list[dict] = []

    def has_outcome() -> bool:
        answers.append(
            session.write(
                'schema',
                catalogue.schema(),
                proxy=0,
                request_class=request_class,
            ).body
        )
        return answers[-1].get('outcome') not in REPEATED_OUTCOMES

    wait_until(has_outcome, 'the tables')
    _require_field('results', answers[-1])


def _require_field(field: str, answer: dict) -> None:
    if field not in answer:
        raise RuntimeError(f'the command or schema was rejected: {answer}')


def _all_writable(cluster: Cluster) -> bool:
    return all(
        row['writable']
        for proxy in cluster.proxies
        for row in proxy.command('show groups')['rows']
    )


@contextlib.contextmanager
def declared_cluster(
    deployment: Deployment = ATELIER,
    flags: tuple[str, ...] = (),
    linked: int = 0,
) -> Iterator[Cluster]:
    """Run a deployment whose groups are writable on every proxy."""
    with running_cluster(deployment, flags, linked) as cluster:
        declare_all(cluster)
        yield cluster
