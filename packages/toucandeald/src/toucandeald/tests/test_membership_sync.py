"""Forwarded requests, and the replies that belong to them."""

import pytest
from twisted.internet.task import Clock

from toucandeal.policies import Policies
from toucandeal.tables import ProxyIdentity, Tables
from toucandeald.membership_sync import MembershipSync
from toucandeald.peer_wire import Forward, ForwardReply

PEER = '10.0.0.2:1'


class Runtime:
    """The part of the runtime that holds the tables."""

    def __init__(self, incarnation):
        identity = ProxyIdentity('p1', incarnation, '10.0.0.1:1')
        self.tables = Tables(identity, Policies())


class Sockets:
    """Sockets that record what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, address, message):
        """Record a message."""
        del address
        self.sent.append(message)
        return True


def _started(incarnation):
    sync = MembershipSync(Clock(), float, Runtime(incarnation), ())
    sync.sockets = Sockets()
    return sync


def _forwarded(sync, key):
    """Forward a request; return the message and the list of its replies."""
    replies = []
    sync.forward(PEER, '/v1/statements', '', key).addCallback(replies.append)
    return sync.sockets.sent[-1], replies


@pytest.mark.parametrize('requests_before', [1, 5])
def test_a_reply_to_an_earlier_process_is_not_given_to_another_caller(
    requests_before,
):
    # Guards against a proxy that starts again at its address, forwards a
    # request, and takes the late reply to an earlier one for its own.
    before = _started(1)
    lost = [_forwarded(before, b'a')[0] for _ in range(requests_before)]
    after = _started(2)
    forwards = [_forwarded(after, b'b') for _ in range(requests_before)]
    for message in lost:
        after.receive(ForwardReply(message.identity, 200, '', b'of a'))
    assert not any(replies for _, replies in forwards)
    for message, replies in forwards:
        assert isinstance(message, Forward)
        after.receive(ForwardReply(message.identity, 200, '', b'of b'))
        assert [reply.body for reply in replies] == [b'of b']
