"""The lifecycle of the daemon: starting, serving, draining, stopped."""

from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder

__all__ = ['Lifecycle', 'LifecycleState', 'new_lifecycle']


class LifecycleState:
    """The readiness of the daemon, and its drain and stop callbacks."""

    def __init__(self, drain: Callable[[], None], stop: Callable[[], None]):
        """Initialize with the callbacks for draining and stopping."""
        self.ready = False
        self.drain = drain
        self.stop = stop


class Lifecycle(Protocol):
    """The inputs of the state machine."""

    def started(self) -> None:
        """Enter the serving state, unless the daemon is stopping already."""

    def stop_requested(self) -> None:
        """Start draining the work in flight, before the daemon stops."""

    def drained(self) -> None:
        """Stop the daemon once draining has ended."""


def _build():
    builder = TypeMachineBuilder(Lifecycle, LifecycleState)
    starting = builder.state('starting')
    serving = builder.state('serving')
    draining = builder.state('draining')
    stopped = builder.state('stopped')

    @starting.upon(Lifecycle.started).to(serving)
    def serve(lifecycle, state) -> None:
        state.ready = True

    @serving.upon(Lifecycle.stop_requested).to(draining)
    def drain(lifecycle, state) -> None:
        state.ready = False
        state.drain()

    @starting.upon(Lifecycle.stop_requested).to(draining)
    def drain_early(lifecycle, state) -> None:
        state.drain()

    @draining.upon(Lifecycle.drained).to(stopped)
    def stop(lifecycle, state) -> None:
        state.stop()

    draining.upon(Lifecycle.stop_requested).loop().returns(None)
    draining.upon(Lifecycle.started).loop().returns(None)
    serving.upon(Lifecycle.started).loop().returns(None)
    serving.upon(Lifecycle.drained).loop().returns(None)
    starting.upon(Lifecycle.drained).loop().returns(None)
    for ended in (
        Lifecycle.started,
        Lifecycle.stop_requested,
        Lifecycle.drained,
    ):
        stopped.upon(ended).loop().returns(None)
    return builder.build()


new_lifecycle = _build()
