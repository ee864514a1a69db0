"""Versions of the decisions that must be alike on all proxies.

While machines are replaced one after the other, proxies of two builds run side
by side. A decision in which they could differ takes its newer form only when
all counted proxies know it. Each proxy writes its version into its registration
in the store, so that all read the same versions with the list of proxies.

=======  ====================================================================
Version  Decision
=======  ====================================================================
0        An active lender in each failure domain, for servers that workspaces
         share.
1        One active lender for each such server, in the server's domain.
         Most proxies get a changed configuration as a compressed copy.
         Lenders and rate coordinators have wide links first.
=======  ====================================================================
"""

from collections.abc import Iterable

from toucandeal.fleet import ProxyRecord

__all__ = [
    'COMPRESSED_COPY_PROTOCOL',
    'OWN_PROTOCOL',
    'SINGLE_LENDER_PROTOCOL',
    'WIDE_LINKS_PROTOCOL',
    'common_protocol',
    'known_links',
]

SINGLE_LENDER_PROTOCOL = 1
COMPRESSED_COPY_PROTOCOL = 1
WIDE_LINKS_PROTOCOL = 1
OWN_PROTOCOL = 1


def common_protocol(records: Iterable[ProxyRecord]) -> int:
    """Return the highest version that all counted proxies know.

    Proxies that are marked as silent do not count.

    Examples
    --------
    >>> new = ProxyRecord('p1', 1, 'p1:1', protocol=1)
    >>> old = ProxyRecord('p2', 1, 'p2:1')
    >>> common_protocol([new]), common_protocol([new, old])
    (1, 0)
    >>> common_protocol([new, old._replace(silent=True)]), common_protocol([])
    (1, 0)
    """
    return min(
        (record.protocol for record in records if not record.silent),
        default=0,
    )


def known_links(records: Iterable[ProxyRecord]) -> dict[str, float]:
    """Return the bandwidths of links by proxy, if all may decide by them.

    Examples
    --------
    >>> wide = ProxyRecord('p1', 1, 'p1:1', protocol=1, link_mbps=100.0)
    >>> known_links([wide])
    {'p1': 100.0}
    >>> known_links([wide, ProxyRecord('p2', 1, 'p2:1')])
    {}
    """
    counted = [record for record in records if not record.silent]
    if common_protocol(counted) < WIDE_LINKS_PROTOCOL:
        return {}
    return {record.name: record.link_mbps for record in counted}
