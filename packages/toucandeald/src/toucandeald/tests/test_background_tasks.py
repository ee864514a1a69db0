"""Background work that an unexpected error must not end."""

from twisted.internet.task import Clock

from toucandeald.background_tasks import RESTART_DELAY_S, keep_running


def test_work_is_started_again_after_an_unexpected_error():
    clock = Clock()
    starts = []

    async def work():
        starts.append(clock.seconds())
        if len(starts) < 3:
            raise RuntimeError('a row of an unknown kind')

    ended = keep_running(clock, work)
    for _ in range(4):
        clock.advance(RESTART_DELAY_S)
    assert starts == [0, RESTART_DELAY_S, 2 * RESTART_DELAY_S]
    assert ended.called
