"""Tests of the target stand-in."""

import msgspec
import pytest

from toucandeal_standins.target import Settings, TargetServer, handle

EXECUTE = {'request_id': '1', 'statements': [['SELECT 1']]}


@pytest.mark.parametrize(
    'body',
    [
        {**EXECUTE, 'transaction': 'start'},
        {**EXECUTE, 'readonly': True},
        {'statements': []},
        {**EXECUTE, 'statements': ['SELECT 1']},
        {**EXECUTE, 'statements': [['SELECT 1', [], 'x']]},
    ],
)
def test_a_request_that_is_not_of_the_protocol_is_recorded_and_not_run(body):
    # Guards against a target that runs what it was not sent: a mode of a
    # transaction that it does not know was taken for none.
    server = TargetServer(Settings('a', 2, 16, 0, 0, 0), [])
    connection = object()
    server.connections.add(connection)
    raw = msgspec.json.encode(body)
    failures = []
    handle(server, connection, 'POST', '/execute', raw).addErrback(
        failures.append
    )
    assert failures[0].check(msgspec.ValidationError)
    assert server.malformed == [repr(raw)]
    assert not server.executions
