"""Simulated store with one table of records, restored from older copies."""

from typing import NamedTuple

from toucandeal.store_versions import NO_VERSION, StoreVersion

__all__ = ['SimulatedStore', 'StoreState']

COPIES_KEPT = 25


class StoreState(NamedTuple):
    """The rows, as (version, content) by key, and the newest version."""

    rows: dict
    version: StoreVersion

    def row_version(self, key):
        """Return the version of a row; it is in the era of this state."""
        row = self.rows.get(key)
        return row[0]._replace(era=self.version.era) if row else NO_VERSION

    def content(self, key):
        """Return the content of a row, or None."""
        row = self.rows.get(key)
        return row[1] if row else None


class SimulatedStore:
    """A store whose transactions have preconditions on versions of rows."""

    def __init__(self, rows):
        self.state = StoreState({}, StoreVersion(1, 0))
        self.copies = []
        self.transact({}, rows)

    def transact(self, preconditions, puts):
        """Apply a transaction if its preconditions hold.

        The store knows only the numbers of versions, as the platform does.
        """
        if any(
            self.state.row_version(key).number != version.number
            for key, version in preconditions.items()
        ):
            return False
        version = self.state.version
        version = version._replace(number=version.number + 1)
        written = {key: (version, content) for key, content in puts.items()}
        self.state = StoreState({**self.state.rows, **written}, version)
        self.copies = [*self.copies, self.state][-COPIES_KEPT:]
        return True

    def restore(self, steps):
        """Restore the copy of `steps` transactions ago, in a new era."""
        index = max(len(self.copies) - 1 - steps, 0)
        copy = self.copies[index]
        version = copy.version._replace(era=self.state.version.era + 1)
        self.state = StoreState(copy.rows, version)
        self.copies = [*self.copies[:index], self.state]
