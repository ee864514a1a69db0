"""Promotions whose steps are delayed while another proxy has the lock."""

import pytest

from toucandeal.acknowledged_writes import (
    note_acknowledged,
    note_primary_position,
)
from toucandeal.fleet import GroupRecord
from toucandeal.fleet_tables import group_state, server_load
from toucandeal.positions import LogPosition
from toucandeal.promotion import ServerReport
from toucandeald.steady_clock import pause
from toucandeald.tests.simulated_fleet import GROUPS
from toucandeald.tests.simulated_promotions import (
    promoting_fleet,
    promotion_steps,
)

FIRST, SECOND, THIRD = GROUPS[:3]


@pytest.fixture
def fleet():
    """Return four proxies, none of which has begun a promotion."""
    with promoting_fleet() as settled:
        yield settled


def order_and_lose_the_store(fleet):
    """Let a proxy order a promotion, and cut it off from the store then."""
    fleet.replace_primary('p0', FIRST)
    fleet.run_until(lambda: fleet.service.orders)
    fleet.cut_from_store.add('p0')


def begin_another(fleet, name, group):
    """Let a proxy begin a promotion, and wait until it has the lock."""
    fleet.replace_primary(name, group)
    fleet.run_until(lambda: fleet.lock_holder() == name)


def test_promotions_take_turns_and_their_tokens_rise(fleet):
    for number, group in enumerate(GROUPS):
        fleet.replace_primary(f'p{number}', group)
        fleet.run(1.5)
        assert fleet.primary(group) == f'{group}-replica'
    assert [order.holder for order in fleet.service.orders] == [
        'p0',
        'p1',
        'p2',
        'p3',
    ]
    fleet.check()


@pytest.mark.parametrize('cut_for_s', [0.02, 0.3, 0.6])
def test_the_late_end_of_a_promotion_leaves_the_lock_to_its_holder(
    fleet, cut_for_s
):
    # Guards against two holders of the lock: a holder that could not record
    # the end in time emptied the lock's row, which was another one's by then.
    order_and_lose_the_store(fleet)
    fleet.busy_groups.add(SECOND)
    begin_another(fleet, 'p1', SECOND)
    fleet.run(cut_for_s, step_s=0.01)
    fleet.cut_from_store.clear()
    fleet.replace_primary('p2', THIRD)
    fleet.run(8.0)
    fleet.check()
    for group in (FIRST, SECOND, THIRD):
        assert fleet.primary(group) == f'{group}-replica'
    assert not fleet.without_lease()


def test_no_order_leaves_after_a_renewal_that_outlasts_the_lock(fleet):
    # Guards against an order with a lock that has ended: it was sent without a
    # second look at the clock after a renewal whose answers were lost.
    fleet.reports.delay_s = 0.9  # so that the lock is renewed before the order
    fleet.replace_primary('p0', FIRST)
    fleet.run_until(lambda: fleet.lock_holder() == 'p0')
    acquired = fleet.lock_row().version
    fleet.store.unanswered.add('p0')
    fleet.run_until(lambda: fleet.lock_row().version != acquired)
    fleet.run(2.1, step_s=0.01)
    fleet.store.unanswered.clear()
    fleet.run(6.0)
    fleet.check()
    assert fleet.primary(FIRST) == f'{FIRST}-replica'


def test_an_order_in_a_socket_arrives_before_the_next_holder_acts(fleet):
    # Guards against a lower token after a higher one: an order near the end of
    # the lock waited on a cut link for as long as its answer could take.
    fleet.reports.delay_s = 0.8
    fleet.service.delays_s['p0'] = 1.9
    fleet.replace_primary('p0', FIRST)
    fleet.run_until(lambda: fleet.service.sent)
    fleet.cut_from_store.add('p0')
    fleet.reports.delay_s = 0.005
    fleet.replace_primary('p1', SECOND)
    fleet.run(6.0)
    assert 'p1' in {order.holder for order in fleet.service.orders}
    fleet.check()


