"""Statements that wait for a connection while their key is removed or moved."""

import random

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.caller_sessions import CallerSession, OpenTransaction
from toucandeal.fleet import (
    FleetConfiguration,
    GroupRecord,
    ProxyRecord,
    Route,
    RouteKind,
    Server,
    Statement,
    Verb,
)
from toucandeal.fleet_tables import FleetTables, apply_record
from toucandeal.primary_lease import record_store_read
from toucandeal.store_versions import StoreVersion
from toucandeal.workspaces import Workspace, key_digest
from toucandeald.forwarding import Forwarding
from toucandeald.session_messages import ReplyKind
from toucandeald.steady_clock import virtual_time

ROUTE = Route('db', 'g', RouteKind.PRIMARY, 0.8, 0.2)
WRITE = Statement(Verb.WRITE, 'WRITE a 1', writes=True)


class Pools:
    """Pools whose only connection becomes free when the test says so."""

    def __init__(self):
        self.waiting = []
        self.released = []
        self.sent = []

    def acquire(self, server, session, shapes, connection_request):
        """Wait for the connection."""
        del server, session, shapes, connection_request
        self.waiting.append(defer.Deferred())
        return self.waiting[-1]

    def release(self, server, connection):
        """Take the connection back."""
        del server
        self.released.append(connection)

    def call(self, server, connection, request, timeout_s):
        """Record the request, and never answer it."""
        del server, connection, timeout_s
        self.sent.append(request)
        return defer.Deferred()


def _configuration(keys):
    return FleetConfiguration(
        1,
        {'db': ROUTE},
        {},
        1.0,
        {'north': Workspace('north'), 'south': Workspace('south')},
        {key_digest(key): name for key, name in keys.items()},
    )


@pytest.mark.parametrize('in_transaction', [True, False])
@pytest.mark.parametrize(
    ('keys', 'sent'), [({'k': 'north'}, 1), ({'k': 'south'}, 0), ({}, 0)]
)
def test_a_waiting_statement_is_sent_only_for_its_workspace(
    keys, sent, in_transaction
):
    clock = Clock()
    tables = FleetTables('p1', 'd')
    tables.configuration = _configuration({'k': 'north'})
    tables.servers['r1'] = Server('r1', 'g', 'r1:1', 'd', 1, False, True)
    apply_record(tables, GroupRecord('g', 'r1', version=StoreVersion(1, 1)))
    own = ProxyRecord('p1', 1, 'p1:1')
    record_store_read(tables.primary_lease, 0.0, {'p1': own})
    pools = Pools()
    session = CallerSession(1, 'db', key_digest('k'), 'north')
    if in_transaction:
        session.transaction = OpenTransaction(
            ROUTE, read_only=False, began_at=0.0
        )
    replies = []
    with virtual_time(clock.seconds):
        forwarding = Forwarding(clock, tables, pools, None, random.Random(1))
        defer.ensureDeferred(
            forwarding.forward(session, 'x', WRITE, 0.0)
        ).addCallback(replies.append)
        tables.configuration = _configuration(keys)
        pools.waiting[0].callback('connection')
    assert len(pools.sent) == sent
    assert len(pools.waiting) == 1  # it does not queue again
    if not sent:
        assert pools.released == ['connection']
        assert replies[0].kind is ReplyKind.REFUSED
        assert 'nothing has run' in replies[0].reason
