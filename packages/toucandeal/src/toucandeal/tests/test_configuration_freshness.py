"""Freshness of the configuration, over proxies whose views differ."""

import itertools
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from toucandeal.configuration_freshness import (
    ConfigurationFreshness,
    PeerFreshness,
    call_is_due,
    freshness_age,
    is_fresh,
    prove_by_call,
    prove_by_peer,
    start_era,
)

LIMIT_S = 5.0
FRESH_S = 4.5  # the limit less the margin
PROXIES = 3
numbers = st.integers(0, PROXIES - 1)


def _proven(version=4, sent_at=10.0, era=1):
    freshness = ConfigurationFreshness()
    prove_by_call(freshness, version, sent_at, era)
    return freshness


def test_a_proxy_without_a_proof_is_not_fresh():
    """It has started while the store is away, or its peers had no proof."""
    freshness = ConfigurationFreshness()
    prove_by_peer(freshness, PeerFreshness(4, math.inf, 1), 4, 10.0)
    assert not is_fresh(freshness, LIMIT_S, 10.0)


def test_a_call_proves_the_moment_of_its_sending():
    freshness = _proven(sent_at=10.0)
    assert is_fresh(freshness, LIMIT_S, 14.4)
    assert not is_fresh(freshness, LIMIT_S, 14.5)


def test_an_answer_that_arrives_late_does_not_replace_a_newer_proof():
    freshness = _proven(sent_at=10.0)
    prove_by_call(freshness, 4, 8.0, 1)
    assert freshness.as_of == 10.0


def test_a_paused_proxy_is_not_fresh_when_it_resumes():
    freshness = _proven(sent_at=10.0)
    assert not is_fresh(freshness, LIMIT_S, 10.0 + 60.0)


@pytest.mark.parametrize(
    ('version', 'as_of'), [(3, -math.inf), (4, 18.0), (5, 18.0)]
)
def test_a_peer_proves_versions_that_are_not_older_than_its_own(version, as_of):
    freshness = ConfigurationFreshness()
    prove_by_peer(freshness, PeerFreshness(4, 2.0, 0), version, 20.0)
    assert freshness.as_of == as_of


def test_a_peer_that_echoes_nothing_proves_nothing():
    freshness = ConfigurationFreshness()
    prove_by_peer(freshness, PeerFreshness(4, 0.1, 0), 4, -math.inf)
    assert freshness.as_of == -math.inf


@pytest.mark.parametrize('era', [0, 1])
def test_proofs_of_an_earlier_era_count_for_nothing(era):
    freshness = _proven(era=1)
    start_era(freshness, 2)
    assert not is_fresh(freshness, LIMIT_S, 10.0)
    prove_by_call(freshness, 4, 11.0, era)
    prove_by_peer(freshness, PeerFreshness(4, 0.1, era), 4, 11.0)
    assert not is_fresh(freshness, LIMIT_S, 11.0)
    prove_by_call(freshness, 4, 12.0, 2)
    assert is_fresh(freshness, LIMIT_S, 12.0)


def test_a_heartbeat_of_a_newer_era_discards_the_earlier_proof():
    freshness = _proven(era=1)
    prove_by_peer(freshness, PeerFreshness(4, math.inf, 2), 4, 10.5)
    assert not is_fresh(freshness, LIMIT_S, 10.5)


def test_a_restored_store_does_not_prove_a_version_that_peers_replaced():
    """The copy lacks the version that removed a key; a peer has it."""
    freshness = ConfigurationFreshness()
    prove_by_peer(freshness, PeerFreshness(5, math.inf, 2), 4, 10.0)
    prove_by_call(freshness, 4, 11.0, 2)
    assert not is_fresh(freshness, LIMIT_S, 11.0)
    prove_by_call(freshness, 5, 12.0, 2)
    assert is_fresh(freshness, LIMIT_S, 12.0)


def test_proxies_call_in_the_order_of_their_ranks():
    freshness = _proven(sent_at=10.0)
    due = [
        next(
            number / 100
            for number in range(1000, 2000)
            if call_is_due(freshness, rank, number / 100)
        )
        for rank in range(3)
    ]
    assert due == pytest.approx([11.61, 11.66, 11.71], abs=0.011)
    assert call_is_due(ConfigurationFreshness(), 9, 0.0)


class ModelStore:
    """The operator's versions: (number, whether it has the key, acked at)."""

    def __init__(self):
        self.versions = [(1, True, 0.0)]
        self.ever = list(self.versions)
        self.era = 1

    def write(self, has_key, now):
        version = (self.ever[-1][0] + 1, has_key, now)
        self.versions.append(version)
        self.ever.append(version)

    def restore(self, count):
        self.versions = self.versions[: max(1, len(self.versions) - count)]
        self.era += 1

    def removed_at(self):
        """Return since when the key is removed, or None if it isn't.

        A removal that a restore has lost counts once it is written again.
        """
        if self.versions[-1] != self.ever[-1]:
            return None
        starts = [_removal(self.versions), _removal(self.ever)]
        return None if None in starts else max(starts)