def test_a_restarted_holder_waits_for_the_lock_of_its_earlier_process(fleet):
    # Guards against a lower token after a higher one: the process that came
    # back under the holder's name took the lock at once, while an order of the
    # one before was under way.
    fleet.service.delays_s['p0'] = 1.0
    fleet.replace_primary('p0', FIRST)
    fleet.run_until(lambda: fleet.service.sent)
    fleet.kill('p0')
    fleet.start('p0', registered=True, incarnation=2)
    fleet.replace_primary('p0', FIRST)
    fleet.run(6.0)
    assert fleet.primary(FIRST) == f'{FIRST}-replica'
    fleet.check()


def test_a_renewal_waits_for_an_order_without_an_answer(fleet):
    # Guards against a lower token after a higher one from the same holder: it
    # renewed the lock while an order of the token before was under way.
    fleet.reports.delay_s = 0.8  # the lock ends soon after the first order
    fleet.service.delays_s['p0'] = 0.75
    fleet.replace_primary('p0', FIRST)
    fleet.run(8.0)
    assert len({order.token for order in fleet.service.orders}) == 2
    assert fleet.primary(FIRST) == f'{FIRST}-replica'
    fleet.check()


def test_the_lock_is_not_released_before_an_order_without_an_answer(fleet):
    # Guards against a lower token after a higher one: the lock was released
    # while an order was under way that a second one had made superfluous.
    fleet.service.delays_s['p0'] = 1.98
    fleet.service.effect_s = 0.01
    fleet.replace_primary('p0', FIRST)
    fleet.run(6.0)
    assert fleet.primary(FIRST) == f'{FIRST}-replica'
    released = [write for write in fleet.lock_writes if not write.holder]
    assert len(fleet.service.orders) == 2
    assert released[-1].at >= fleet.service.orders[-1].arrived_at
    fleet.check()


def test_a_promotion_counts_as_under_way_while_an_order_is(fleet):
    # Guards against an order that reaches the platform after one of the next
    # era: a proxy that has begun no promotion lets the others confirm the
    # restored records, which frees the lock.
    proxy = fleet.proxies['p0']
    fleet.service.delays_s['p0'] = 1.98
    fleet.replace_primary('p0', FIRST)
    fleet.run_until(lambda: fleet.service.sent)
    proxy.state.note_era(2)
    fleet.run_until(lambda: not proxy.tables.primary_lease.promoting_groups)
    assert fleet.service.orders


def test_a_resumed_promotion_does_not_end_with_the_old_primary_too_soon(fleet):
    # Guards against two servers that lead: the order of the earlier holder took
    # effect after the old primary had been recorded again, because no replica
    # gave a report.
    fleet.reports.delay_s = 0.8
    fleet.service.effect_s = 4.1  # the platform is slow
    fleet.replace_primary('p0', FIRST)
    fleet.run_until(lambda: fleet.service.orders)
    fleet.kill('p0')
    fleet.reports.delay_s = 0.005
    fleet.reports.unreachable.add(f'{FIRST}-replica')
    fleet.assign('p1', FIRST)
    recorded = []

    def note_primary():
        if fleet.service.leaders[FIRST] == f'{FIRST}-replica':
            fleet.reports.unreachable.clear()
        recorded.append(fleet.primary(FIRST))

    fleet.run(6.0, note_primary)
    assert set(recorded) == {None, f'{FIRST}-replica'}
    fleet.check()


def test_each_take_over_waits_for_the_order_of_the_holder_before(fleet):
    # Guards against a wait that counts from an earlier promotion of the group.
    promoter = fleet.proxies['p1'].promoter
    begun = GroupRecord(FIRST, 'old', 1, changing=True, holder='p0')
    own = begun._replace(holder='p1')
    noted = []
    for found in (begun, own, begun):
        promoter._note_earlier_orders(found)
        noted.append(promoter._effect_until[FIRST] - fleet.clock.now)
        fleet.run(10.0)
    assert noted == pytest.approx([3.0, -7.0, 3.0])


def test_a_group_without_replicas_gets_its_old_primary_back(fleet):
    # Guards against writes that are refused for good while no replica answers.
    fleet.service.effect_s = 1000
    order_and_lose_the_store(fleet)
    fleet.kill('p0')
    fleet.reports.unreachable.add(f'{FIRST}-replica')
    fleet.assign('p1', FIRST)
    recorded = []
    fleet.run(12.0, lambda: recorded.append(fleet.primary(FIRST)))
    assert f'{FIRST}-primary' in recorded
    fleet.check()


