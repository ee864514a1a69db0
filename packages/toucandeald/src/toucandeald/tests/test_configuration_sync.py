"""Configuration of declared groups: lost races and unreadable replies."""

from urllib.parse import unquote

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from twisted.internet import defer
from twisted.internet.task import Clock

from toucandeal.configuration_changes import Change
from toucandeal.errors import ChangeConflict, StoreUnavailable
from toucandeal.policies import Policies
from toucandeal.tables import ProxyIdentity, Tables
from toucandeald import platform_client
from toucandeald.configuration_sync import ConfigurationSync
from toucandeald.http_client import HttpReply
from toucandeald.platform_client import PlatformClient

POLLS_S = 60


class Runtime:
    """The part of the runtime that holds the tables."""

    def __init__(self):
        identity = ProxyIdentity('p1', 1, '', '', 'd')
        self.tables = Tables(identity, Policies())


class LostRaces:
    """A platform on which another change is always accepted first."""

    def row(self, table, key):
        """Return no row."""
        del table, key
        return defer.succeed(None)

    def transact(self, conditions, writes):
        """Refuse the transaction."""
        del conditions, writes
        return defer.succeed(False)


class Unreadable:
    """A platform whose replies are not of the documented form."""

    def __init__(self):
        self.calls = 0

    def row(self, table, key):
        """Fail as the decoder does."""
        del table, key
        self.calls += 1
        return defer.fail(ValueError('not of the documented form'))

    def vms(self):
        """Fail as the decoder does."""
        return self.row('', '')


class Connection:
    """A connection on which each reply has the same body."""

    usable = True

    def __init__(self, body):
        self.paths = []
        self._body = body

    def request(self, method, path, *arguments):
        """Note the path and return the reply."""
        del method, arguments
        self.paths.append(path)
        return defer.succeed(HttpReply(200, self._body, {}))


def _sync(platform, clock):
    return ConfigurationSync(clock, Runtime(), platform, lambda *_: None, '')


def test_a_change_that_loses_every_race_is_reported_as_a_conflict():
    failures = []
    changed = _sync(LostRaces(), Clock()).change(
        Change('caller/x', 0, {}), 'c1'
    )
    changed.addErrback(failures.append)
    assert failures[0].check(ChangeConflict)


@pytest.mark.parametrize('poll', ['poll_store', 'poll_vms'])
def test_polling_goes_on_after_an_unreadable_reply(poll):
    clock = Clock()
    platform = Unreadable()
    getattr(_sync(platform, clock), poll)()
    for _ in range(POLLS_S):
        clock.advance(1)
    assert platform.calls > 2


@pytest.mark.parametrize('body', [b'', b'{', b'[1]', b'{"version": "x"}'])
def test_an_unreadable_reply_counts_as_an_unavailable_store(monkeypatch, body):
    connection = Connection(body)
    monkeypatch.setattr(
        platform_client, 'connect', lambda *_: defer.succeed(connection)
    )
    client = PlatformClient(Clock(), '127.0.0.1:1')
    failures = []
    client.row('t', 'k').addErrback(failures.append)
    client.vms().addErrback(failures.append)
    assert all(failure.check(StoreUnavailable) for failure in failures)
    assert len(failures) == 2


@example('change/c1?x')
@example('change/c1#x')
@example('change/c1 HTTP/1.1\r\n\r\nGET /vms')
@example('change/%31')
@given(st.text(st.characters(exclude_categories=['Cs'])))
def test_a_key_is_sent_as_one_path_and_arrives_unchanged(key):
    # Guards against a change id that becomes another key, so that a change is
    # reported as accepted that was never written, or another request.
    connection = Connection(b'{"version": 1, "value": {}}')
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            platform_client, 'connect', lambda *_: defer.succeed(connection)
        )
        PlatformClient(Clock(), '127.0.0.1:1').row('t', key)
    path = connection.paths[0]
    assert path.isascii() and path.isprintable()
    assert not any(character in path for character in ' ?#')
    assert unquote(path) == f'/tables/t/{key}'
