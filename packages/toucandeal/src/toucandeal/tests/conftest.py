"""Fixtures of the library's tests."""

import pytest
from hypothesis import settings

from toucandeal.tests.simulated_proxy import SimulatedProxy

settings.register_profile('same', derandomize=True, deadline=None)
settings.load_profile('same')


@pytest.fixture
def simulated_proxy():
    """Return a proxy whose group has a stable primary, `a`."""
    proxy = SimulatedProxy()
    proxy.report_all()
    proxy.tick(1.0)
    proxy.report_all()
    proxy.now += 0.01
    proxy.actions.clear()
    return proxy
