"""The order of waiting statements, and their admission."""

from hypothesis import given
from hypothesis import strategies as st

from toucandeal.connection_workspaces import (
    ANY_WORKSPACE,
    UNKNOWN_WORKSPACE,
)
from toucandeal.statement_queue import (
    ConnectionRequest,
    ServiceRate,
    StatementQueue,
    WaitingStatement,
    enter,
    expected_wait_s,
    first_of_workspaces,
    is_worth_waiting,
    leave,
    next_statement,
    next_statement_for,
)
from toucandeal.tests import plain_statement_order

SERVICE = ServiceRate(2, 0.02)


def _enter(
    queue, identity, priority=1, database='a', late_at=5.0, workspace=''
):
    connection_request = ConnectionRequest(
        priority, database, late_at, late_at + 1, workspace
    )
    statement = WaitingStatement(connection_request, identity)
    enter(queue, statement)
    return statement


def _served(queue, now, count):
    order = []
    for _ in range(count):
        first = next_statement(queue, now)
        leave(queue, first, served=True)
        order.append(first.identity)
    return order


def test_urgent_statements_go_first():
    queue = StatementQueue()
    _enter(queue, 1, priority=2)
    _enter(queue, 2, priority=0)
    _enter(queue, 3, priority=1)
    assert _served(queue, 0.0, 3) == [2, 3, 1]


def test_the_nearest_objective_goes_first():
    queue = StatementQueue()
    _enter(queue, 1, late_at=7.0)
    _enter(queue, 2, late_at=6.0)
    assert _served(queue, 0.0, 2) == [2, 1]


def test_a_busy_database_does_not_delay_another():
    queue = StatementQueue()
    for number in range(10):
        _enter(queue, number, database='busy', late_at=1.0)
    _enter(queue, 99, database='quiet', late_at=4.0)
    assert 99 in _served(queue, 0.0, 2)


def test_a_late_backlog_does_not_delay_timely_statements():
    queue = StatementQueue()
    for number in range(5):
        _enter(queue, number, late_at=1.0)
    _enter(queue, 99, priority=2, late_at=3.0)
    assert _served(queue, 2.0, 6) == [99, 0, 1, 2, 3, 4]


def test_a_cancelled_statement_does_not_count_as_served():
    queue = StatementQueue()
    leave(queue, _enter(queue, 1, database='a'), served=False)
    _enter(queue, 2, database='a', late_at=5.0)
    _enter(queue, 3, database='b', late_at=6.0)
    assert _served(queue, 0.0, 2) == [2, 3]


def test_a_late_statement_is_expected_to_be_served_last():
    queue = StatementQueue()
    for number in range(20):
        _enter(queue, number, late_at=9.0)
    connection_request = ConnectionRequest(1, 'a', 4.0, 5.0)
    assert expected_wait_s(queue, connection_request, SERVICE, 3.0) == 0.01
    assert expected_wait_s(queue, connection_request, SERVICE, 4.5) == 21 * 0.01


def test_a_statement_that_cannot_be_served_in_time_is_refused():
    queue = StatementQueue()
    for number in range(100):
        _enter(queue, number, late_at=1.0)
    assert not is_worth_waiting(
        queue, ConnectionRequest(1, 'a', 1.5, 1.9), SERVICE, 1.0
    )
    assert is_worth_waiting(
        queue, ConnectionRequest(0, 'a', 1.5, 1.9), SERVICE, 1.0
    )


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.sampled_from('abc'), st.floats(0, 10)),
        max_size=30,
    ),
    st.floats(0, 10),
)
def test_each_statement_is_served_once_and_late_ones_last(entries, now):
    queue = StatementQueue()
    for identity, (priority, database, late_at) in enumerate(entries):
        _enter(queue, identity, priority, database, late_at)
    order = _served(queue, now, len(entries))
    assert sorted(order) == list(range(len(entries)))
    late = [entries[identity][2] <= now for identity in order]
    assert late == sorted(late) and not queue


