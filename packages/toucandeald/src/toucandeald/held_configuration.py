"""The configuration that a proxy holds, and where it continues to read it."""

from collections.abc import Callable

from toucandeal.fleet import FleetConfiguration
from toucandeal.fleet_tables import FleetTables, apply_configuration
from toucandeal.store_versions import StoreVersion
from toucandeald.configuration_copies import decompress
from toucandeald.fleet_wire import CompressedConfiguration, ConfigurationCopy
from toucandeald.logs import log_event
from toucandeald.steady_clock import pause, steady_seconds

__all__ = ['HeldConfiguration']

CHECK_INTERVAL_S = 0.05


class HeldConfiguration:
    """The configuration in force, as the store and the peers have sent it.

    Attributes
    ----------
    content : bytes
        The configuration as the operator has written it.
    position : StoreVersion or None
        A version of the store at which it was the newest one.
    uses_copies : bool
        Whether peers may send copies of changes, so that this proxy reads them
        from the store only if no copy comes.
    first_read_delay_s : float
        How long a started proxy waits for a copy.
    """

    def __init__(
        self, tables: FleetTables, decode: Callable[[bytes], FleetConfiguration]
    ) -> None:
        """Initialize without a configuration."""
        self.on_change: Callable[[], None] = _do_nothing
        self.content = b''
        self.position: StoreVersion | None = None
        self.uses_copies = False
        self.first_read_delay_s = 0.0
        self._tables = tables
        self._decode = decode

    def apply(self, content: bytes) -> bool:
        """Put a configuration in force if it is newer than the present one.

        Returns
        -------
        bool
            Whether it can be decoded.
        """
        try:
            configuration = self._decode(content)
        except ValueError as error:
            log_event('configuration unreadable', reason=str(error))
            return False
        if apply_configuration(self._tables, configuration):
            self.content = content
            log_event(
                'configuration in force',
                version=configuration.version,
                routes=len(configuration.routes),
                groups=len(configuration.groups),
                keys=len(configuration.key_workspaces),
            )
            if configuration.has_workspaces != self._tables.requires_keys:
                log_event(
                    'workspaces unclear',
                    version=configuration.version,
                    in_settings=self._tables.requires_keys,
                    in_configuration=configuration.has_workspaces,
                    keys_needed=self._tables.configuration.has_workspaces,
                )
            self.on_change()
        return True

    def receive(
        self, copy: ConfigurationCopy | CompressedConfiguration, era: int
    ) -> None:
        """Apply a peer's copy, and continue to read from its position.

        A position of another era than the store's present `era` is not used.
        """
        if isinstance(copy, ConfigurationCopy):
            self.apply(copy.content)
            return
        try:
            content = decompress(copy.content)
        except ValueError as error:
            log_event('configuration unreadable', reason=str(error))
            return
        if self.apply(content) and copy.position.era == era:
            self.continue_from(copy.position)

    def continue_from(self, position: StoreVersion) -> None:
        """Note a version of the store whose configuration is applied."""
        if self.position is None or self.position < position:
            self.position = position

    async def wait_for_copy(self, clock) -> None:
        """Let a peer send the configuration before this proxy reads it."""
        until = steady_seconds() + self.first_read_delay_s
        while self.position is None and steady_seconds() < until:
            await pause(clock, CHECK_INTERVAL_S)


def _do_nothing() -> None:
    """Let a new configuration take effect with the next statements."""
