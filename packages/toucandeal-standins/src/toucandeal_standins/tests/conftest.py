"""Fixture of a running deployment with the reel catalogue declared."""

import pytest

from toucandeal_standins.declared import declared_cluster


@pytest.fixture
def cluster():
    """Return a new deployment of the `ATELIER` size for each test."""
    with declared_cluster() as running:
        yield running
