"""Selection of the proxies that open connections to a server and lend them.

Addresses these load patterns:

- There are more proxies than a server has connections for. With one connection
  per proxy, a transaction at one proxy makes all its other statements wait,
  while the connections of the other proxies are idle. Instead, a few lenders
  open several connections each, and the other proxies borrow one for a
  statement or a transaction.
- All proxies lose power at once. Their connections stay open at the servers
  for seconds, so all lenders together open only a part of the connections that
  a server accepts, and the rest is free when the proxies restart.
"""

from collections.abc import Iterable, Mapping

from toucandeal.membership import rendezvous_order

__all__ = ['choose_lender', 'lenders', 'spread_lenders']

LENDER_SHARE = 0.5  # of a server's connections; all may reconnect at once
MIN_CONNECTIONS_PER_LENDER = 2  # with one, statements queue
MAX_SPREAD_LENDERS = 4  # each sends its demand to the others


def lenders(server: str, proxies: Iterable[str], limit: int) -> list[str]:
    """Return the proxies that open connections to a server.

    Parameters
    ----------
    server : str
    proxies : iterable of str
        All proxies that are counted.
    limit : int
        Connections that the server accepts.

    Examples
    --------
    >>> len(lenders('s', ['p1', 'p2', 'p3', 'p4'], limit=16))
    4
    >>> names = [f'p{number}' for number in range(28)]
    >>> len(lenders('s', names, limit=28))
    7
    """
    return rendezvous_order(proxies, server)[: _max_lenders(limit)]


def _max_lenders(limit: int) -> int:
    return max(int(limit * LENDER_SHARE) // MIN_CONNECTIONS_PER_LENDER, 1)


def spread_lenders(
    server: str, domains: Mapping[str, str], limit: int
) -> list[str]:
    """Return the lenders of a server in a fleet of hundreds of proxies.

    There are at most `MAX_SPREAD_LENDERS`, one in each failure domain first,
    so that most proxies borrow within their own.

    Parameters
    ----------
    server : str
    domains : mapping
        Failure domain by counted proxy.
    limit : int
        Connections that the server accepts.

    Examples
    --------
    >>> fleet = {f'p{number}': 'abc'[number % 3] for number in range(300)}
    >>> chosen = spread_lenders('s', fleet, limit=70)
    >>> len(chosen), sorted({fleet[name] for name in chosen})
    (4, ['a', 'b', 'c'])
    >>> len(spread_lenders('s', fleet, limit=8))
    2
    """
    order = rendezvous_order(domains, server)
    first_of_domain: dict[str, str] = {}
    for name in order:
        first_of_domain.setdefault(domains[name], name)
    first = list(first_of_domain.values())
    rest = [name for name in order if name not in first]
    return [*first, *rest][: min(MAX_SPREAD_LENDERS, _max_lenders(limit))]


def choose_lender(
    server: str, own: str, candidates: Iterable[str], nearby: frozenset[str]
) -> str | None:
    """Return the lender that a proxy borrows from, or None.

    Parameters
    ----------
    server : str
    own : str
        The borrower.
    candidates : iterable of str
        Live lenders.
    nearby : frozenset of str
        Proxies in the borrower's failure domain, which are preferred.

    Examples
    --------
    >>> choose_lender('s', 'p9', ['p1', 'p2'], frozenset({'p2'}))
    'p2'
    >>> choose_lender('s', 'p9', [], frozenset()) is None
    True
    """
    live = set(candidates)
    preferred = (live & nearby) or live
    if not preferred:
        return None
    return rendezvous_order(preferred, f'{server} {own}')[0]
