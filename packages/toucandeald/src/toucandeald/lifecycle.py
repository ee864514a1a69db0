"""The life of the daemon: starting, serving, draining, stopped."""

from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder

__all__ = ['Lifecycle', 'LifecycleState', 'new_lifecycle']


class LifecycleState:
    """Whether the daemon is ready, and what to do on its way out."""

    def __init__(self, drain: Callable[[], None], stop: Callable[[], None]):
        """Take the effects of draining and of stopping."""
        self.ready = False
        self.drain = drain
        self.stop = stop


class Lifecycle(Protocol):
    """The inputs."""

    def started(self) -> None:
        """Take note that the proxy may serve."""

    def asked_to_stop(self) -> None:
        """Finish the work in flight, then stop."""

    def drained(self) -> None:
        """Take note that no work is left."""


def _build():
    builder = TypeMachineBuilder(Lifecycle, LifecycleState)
    starting = builder.state('starting')
    serving = builder.state('serving')
    draining = builder.state('draining')
    stopped = builder.state('stopped')

    @starting.upon(Lifecycle.started).to(serving)
    def serve(lifecycle, state) -> None:
        state.ready = True

    @serving.upon(Lifecycle.asked_to_stop).to(draining)
    def drain(lifecycle, state) -> None:
        state.ready = False
        state.drain()

    @starting.upon(Lifecycle.asked_to_stop).to(draining)
    def drain_early(lifecycle, state) -> None:
        state.drain()

    @draining.upon(Lifecycle.drained).to(stopped)
    def stop(lifecycle, state) -> None:
        state.stop()

    draining.upon(Lifecycle.asked_to_stop).loop().returns(None)
    draining.upon(Lifecycle.started).loop().returns(None)
    serving.upon(Lifecycle.started).loop().returns(None)
    serving.upon(Lifecycle.drained).loop().returns(None)
    starting.upon(Lifecycle.drained).loop().returns(None)
    for ended in (
        Lifecycle.started,
        Lifecycle.asked_to_stop,
        Lifecycle.drained,
    ):
        stopped.upon(ended).loop().returns(None)
    return builder.build()


new_lifecycle = _build()
