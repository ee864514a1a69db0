"""Fixtures of the library's tests."""

import pytest
from hypothesis import settings

from toucandeal.tests.world import SimulatedProxy

settings.register_profile('same', derandomize=True, deadline=None)
settings.load_profile('same')


@pytest.fixture
def world():
    """Return a proxy whose group has a stable primary, `a`."""
    proxy = SimulatedProxy()
    proxy.all_report()
    proxy.tick(1.0)
    proxy.all_report()
    proxy.now += 0.01
    proxy.actions.clear()
    return proxy
