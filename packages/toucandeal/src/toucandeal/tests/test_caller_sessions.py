"""Sessions, and their state on pooled connections."""

import itertools
import re

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from toucandeal.caller_sessions import (
    CONNECTION_LIMIT_BYTES,
    CallerSession,
    ConnectionState,
    OpenTransaction,
    PreparedShape,
    PrepareShape,
    ResetSession,
    SetValue,
    apply_step,
    setup_steps,
    shape_name,
)
from toucandeal.fleet import Route, RouteKind

READ = PreparedShape('q1', False)
WRITE = PreparedShape('q1', True)


def test_a_matching_connection_needs_no_steps():
    connection_state = ConnectionState()
    apply_step(connection_state, SetValue('zone', 'a'))
    apply_step(connection_state, PrepareShape(READ))
    assert setup_steps(connection_state, {'zone': 'a'}, [READ]) == []


def test_values_of_another_session_are_cleared_first():
    connection_state = ConnectionState()
    apply_step(connection_state, SetValue('zone', 'a'))
    apply_step(connection_state, PrepareShape(READ))
    assert setup_steps(connection_state, {'lang': 'es'}, [READ]) == [
        ResetSession(),
        SetValue('lang', 'es'),
        PrepareShape(READ),
    ]


def test_the_kind_of_a_shape_is_part_of_its_name():
    assert shape_name(READ) != shape_name(WRITE)


@given(st.text(), st.booleans())
def test_the_name_of_a_shape_is_one_word(shape, writes):
    # Guards against a name that ends at a space of its shape.
    name = shape_name(PreparedShape(shape, writes))
    assert re.fullmatch('[rw]_[0-9a-f]{32}', name)


@given(st.lists(st.text(alphabet='q1 \t', max_size=4), unique=True))
def test_no_two_shapes_have_one_name(shapes):
    names = {
        shape_name(PreparedShape(shape, writes))
        for shape, writes in itertools.product(shapes, (False, True))
    }
    assert len(names) == 2 * len(shapes)


def test_shapes_of_all_sessions_do_not_fill_a_connection():
    # Guards against callers with ever new shapes, which fill the memory of the
    # proxy and of the server.
    connection_state = ConnectionState()
    for number in range(2000):
        shape = PreparedShape(f'q{number} {"x" * 500}', False)
        for step in setup_steps(connection_state, {'zone': 'a'}, [shape]):
            apply_step(connection_state, step)
        assert shape in connection_state.shapes
        assert connection_state.values == {'zone': 'a'}
        assert connection_state.shape_bytes <= CONNECTION_LIMIT_BYTES


def test_a_shape_that_is_prepared_needs_no_room():
    connection_state = ConnectionState()
    apply_step(connection_state, PrepareShape(READ))
    assert setup_steps(connection_state, {}, [READ], limit_bytes=1) == []


def test_a_failure_without_a_reason_is_one():
    # Guards against a transaction that goes on after it was rolled back,
    # because the server had given no reason.
    session = CallerSession(1, 'db')
    route = Route('db', 'g', RouteKind.PRIMARY, 0.8, 0.1)
    session.transaction = OpenTransaction(route, read_only=False, began_at=0.0)
    assert session.state == 'open'
    session.transaction.failure = ''
    assert session.state == 'failed'


def test_a_session_without_a_transaction_is_idle():
    session = CallerSession(1, 'db')
    assert session.state == 'idle'


class PooledConnections(RuleBasedStateMachine):
    """Sessions that share two connections never see each other's state."""

    @initialize(limit_bytes=st.sampled_from([1, 250, CONNECTION_LIMIT_BYTES]))
    def begin(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.sessions = [CallerSession(n, 'db') for n in range(3)]
        self.connection_states = [ConnectionState(), ConnectionState()]
        # The state of each connection at its server.
        self.values = [{}, {}]
        self.shapes = [{}, {}]

    @rule(
        session=st.integers(0, 2),
        name=st.sampled_from('ab'),
        setting=st.sampled_from('xyz'),
    )
    def set_value(self, session, name, setting):
        self.sessions[session].values[name] = setting

    @rule(
        session=st.integers(0, 2),
        name=st.sampled_from(['s1', 's2']),
        shape=st.sampled_from(['q1', 'q2']),
        writes=st.booleans(),
    )
    def prepare(self, session, name, shape, writes):
        self.sessions[session].prepared[name] = PreparedShape(shape, writes)

    @rule(connection=st.integers(0, 1))
    def reconnect(self, connection):
        self.connection_states[connection] = ConnectionState()
        self.values[connection] = {}
        self.shapes[connection] = {}

    @rule(session=st.integers(0, 2), connection=st.integers(0, 1))
    def run_statement(self, session, connection):
        caller = self.sessions[session]
        connection_state = self.connection_states[connection]
        shapes = list(caller.prepared.values())
        steps = setup_steps(
            connection_state, caller.values, shapes, self.limit_bytes
        )
        for step in steps:
            self._apply_at_server(connection, step)
            apply_step(connection_state, step)
        assert self.values[connection] == caller.values
        for shape in shapes:
            assert self.shapes[connection][shape_name(shape)] == shape

    def _apply_at_server(self, connection, step):
        match step:
            case SetValue(name, setting):
                self.values[connection][name] = setting
            case PrepareShape(prepared):
                name = shape_name(prepared)
                assert name not in self.shapes[connection]
                self.shapes[connection][name] = prepared
            case ResetSession():
                self.values[connection].clear()
                self.shapes[connection].clear()


TestPooledConnections = PooledConnections.TestCase
TestPooledConnections.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
