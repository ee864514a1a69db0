"""Copies to peers that are behind."""

from toucandeal.copy_turns import CopyPace, Lacking, copy_is_due, copy_rank

PACE = CopyPace(after_s=0.6, step_s=0.25, again_s=3.0)
NAMES = [f'p{number}' for number in range(24)]
BEATS = [number * 0.25 for number in range(1, 21)]


def _copies_sent(has_it, peer, catches_up_s):
    """Return when each proxy sends a copy to a peer that is behind."""
    sent = []
    for name in has_it:
        lacking = Lacking(0.0, -10.0)
        rank = copy_rank(name, peer, NAMES)
        for now in BEATS:
            if now < catches_up_s and copy_is_due(lacking, rank, PACE, now):
                lacking = lacking._replace(sent_at=now)
                sent.append(now)
    return sorted(sent)


def test_a_peer_that_reads_the_store_gets_no_copy():
    assert _copies_sent(NAMES[:23], 'p23', catches_up_s=0.5) == []


def test_a_slow_peer_gets_few_copies_from_many():
    # 23 proxies, 4 beats a second: 46 copies in half a second at first.
    assert len(_copies_sent(NAMES[:23], 'p23', catches_up_s=1.3)) <= 3


def test_a_peer_that_the_store_turns_away_soon_has_a_copy():
    sent = _copies_sent(NAMES[:12], 'p23', catches_up_s=9)
    assert sent[0] <= 2.0


def test_the_order_differs_from_peer_to_peer():
    firsts = {
        min(NAMES[:20], key=lambda name: copy_rank(name, peer, NAMES))
        for peer in NAMES[20:]
    }
    assert len(firsts) > 1