def test_a_former_primary_is_recorded_only_once_it_leads_again(fleet):
    # Guards against stale reads and acknowledged writes at a former primary: it
    # is the only server that answers, is chosen, and was taken for promoted
    # because it still called itself primary of an earlier term.
    chosen = f'{FIRST}-replica'
    service = fleet.service

    async def gather(servers):
        await pause(fleet.clock, fleet.reports.delay_s)
        leads = service.leaders[FIRST] == chosen
        term = service.terms[FIRST] if leads else 0
        report = ServerReport(True, term, LogPosition(term, 9))
        return {each.name: report for each in servers if each.name == chosen}

    fleet.reports.gather = gather
    fleet.replace_primary('p0', FIRST)
    leaders = leaders_while_recorded(fleet, chosen, 3.0, step_s=0.01)
    assert leaders == {chosen}
    fleet.check()


def test_the_old_primary_is_not_recorded_while_a_silent_replica_leads(fleet):
    # Guards against writes that are acknowledged at a superseded primary: the
    # order of a promotion took effect, its holder died, and no other proxy
    # reached the server that led since then.
    fleet.replace_primary('p0', FIRST)
    fleet.run_until(lambda: fleet.service.orders)
    fleet.kill('p0')
    fleet.reports.unreachable.add(f'{FIRST}-replica')
    fleet.assign('p1', FIRST)
    leaders = leaders_while_recorded(fleet, f'{FIRST}-primary', 16.0)
    assert leaders == {f'{FIRST}-primary'}
    fleet.check()


def test_a_leader_that_is_found_may_be_superseded_by_a_silent_server(fleet):
    # Guards against stale reads and acknowledged writes at a server that two
    # unfinished promotions left behind: the first made it lead, and the second
    # one another server, which gives no answer.
    found = f'{FIRST}-replica'
    service = fleet.service
    fleet.replace_primary('p0', FIRST)
    fleet.run_until(lambda: service.leaders[FIRST] == found)
    fleet.kill('p0')
    fleet.assign('p2', FIRST)
    fleet.run_until(lambda: fleet.lock_holder() == 'p2')
    fleet.kill('p2')
    let_only_the_found_server_answer(fleet, found)
    service.leaders[FIRST] = 'silent'
    service.terms[FIRST] += 1
    fleet.assign('p1', FIRST)
    leaders = leaders_while_recorded(fleet, found, 8.0)
    assert leaders == {found}
    fleet.check()


def test_a_superseded_leader_is_not_found_after_the_old_primary_leads(fleet):
    # Guards against the same where the second promotion was that of the old
    # primary, which a proxy had ordered since no other server answered.
    found, old = f'{FIRST}-replica', f'{FIRST}-primary'
    service = fleet.service
    fleet.replace_primary('p0', FIRST)
    fleet.run_until(lambda: service.leaders[FIRST] == found)
    fleet.kill('p0')
    fleet.reports.unreachable.add(found)
    fleet.assign('p2', FIRST)
    fleet.run_until(lambda: service.leaders[FIRST] == old)
    fleet.kill('p2')
    let_only_the_found_server_answer(fleet, found, term=2)
    fleet.assign('p1', FIRST)
    leaders = leaders_while_recorded(fleet, found, 8.0)
    assert leaders == {found}
    fleet.check()


@pytest.mark.parametrize('attempts', [1, 2])
def test_a_leader_that_is_found_is_recorded_with_its_present_term(
    fleet, attempts
):
    # Guards against a group that stays without a primary because the server
    # that leads is ordered again and again, which changes nothing.
    found = f'{FIRST}-replica'
    fleet.replace_primary('p0', FIRST)
    fleet.run_until(lambda: fleet.service.leaders[FIRST] == found)
    fleet.kill('p0')
    if attempts == 2:
        fleet.assign('p2', FIRST)
        fleet.run_until(lambda: fleet.lock_holder() == 'p2')
        fleet.kill('p2')
    fleet.reports.unreachable.add(f'{FIRST}-primary')
    fleet.assign('p1', FIRST)
    fleet.run(12.0)
    assert fleet.primary(FIRST) == found
    holders = [order.holder for order in fleet.service.orders]
    # After a single attempt there is nothing to make sure of.
    assert holders == ['p0', 'p1'][:attempts]
    assert fleet.service.terms[FIRST] == 2
    fleet.check()


