"""The schedule of copies to outdated peers."""

from toucandeal.copy_schedule import (
    CopySchedule,
    OutdatedPeer,
    copy_is_due,
    copy_rank,
)

SCHEDULE = CopySchedule(
    initial_delay_s=0.6, rank_interval_s=0.25, retry_interval_s=3.0
)
NAMES = [f'p{number}' for number in range(24)]
HEARTBEATS = [number * 0.25 for number in range(1, 21)]


def _copies_sent(sources, peer, up_to_date_at):
    """Return the times at which the sources send copies to an outdated peer."""
    sent = []
    for name in sources:
        outdated = OutdatedPeer(0.0, -10.0)
        rank = copy_rank(name, peer, NAMES)
        for now in HEARTBEATS:
            if now < up_to_date_at and copy_is_due(
                outdated, rank, SCHEDULE, now
            ):
                outdated = outdated._replace(sent_at=now)
                sent.append(now)
    return sorted(sent)


def test_a_peer_that_reads_the_store_gets_no_copy():
    assert _copies_sent(NAMES[:23], 'p23', up_to_date_at=0.5) == []


def test_a_slow_peer_gets_few_copies_from_many():
    # Without a schedule, 23 proxies with 4 heartbeats a second would send 46
    # copies in the first half second.
    assert len(_copies_sent(NAMES[:23], 'p23', up_to_date_at=1.3)) <= 3


def test_a_peer_without_the_store_gets_a_copy_within_two_seconds():
    sent = _copies_sent(NAMES[:12], 'p23', up_to_date_at=9)
    assert sent[0] <= 2.0


def test_the_order_differs_from_peer_to_peer():
    firsts = {
        min(NAMES[:20], key=lambda name: copy_rank(name, peer, NAMES))
        for peer in NAMES[20:]
    }
    assert len(firsts) > 1
