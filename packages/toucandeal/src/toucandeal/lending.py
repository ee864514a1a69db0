"""Selection of the proxies that open connections to a server and lend them.

Addresses these load patterns:

- There are more proxies than a server has connections for. With one connection
  per proxy, a transaction at one proxy makes all its other statements wait,
  while the connections of the other proxies are idle. Instead, a few lenders
  open several connections each, and the other proxies borrow one for a
  statement or a transaction.
- There are some seventy workspaces, and a connection serves only one of them.
  One lender in each failure domain holds the connections, so the connections
  of a workspace are few and used often. A second one replaces it when lost.
- All proxies lose power at once. Their connections stay open at the servers
  for seconds, so all lenders together open only a part of the connections that
  a server accepts, and the rest is free when the proxies restart.
"""

import itertools
from collections.abc import Iterable, Mapping

from toucandeal.rendezvous import (
    NO_LINKS,
    rendezvous_order,
    widest_first,
)

__all__ = [
    'active_lenders',
    'choose_lender',
    'domain_lenders',
    'lendable',
    'lenders',
    'single_lender',
    'spread_lenders',
]

LENDER_SHARE = 0.5  # of a server's connections; all may reconnect at once
MIN_CONNECTIONS_PER_LENDER = 2  # with one, statements queue
LENDERS_PER_DOMAIN = 2  # the second one replaces a lost one
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


def lendable(limit: int) -> int:
    """Return how many connections all lenders with workspaces may open.

    Idle connections of many workspaces are worth keeping, so a lender uses all
    that it may open. The rest is free after a loss of all proxies.

    Examples
    --------
    >>> lendable(70), lendable(1)
    (35, 1)
    """
    return max(int(limit * LENDER_SHARE), 1)


def domain_lenders(
    server: str,
    domains: Mapping[str, str],
    limit: int,
    links_mbps: Mapping[str, float] = NO_LINKS,
) -> list[str]:
    """Return the proxies that open connections where there are workspaces.

    Parameters
    ----------
    server : str
    domains : mapping of str to str
        The failure domain of each proxy that is counted.
    limit : int
        Connections that the server accepts.
    links_mbps : mapping of str to float
        Bandwidths of the proxies' links, as far as they may be relied on.

    Examples
    --------
    >>> domains = {f'p{number}': 'abc'[number % 3] for number in range(26)}
    >>> selected = domain_lenders('s', domains, limit=70)
    >>> sorted(domains[name] for name in selected)
    ['a', 'a', 'b', 'b', 'c', 'c']
    """
    ranks: dict[str, itertools.count] = {}
    ranked = [
        (next(ranks.setdefault(domains[name], itertools.count())), name)
        for name in widest_first(rendezvous_order(domains, server), links_mbps)
    ]
    # The first of each domain precede the second ones, if not all are lenders.
    ranked.sort(key=lambda each: each[0])
    selected = [name for rank, name in ranked if rank < LENDERS_PER_DOMAIN]
    return selected[: _max_lenders(limit)]


def active_lenders(
    selected: Iterable[str], domains: Mapping[str, str], live: Iterable[str]
) -> list[str]:
    """Return the first live lender of each failure domain.

    Parameters
    ----------
    selected : iterable of str
        The result of `domain_lenders`.
    domains : mapping of str to str
        Failure domain of each live lender.
    live : iterable of str

    Examples
    --------
    >>> domains = {'p1': 'a', 'p2': 'b', 'p3': 'a', 'p4': 'b'}
    >>> active_lenders(['p1', 'p2', 'p3', 'p4'], domains, ['p2', 'p3', 'p4'])
    ['p2', 'p3']
    """
    known = set(live)
    first_of_domain: dict[str, str] = {}
    for name in selected:
        if name in known:
            first_of_domain.setdefault(domains[name], name)
    return list(first_of_domain.values())


def single_lender(
    selected: Iterable[str],
    domains: Mapping[str, str],
    server_domain: str,
) -> list[str]:
    """Return the only lender of a server in use, or none.

    With some seventy workspaces before a server with 50 connections, a
    workspace that several lenders hold connections for has few at each, and
    they are closed for other workspaces before they are used again. A lender in
    the server's failure domain adds no crossing, since the statement crosses to
    that domain in any case.

    Parameters
    ----------
    selected : iterable of str
        The result of `domain_lenders`.
    domains : mapping of str to str
        Failure domain of each live lender.
    server_domain : str
        Failure domain of the server.

    Examples
    --------
    >>> selected = ['p1', 'p2', 'p3', 'p4']
    >>> domains = {'p1': 'a', 'p2': 'b', 'p3': 'a', 'p4': 'b'}
    >>> single_lender(selected, domains, 'b')
    ['p2']
    >>> single_lender(selected, {'p3': 'a'}, 'b'), single_lender([], {}, 'b')
    (['p3'], [])
    """
    live = [name for name in selected if name in domains]
    nearest = [name for name in live if domains[name] == server_domain]
    return (nearest or live)[:1]


def _max_lenders(limit: int) -> int:
    return max(lendable(limit) // MIN_CONNECTIONS_PER_LENDER, 1)


def spread_lenders(
    server: str,
    domains: Mapping[str, str],
    limit: int,
    links_mbps: Mapping[str, float] = NO_LINKS,
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
    links_mbps : mapping of str to float
        Bandwidths of the proxies' links, as far as they may be relied on.

    Examples
    --------
    >>> fleet = {f'p{number}': 'abc'[number % 3] for number in range(300)}
    >>> chosen = spread_lenders('s', fleet, limit=70)
    >>> len(chosen), sorted({fleet[name] for name in chosen})
    (4, ['a', 'b', 'c'])
    >>> len(spread_lenders('s', fleet, limit=8))
    2
    """
    order = widest_first(rendezvous_order(domains, server), links_mbps)
    first_of_domain: dict[str, str] = {}
    for name in order:
        first_of_domain.setdefault(domains[name], name)
    first = list(first_of_domain.values())
    rest = [name for name in order if name not in first]
    return [*first, *rest][: min(MAX_SPREAD_LENDERS, _max_lenders(limit))]


def choose_lender(
    server: str, key: str, candidates: Iterable[str], nearby: frozenset[str]
) -> str | None:
    """Return the lender that a proxy borrows from, or None.

    Parameters
    ----------
    server : str
    key : str
        The borrower's name or, where there are workspaces, the workspace.
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
    return rendezvous_order(preferred, f'{server} {key}')[0]