def _removal(versions):
    start = None
    for _, has_key, acked_at in reversed(versions):
        if has_key:
            break
        start = acked_at
    return start


class ModelProxy:
    """A proxy; its clock shows another time than the others' clocks."""

    def __init__(self, name, offset):
        self.name = name
        self.offset = offset
        self.incarnation = 0
        self.paused = False
        self.restart()

    def restart(self):
        self.incarnation += 1
        self.freshness = ConfigurationFreshness()
        self.version = (0, False, 0.0)
        self.heard = {}

    def clock(self, now):
        return now + self.offset

    def apply(self, version):
        if version[0] > self.version[0]:
            self.version = version

    def answered(self, call):
        sent_at, incarnation, (version, era) = call
        if incarnation != self.incarnation:
            return
        self.apply(version)
        prove_by_call(self.freshness, self.version[0], sent_at, era)

    def heartbeat(self, peer, now):
        clock = self.clock(now)
        sent_at, incarnation, heard_at = self.heard.get(peer, (0, 0, clock))
        return {
            'sender': self.name,
            'incarnation': self.incarnation,
            'sent_at': clock,
            'echo': sent_at,
            'echo_incarnation': incarnation,
            'echo_age': clock - heard_at,
            'report': PeerFreshness(
                self.version[0],
                freshness_age(self.freshness, clock),
                self.freshness.era,
            ),
            'copy': self.version,
        }

    def received(self, message, now, *, takes_copy):
        self.heard[message['sender']] = (
            message['sent_at'],
            message['incarnation'],
            self.clock(now),
        )
        if takes_copy:
            self.apply(message['copy'])
        echoed = message['echo_incarnation'] == self.incarnation
        prove_by_peer(
            self.freshness,
            message['report'],
            self.version[0],
            message['echo'] + message['echo_age'] if echoed else -math.inf,
        )


