"""Signals that come before there are handlers for them."""

import os
import signal

import pytest

from toucandeald.early_signals import HANDLED_SIGNALS, EarlySignals


@pytest.fixture
def signals():
    """Return signals that are noted, and restore the handlers afterwards."""
    before = {number: signal.getsignal(number) for number in HANDLED_SIGNALS}
    yield EarlySignals()
    for number, handler in before.items():
        signal.signal(number, handler)


def test_each_signal_is_handled_once_in_its_order(signals):
    # Guards against a reload or a stop that is lost because it was asked for
    # while the process started.
    handled = []
    sent = [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP]
    for number in sent:
        os.kill(os.getpid(), number)
    handlers = dict.fromkeys(
        HANDLED_SIGNALS, lambda noted, frame: handled.append(noted)
    )
    signals.hand_over(handlers)
    assert handled == sent
    os.kill(os.getpid(), signal.SIGINT)
    signals.hand_over(handlers)
    assert handled == [*sent, signal.SIGINT]
