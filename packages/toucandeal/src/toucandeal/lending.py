"""Which proxies hold connections to a server, and which borrow them.

Answers these load patterns:

- More proxies than a server has connections for. With one connection each,
  a transaction at one proxy makes all its other statements wait, while the
  connections of the other proxies are idle. A few lenders hold them instead,
  several each, and the other proxies borrow one for a statement or a
  transaction.
- All proxies lose power at once. Their connections stay open at the servers
  for seconds, so all of them together hold only a part of what a server takes
  and leave the rest for their return.
"""

from collections.abc import Iterable

from toucandeal.membership import rendezvous_order

__all__ = ['choose_lender', 'lenders']

HELD_SHARE = 0.5  # of a server's connections, so that all may return at once
LEAST_HELD = 2  # connections of one lender; with one, statements queue


def lenders(server: str, proxies: Iterable[str], limit: int) -> list[str]:
    """Return the proxies that hold connections to a server.

    Parameters
    ----------
    server : str
    proxies : iterable of str
        All that are counted.
    limit : int
        Connections that the server takes.

    Examples
    --------
    >>> len(lenders('s', ['p1', 'p2', 'p3', 'p4'], limit=16))
    4
    >>> names = [f'p{number}' for number in range(28)]
    >>> len(lenders('s', names, limit=28))
    7
    """
    most = max(int(limit * HELD_SHARE) // LEAST_HELD, 1)
    return rendezvous_order(proxies, server)[:most]


def choose_lender(
    server: str, own: str, candidates: Iterable[str], near: frozenset[str]
) -> str | None:
    """Return the lender that a proxy asks, or None if there is none.

    Parameters
    ----------
    server : str
    own : str
        The borrower.
    candidates : iterable of str
        Lenders that are alive.
    near : frozenset of str
        Those in the borrower's failure domain; they are preferred.

    Examples
    --------
    >>> choose_lender('s', 'p9', ['p1', 'p2'], frozenset({'p2'}))
    'p2'
    >>> choose_lender('s', 'p9', [], frozenset()) is None
    True
    """
    alive = set(candidates)
    preferred = (alive & near) or alive
    if not preferred:
        return None
    return rendezvous_order(preferred, f'{server} {own}')[0]