class Revocation(RuleBasedStateMachine):
    """Calls and messages that are lost, late and out of order.

    After each step, no proxy that runs admits a key later than the limit
    after the store acknowledged its removal.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.store = ModelStore()
        self.proxies = [
            ModelProxy(number, offset)
            for number, offset in enumerate((0.0, 5000.0, -80.0))
        ]
        self.calls = []
        self.messages = []
        self.reaching_store = set(range(PROXIES))
        self.links = set(itertools.permutations(range(PROXIES), 2))
        self.takes_copies = False
        self.advance(2)

    @rule(steps=st.sampled_from([1, 4, 10, 19, 40]))
    def advance(self, steps):
        """Let proxies call and send heartbeats, where they reach another."""
        for _ in range(steps):
            self.now += 0.25
            for proxy in self.proxies:
                if proxy.name in self.reaching_store:
                    self.call_and_answer(proxy.name)
            for sender, receiver in sorted(self.links):
                self._exchange(sender, receiver)

    @rule(number=numbers)
    def cut_or_mend_store_access(self, number):
        self.reaching_store ^= {number}

    @rule(sender=numbers, receiver=numbers)
    def cut_or_mend_link(self, sender, receiver):
        self.links ^= {(sender, receiver)}

    @rule()
    def lose_or_pass_copies(self):
        self.takes_copies = not self.takes_copies

    @rule(has_key=st.sampled_from([False, False, True]))
    def write_version(self, has_key):
        self.store.write(has_key, self.now)

    @rule(count=st.integers(1, 2))
    def restore_store(self, count):
        self.store.restore(count)

    @rule(number=numbers)
    def call_store(self, number):
        proxy = self.proxies[number]
        if not proxy.paused:
            sent_at = proxy.clock(self.now)
            self.calls.append([proxy, sent_at, proxy.incarnation, None])

    @precondition(lambda self: self.calls)
    @rule(index=st.integers(0, 9))
    def store_answers(self, index):
        call = self.calls[index % len(self.calls)]
        call[3] = call[3] or (self.store.versions[-1], self.store.era)

    @precondition(lambda self: self.calls)
    @rule(index=st.integers(0, 9))
    def answer_arrives(self, index):
        proxy, *call = self.calls[index % len(self.calls)]
        if call[2] is not None and not proxy.paused:
            self.calls.pop(index % len(self.calls))
            proxy.answered(call)

    def call_and_answer(self, number):
        proxy = self.proxies[number]
        if not proxy.paused:
            answer = (self.store.versions[-1], self.store.era)
            call = (proxy.clock(self.now), proxy.incarnation, answer)
            proxy.answered(call)

    @rule(sender=numbers, receiver=numbers)
    def send_heartbeat(self, sender, receiver):
        proxy = self.proxies[sender]
        if sender != receiver and not proxy.paused:
            message = proxy.heartbeat(receiver, self.now)
            self.messages.append((self.proxies[receiver], message))

    @precondition(lambda self: self.messages)
    @rule(index=st.integers(0, 9), takes_copy=st.booleans(), lost=st.booleans())
    def heartbeat_arrives(self, index, takes_copy, lost):
        receiver, message = self.messages[index % len(self.messages)]
        if receiver.paused and not lost:
            return
        self.messages.pop(index % len(self.messages))
        if not lost:
            receiver.received(message, self.now, takes_copy=takes_copy)

    def _exchange(self, sender, receiver):
        source, target = self.proxies[sender], self.proxies[receiver]
        if source is target or source.paused or target.paused:
            return
        message = source.heartbeat(target.name, self.now)
        target.received(message, self.now, takes_copy=self.takes_copies)

    @rule(number=numbers)
    def pause_or_resume(self, number):
        proxy = self.proxies[number]
        proxy.paused = not proxy.paused

    @rule(number=numbers)
    def restart(self, number):
        self.proxies[number].restart()
        self.proxies[number].paused = False

    @invariant()
    def no_removed_key_is_admitted(self):
        removed_at = self.store.removed_at()
        if removed_at is None:
            return
        for proxy in self.proxies:
            fresh = is_fresh(proxy.freshness, LIMIT_S, proxy.clock(self.now))
            admits = not proxy.paused and proxy.version[1] and fresh
            assert not (admits and self.now - removed_at >= FRESH_S)


def test_no_removed_key_is_admitted_after_the_limit():
    case = Revocation.TestCase
    case.settings = settings(
        max_examples=400,
        stateful_step_count=50,
        derandomize=True,
        deadline=None,
    )
    case().runTest()


STEP_S = 0.05
HEARTBEAT_STEPS = 5
POLL_WAIT_S = 1.0
POLLING_PROXIES = 2  # the first ones by rank
WARM_UP_S = 3.0
STEPS = 400
SIMULATED = 4
pairs = st.tuples(st.integers(0, SIMULATED - 1), st.integers(0, SIMULATED - 1))


class Simulation:
    """Proxies that poll and send heartbeats; `working` until the warm-up ends.

    Messages of the pairs in `cut` are lost, one way.
    """

    def __init__(self, offsets, reaches_store, cut, delay_steps):
        self.store = ModelStore()
        self.proxies = [ModelProxy(n, each) for n, each in enumerate(offsets)]
        self.reaches_store = reaches_store
        self.cut = cut
        self.delay_steps = delay_steps
        self.polls = {}
        self.arriving = []
        self.working = True
        self.now = 0.0

    def advance(self, step):
        self.now = step * STEP_S
        self.working = self.now < WARM_UP_S
        for proxy in self.proxies:
            self._poll(proxy)
            if step % HEARTBEAT_STEPS == proxy.name % HEARTBEAT_STEPS:
                self._send_heartbeats(proxy, step + self.delay_steps)
        for due, peer, message in self.arriving:
            if due == step:
                peer.received(message, self.now, takes_copy=True)
        self.arriving = [each for each in self.arriving if each[0] > step]

    def stale(self):
        """Return the proxies without proof that hear one with the store."""
        return [
            proxy.name
            for proxy in self.proxies
            if any(self._proves(peer, proxy) for peer in self.proxies)
            and not is_fresh(proxy.freshness, LIMIT_S, proxy.clock(self.now))
        ]

    def _proves(self, peer, proxy):
        heard = peer is proxy or (peer.name, proxy.name) not in self.cut
        return heard and self.reaches_store[peer.name]

    def _send_heartbeats(self, proxy, arrives_at):
        self.arriving += [
            (arrives_at, peer, proxy.heartbeat(peer.name, self.now))
            for peer in self.proxies
            if peer is not proxy
            and (self.working or (proxy.name, peer.name) not in self.cut)
        ]

    def _poll(self, proxy):
        """Poll like the first two proxies, and call when that is due."""
        clock = proxy.clock(self.now)
        sent_at = self.polls.setdefault(proxy.name, clock)
        calls = []
        if proxy.name < POLLING_PROXIES and clock - sent_at >= POLL_WAIT_S:
            self.polls[proxy.name] = clock
            calls.append(sent_at)
        if call_is_due(proxy.freshness, proxy.name, clock):
            calls.append(clock)
        answer = (self.store.versions[-1], self.store.era)
        for each in calls:
            if self.working or self.reaches_store[proxy.name]:
                proxy.answered((each, proxy.incarnation, answer))


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.lists(st.floats(-1e4, 1e4), min_size=SIMULATED, max_size=SIMULATED),
    st.lists(st.booleans(), min_size=SIMULATED, max_size=SIMULATED),
    st.sets(pairs, max_size=6),
    st.integers(0, 3),
)
def test_freshness_lasts_while_a_peer_that_is_heard_reaches_the_store(
    offsets, reaches_store, cut, delay_steps
):
    """Refusing earlier than necessary is a fault too."""
    simulation = Simulation(offsets, reaches_store, cut, delay_steps)
    for step in range(STEPS):
        simulation.advance(step)
        if not simulation.working:
            assert not simulation.stale()
