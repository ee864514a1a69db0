"""Tables of one proxy for a group of three servers."""

from toucandeal.fleet import (
    FleetConfiguration,
    GroupRecord,
    InteractiveGroup,
    ProxyRecord,
    Route,
    RouteKind,
    Server,
)
from toucandeal.fleet_tables import FleetTables, apply_record, record_position
from toucandeal.positions import LogPosition
from toucandeal.primary_lease import record_store_read
from toucandeal.store_versions import StoreVersion

__all__ = [
    'NOW',
    'new_route',
    'new_tables',
    'record_primary_position',
    'renew_lease',
]

NOW = 1000.0


def new_route(kind=RouteKind.READ_YOUR_WRITES):
    """Return a route to the group."""
    return Route('db', 'g', kind, 0.8, 0.2, 1, 1.5)


def new_tables():
    """Return tables with a lease, a primary `a` and replicas `b`, `c`."""
    tables = FleetTables('p1', 'z1')
    tables.configuration = FleetConfiguration(
        1, {'db': new_route()}, {'g': InteractiveGroup('g', 16)}, 3.0
    )
    for name in 'abc':
        tables.servers[name] = Server(
            name, 'g', f'{name}:1', 'z1', 2, False, name == 'a'
        )
    apply_record(
        tables, GroupRecord('g', 'a', 3, version=StoreVersion(0, 1)), NOW
    )
    renew_lease(tables, NOW)
    return tables


def renew_lease(tables, now):
    """Renew the lease from a read of the store at `now`."""
    proxies = {name: ProxyRecord(name, 1, f'{name}:1') for name in ('p1', 'p2')}
    record_store_read(tables.primary_lease, now, proxies)


def record_primary_position(tables, index, now, term=3):
    """Record the primary's answer to a statement sent and answered at `now`."""
    primary = tables.servers[tables.groups['g'].record.primary]
    record_position(tables, primary, LogPosition(term, index), now, now)
