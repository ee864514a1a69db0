"""A running deployment with the reel catalogue declared, for each test."""

import pytest

from toucandeal_standins.declared import declared_cluster


@pytest.fixture
def cluster():
    """Return a running deployment of the first user's size."""
    with declared_cluster() as running:
        yield running
