"""A database server that is no part of the deployment.

It bears the name of the service and has a log of its own, as the server of a
test system or of a retired copy does. The first line of the output is its
address. Usage: other_server.py SERVICE ID ENTRIES
"""

import sys

from toucandeal_platform.standins.database import DatabaseServer, Group
from twisted.internet import reactor

service, name, entries = sys.argv[1], sys.argv[2], int(sys.argv[3])
group = Group(reactor, service, 0.02, 0.2)
server = DatabaseServer(group, name, 16)
server.log = [(1, '1a4', f'other{number}') for number in range(entries)]
server.applied = len(server.log)
port = reactor.listenTCP(0, server, interface='127.0.0.1')
sys.stdout.write(f'127.0.0.1:{port.getHost().port}\n')
sys.stdout.flush()
reactor.run()