def lose_a_replica_with_the_primary(fleet, group):
    """Let a primary and one of its two replicas give no answer."""
    for proxy in fleet.proxies.values():
        tables = proxy.tables
        replica = tables.servers[f'{group}-replica']
        other = replica._replace(name=f'{group}-other')
        tables.servers[other.name] = other
        load = server_load(tables, f'{group}-primary')
        load.unreachable_since = fleet.clock.now
    fleet.silent_primaries.add(group)
    silent = (f'{group}-primary', f'{group}-other')
    fleet.reports.unreachable.update(silent)


def test_a_group_that_lacks_a_report_leaves_the_lock_to_others(fleet):
    # Guards against the loss of acknowledged commits that only a silent replica
    # has (review/6). While it is awaited, the store and the lock are free.
    lose_a_replica_with_the_primary(fleet, FIRST)
    for name in ('p0', 'p1', 'p2', 'p3'):
        fleet.assign(name, FIRST)
    fleet.run(3.0)
    assert not fleet.service.orders
    assert fleet.primary(FIRST) == f'{FIRST}-primary'
    writes = len(fleet.lock_writes)
    fleet.run(5.0)
    assert len(fleet.lock_writes) == writes == 2
    fleet.replace_primary('p1', SECOND)
    fleet.run(1.5)
    assert fleet.primary(SECOND) == f'{SECOND}-replica'
    fleet.assign('p1', FIRST)
    fleet.reports.unreachable.discard(f'{FIRST}-other')
    fleet.run(2.0)
    assert fleet.primary(FIRST) in {f'{FIRST}-other', f'{FIRST}-replica'}
    fleet.check()


def test_a_group_that_lacks_a_report_goes_on_with_its_primary(fleet):
    # The primary has every commit, so a group does not wait for the replica.
    lose_a_replica_with_the_primary(fleet, FIRST)
    fleet.assign('p0', FIRST)
    fleet.run(3.0)
    for proxy in fleet.proxies.values():
        load = server_load(proxy.tables, f'{FIRST}-primary')
        load.unreachable_since = None
    fleet.silent_primaries.clear()
    fleet.reports.unreachable.discard(f'{FIRST}-primary')
    fleet.run(3.0)
    assert fleet.primary(FIRST) == f'{FIRST}-primary'
    assert not fleet.without_lease()
    writes = len(fleet.lock_writes)
    lose_a_replica_with_the_primary(fleet, FIRST)
    fleet.run(4.0)
    assert len(fleet.lock_writes) == writes
    fleet.reports.unreachable.discard(f'{FIRST}-other')
    fleet.run(2.0)
    assert fleet.primary(FIRST) in {f'{FIRST}-other', f'{FIRST}-replica'}
    fleet.check()


def test_a_server_that_an_operator_has_promoted_ends_the_wait(fleet):
    # Otherwise a group stays without a primary if the others are lost for good.
    lose_a_replica_with_the_primary(fleet, FIRST)
    fleet.assign('p0', FIRST)
    fleet.run(3.0)
    promoted = f'{FIRST}-replica'
    fleet.service.leaders[FIRST] = promoted
    fleet.service.terms[FIRST] += 1
    for proxy in fleet.proxies.values():
        servers = proxy.tables.servers
        servers[promoted] = servers[promoted]._replace(claims_primary=True)
    fleet.run(8.0)
    assert fleet.primary(FIRST) == promoted
    # As the others are silent, it is ordered to lead again first.
    assert {order.server for order in fleet.service.orders} <= {promoted}
    fleet.check()


def test_proxies_tell_what_they_have_acknowledged_when_they_stop(fleet):
    # A replica with all of it takes over at once, though another one is silent.
    position = LogPosition(1, 9)
    for proxy in fleet.proxies.values():
        writes = group_state(proxy.tables, FIRST).acknowledged
        note_primary_position(writes, position, fleet.clock.now)
        note_acknowledged(writes, position)
    lose_a_replica_with_the_primary(fleet, FIRST)
    fleet.assign('p0', FIRST)
    fleet.run(2.0)
    assert len(fleet.lock_writes) == 2
    assert fleet.primary(FIRST) == f'{FIRST}-replica'
    fleet.check()