def test_a_busy_workspace_with_many_databases_does_not_delay_another():
    # Guards against a workspace that multiplies its share by its databases.
    queue = StatementQueue()
    for number in range(20):
        _enter(queue, number, database=f'd{number}', workspace='busy')
    for number in range(100, 105):
        _enter(queue, number, database='d', late_at=8.0, workspace='quiet')
    served = _served(queue, 0.0, 10)
    assert sum(identity >= 100 for identity in served) == 5


def test_databases_share_within_a_workspace():
    # Guards against one database of a workspace that delays the others.
    queue = StatementQueue()
    for number in range(10):
        _enter(queue, number, database='busy', late_at=1.0, workspace='w')
    _enter(queue, 99, database='quiet', late_at=4.0, workspace='w')
    assert 99 in _served(queue, 0.0, 2)


def test_only_statements_of_a_workspace_are_next_for_its_connection():
    # Guards against a released connection that serves another workspace.
    queue = StatementQueue()
    _enter(queue, 1, priority=0, workspace='a')
    _enter(queue, 2, priority=2, workspace='b')
    assert next_statement_for(queue, 0.0, 'b').identity == 2
    assert next_statement_for(queue, 0.0, 'c') is None
    assert next_statement_for(queue, 0.0, UNKNOWN_WORKSPACE) is None
    _enter(queue, 3, priority=-1, workspace=ANY_WORKSPACE)
    assert next_statement_for(queue, 0.0, 'c').identity == 3
    assert next_statement_for(queue, 0.0, UNKNOWN_WORKSPACE).identity == 3


def test_a_backlog_of_one_workspace_does_not_refuse_another():
    # Guards against an expected wait that counts statements which fair
    # queueing serves later.
    queue = StatementQueue()
    for number in range(100):
        _enter(queue, number, late_at=1.0, workspace='busy')
    request = ConnectionRequest(1, 'd', 1.5, 1.9, 'quiet')
    assert is_worth_waiting(queue, request, SERVICE, 1.0)
    assert expected_wait_s(queue, request, SERVICE, 1.0) == 0.02


WORKSPACES = ('', 'a', 'b')
REQUESTS = st.builds(
    ConnectionRequest,
    priority=st.integers(0, 2),
    database=st.sampled_from('xyz'),
    late_at=st.integers(0, 10).map(float),
    ends_at=st.just(20.0),
    workspace=st.sampled_from([*WORKSPACES, ANY_WORKSPACE]),
)
CHANGES = st.one_of(
    REQUESTS,
    st.tuples(st.integers(0, 50), st.booleans()),
)


@given(st.lists(CHANGES, max_size=40), st.integers(0, 10), REQUESTS)
def test_the_kept_order_is_that_of_all_statements(changes, now, arriving):
    # Guards against a decision that differs from the order of all statements.
    queue = StatementQueue()
    for identity, change in enumerate(changes):
        if isinstance(change, ConnectionRequest):
            enter(queue, WaitingStatement(change, identity))
        elif queue:
            place, served = change
            waiting = list(plain_statement_order.service_order(queue))
            leave(queue, waiting[place % len(waiting)], served=served)
        assert next_statement(
            queue, now
        ) == plain_statement_order.next_statement(queue, now)
        for workspace in (*WORKSPACES, UNKNOWN_WORKSPACE):
            assert next_statement_for(
                queue, now, workspace
            ) == plain_statement_order.next_statement_for(queue, now, workspace)
        assert first_of_workspaces(
            queue
        ) == plain_statement_order.first_of_workspaces(queue)
    ahead = plain_statement_order.count_ahead(queue, arriving)
    service = ServiceRate(1, 1.0)
    in_time = now + ahead + 1 < arriving.late_at
    expected = ahead + 1 if in_time else len(queue) + 1
    assert expected_wait_s(queue, arriving, service, now) == expected
