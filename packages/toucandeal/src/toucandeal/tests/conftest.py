"""Fixtures of the library's tests."""

import pytest
from hypothesis import settings

from toucandeal.tests.world import World

settings.register_profile('same', derandomize=True, deadline=None)
settings.load_profile('same')


@pytest.fixture
def world():
    """Return tables whose group has a settled primary, `a`."""
    built = World()
    built.all_report()
    built.tick(1.0)
    built.all_report()
    built.now += 0.01
    built.actions.clear()
    return built