def test_a_proxy_that_registers_again_has_to_be_heard_by_its_peers(fleet):
    # Guards against a promotion while a peer may have a lease that does not
    # depend on this proxy: it had been marked as silent, registered again, and
    # took the last heartbeats of before for the present ones.
    others = ('p0', 'p1', 'p2')
    fleet.cut |= {(name, 'p3') for name in others}
    fleet.cut |= {('p3', name) for name in others}
    lease = fleet.proxies['p3'].tables.primary_lease
    joined_at = lease.joined_at
    fleet.run_until(lambda: lease.joined_at != joined_at)
    fleet.run_until(lambda: lease.joined_at < fleet.clock.now)
    fleet.replace_primary('p3', FIRST)
    begun = []
    fleet.run(1.0, lambda: begun.append(fleet.lock_holder()))
    assert not any(begun)


def leaders_while_recorded(fleet, server, seconds, **options):
    """Run a fleet; return who led while a server was the recorded primary."""
    leaders = set()

    def note_leader():
        if fleet.primary(FIRST) == server:
            leaders.add(fleet.service.leaders[FIRST])

    fleet.run(seconds, note_leader, **options)
    return leaders


def let_only_the_found_server_answer(fleet, found, term=None):
    """Let a server report the term that it leads or, otherwise, has led."""
    service = fleet.service
    led = term or service.terms[FIRST]

    async def gather(servers):
        await pause(fleet.clock, fleet.reports.delay_s)
        leads = service.leaders[FIRST] == found
        reported = service.terms[FIRST] if leads else led
        report = ServerReport(True, reported, LogPosition(2, 9))
        return {each.name: report for each in servers if each.name == found}

    fleet.reports.gather = gather


def ends(steps, group):
    """Return how the promotions of a group ended, and the lock of each."""
    return [
        (step['step'], step['lock'])
        for step in steps
        if step['group'] == group and 'lock' in step
    ]


def test_the_end_of_a_promotion_is_recorded_after_the_lock_is_lost(fleet):
    # Guards against a group without a primary: the one that leads is recorded
    # though another proxy has the lock.
    with promotion_steps() as steps:
        order_and_lose_the_store(fleet)
        begin_another(fleet, 'p1', SECOND)
        fleet.cut_from_store.clear()
        fleet.run(0.5)
    assert ends(steps, FIRST) == [('settled', 'lost')]
    assert fleet.primary(FIRST) == f'{FIRST}-replica'
    fleet.check()


def test_an_end_whose_answer_is_lost_releases_the_lock_once(fleet):
    # Guards against a holder that takes the conflict which its own call has
    # caused for the work of another proxy.
    fleet.replace_primary('p0', FIRST)
    with promotion_steps() as steps:
        fleet.run_until(lambda: fleet.service.orders)
        fleet.store.unanswered.add('p0')
        fleet.run_until(lambda: not fleet.lock_holder())
        fleet.store.unanswered.clear()
        fleet.run(3.0)
    assert ends(steps, FIRST) == [
        ('settled', 'released by a call without an answer')
    ]
    fleet.check()


def test_a_holder_whose_promotion_was_resumed_does_not_report_its_end(fleet):
    # Guards against a log in which two proxies end one promotion, with
    # different primaries.
    order_and_lose_the_store(fleet)
    fleet.proxies['p0'].promoter._watch.stepped_down[FIRST] = 'evidence'
    with promotion_steps() as steps:
        fleet.assign('p1', FIRST)
        fleet.run_until(lambda: fleet.lock_holder() == 'p1')
        fleet.service.leaders[FIRST] = 'another'
        fleet.reports.delay_s = 0.2
        fleet.cut_from_store.clear()
        fleet.run(3.0)
    assert ('superseded', 'lost') in ends(steps, FIRST)
    assert sum(step == 'settled' for step, _ in ends(steps, FIRST)) == 1
    assert fleet.proxies['p0'].promoter._watch.stepped_down
    fleet.check()
