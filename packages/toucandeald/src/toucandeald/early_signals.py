"""Signals that come before the process can act on them.

By default SIGHUP, SIGINT and SIGTERM end a process at once. A service manager
may send them from the moment at which it has started one, while the imports of
a start take tenths of a second. This module imports nothing else, so that it
can be loaded first.
"""

import signal
from collections.abc import Callable, Mapping
from types import FrameType

__all__ = ['EarlySignals']

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)

Handler = Callable[[int, FrameType | None], None]


class EarlySignals:
    """Notes signals until there are handlers for them.

    Create one as early as possible, in the main thread.
    """

    def __init__(self) -> None:
        """Note the signals from now on."""
        self._noted: list[signal.Signals] = []
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._note)

    def hand_over(self, handlers: Mapping[signal.Signals, Handler]) -> None:
        """Install handlers, and call them for the signals that have come.

        Parameters
        ----------
        handlers : mapping of signal.Signals to callable
            The handler of each of the signals.
        """
        for number, handler in handlers.items():
            signal.signal(number, handler)
        for noted in self._noted:
            handlers[noted](noted, None)
        self._noted.clear()

    def _note(self, number: int, frame: FrameType | None) -> None:
        del frame
        self._noted.append(signal.Signals(number))
