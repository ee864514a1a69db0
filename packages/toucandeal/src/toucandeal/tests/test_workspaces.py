"""Which workspace a session is in, for each kind of route and key."""

import pytest

from toucandeal.fleet import (
    FleetConfiguration,
    Route,
    RouteKind,
    session_workspace,
)
from toucandeal.workspaces import Workspace, key_digest


def _configuration(keys):
    routes = {
        name: Route(name, 'g', RouteKind.PRIMARY, 1, 1, is_public=public)
        for name, public in (('keyed', False), ('open', True))
    }
    return FleetConfiguration(
        1,
        routes,
        {},
        1,
        {name: Workspace(name) for name in keys},
        {key_digest(key): name for name, held in keys.items() for key in held},
    )


@pytest.mark.parametrize(
    ('keys', 'database', 'key', 'workspace'),
    [
        ({'north': ['a'], 'south': ['b']}, 'keyed', 'a', 'north'),
        ({'north': ['a'], 'south': ['b']}, 'keyed', 'b', 'south'),
        ({'north': ['a'], 'south': ['b']}, 'keyed', 'c', None),
        ({'north': ['a'], 'south': ['b']}, 'keyed', '', None),
        ({'north': ['a'], 'south': ['b']}, 'open', 'b', 'south'),
        ({'north': ['a'], 'south': ['b']}, 'open', 'c', ''),
        ({'north': ['a'], 'south': ['b']}, 'removed route', 'a', 'north'),
        ({'north': ['a'], 'south': ['b']}, 'removed route', 'c', None),
        # All keys removed: the workspace still requires one.
        ({'north': []}, 'keyed', 'a', None),
        ({'north': []}, 'open', 'a', ''),
        # Without workspaces, every caller is served as before.
        ({}, 'keyed', 'a', ''),
        ({}, 'keyed', '', ''),
        ({}, 'removed route', 'a', ''),
    ],
)
def test_a_session_runs_in_the_workspace_of_its_key(
    keys, database, key, workspace
):
    found = session_workspace(_configuration(keys), database, key_digest(key))
    assert found == workspace
