"""The project's stand-ins with many services: SERVICES of two servers each.

The store takes at most 100 entries a call (preconditions, puts and removals
together), as the platform's pages say, and refuses a larger call with 400. The
project's own stand-in of the store takes any number.
"""

import base64
import json
import os
import sys

import msgspec
from toucandeal_platform.standins.database import DatabaseServer, Group
from toucandeal_platform.standins.store import StoreResource, StoreTables
from twisted.internet import reactor
from twisted.web import server

GROUPS = int(os.environ['SERVICES'])
MAX_ENTRIES = 100
CONNECTIONS = int(sys.argv[1])


def encode(content) -> str:
    return base64.b64encode(msgspec.json.encode(content)).decode()


class LimitedTables(StoreTables):
    """Tables that refuse calls with too many entries."""

    def __init__(self, seconds) -> None:
        super().__init__(seconds)
        self.refused: list[int] = []

    def transact(self, body: dict):
        entries = sum(
            len(body.get(kind, [])) for kind in ('precondition', 'puts', 'remove')
        )
        if entries > MAX_ENTRIES:
            self.refused.append(entries)
            return 400, {'error': f'{entries} entries, {MAX_ENTRIES} at most'}
        return super().transact(body)


class Standins:
    """The store and the groups."""

    def __init__(self) -> None:
        self.tables = LimitedTables(reactor.seconds)
        self.groups: dict[str, Group] = {}
        self.addresses: dict[str, str] = {}
        self.store = StoreResource(reactor, self.tables, self.promote)
        self.store.add_command(b'/restore', self.restore)
        self.store.add_command(b'/state', self.state)

    def start(self) -> dict:
        for number in range(GROUPS):
            group = Group(reactor, f'g{number:03d}', 0.02, 0.2)
            group.on_role_change = self.register
            self.groups[group.name] = group
            for letter in 'ab':
                each = DatabaseServer(group, f'{group.name}{letter}', CONNECTIONS)
                port = reactor.listenTCP(0, each, interface='127.0.0.1')
                self.addresses[each.name] = f'127.0.0.1:{port.getHost().port}'
                group.add(each)
                self.register(each)
        self.tables.put('op', 'config', encode(self.configuration()))
        site = server.Site(self.store)
        site.noisy = False
        port = reactor.listenTCP(0, site, interface='127.0.0.1')
        return {'store': f'127.0.0.1:{port.getHost().port}'}

    def configuration(self) -> dict:
        return {
            'version': 1,
            'routes': [
                {
                    'name': f'r-{name}',
                    'host': f'db-{name}',
                    'routeType': 'primary',
                    'timeoutMs': 800,
                    'targetLatencyMs': 200,
                    'priority': 1,
                    'backend': name,
                    'maxStalenessMs': 1500,
                }
                for name in self.groups
            ],
            'backends': [
                {'name': name, 'maxConns': CONNECTIONS, 'syncReplicas': 0}
                for name in self.groups
            ],
            'limits': {'txIdleMs': 3000},
        }

    def promote(self, group: str, name: str) -> bool:
        return self.groups[group].promote(name)

    def register(self, each: DatabaseServer) -> None:
        entry = {
            'backend': each.group.name,
            'address': self.addresses[each.name],
            'zone': 'z1',
            'version': 'v1',
            'slots': 2,
            'state': 'ready',
            'coldRemainingMs': 0,
            'dbRole': 'primary' if each.is_primary else 'replica',
            'seqNo': 1,
            'born': 1,
        }
        self.tables.put('servers', each.name, encode(entry))

    def restore(self, body: dict) -> dict:
        """Take the store away, then bring it back from an older copy."""
        self.store.fault = 'busy'

        def bring_back() -> None:
            self.store.fault = ''
            before = self.tables.restore(body['age_s'] + body['away_s'])
            reactor.callLater(
                body['rewrite_s'],
                self.tables.write_again,
                before,
                {'op', 'servers'},
            )

        reactor.callLater(body['away_s'], bring_back)
        return {}

    def state(self, body: dict) -> dict:
        del body
        return {'era': self.tables.era, 'refused': self.tables.refused}


sys.stdout.write(f'{json.dumps(Standins().start())}\n')
sys.stdout.flush()
reactor.run()
