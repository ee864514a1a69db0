"""Compressed copies of the configuration between proxies.

Addresses these load patterns:

- A configuration of some 1,800 routes comes into force. Its row takes 350 KB in
  an answer of the store, which is 0.6 s of a link of 5 Mbit/s that callers use
  as well. A copy compressed with zlib takes a tenth or less.
- All proxies restart with such a configuration. Those with wide links read it,
  and the others wait for a copy before they read it themselves.
"""

import zlib

__all__ = ['compress', 'decompress', 'first_read_delay_s']

COMPRESSION_LEVEL = 6
MAX_CONTENT_BYTES = 67_108_864
# The row of 1,800 routes in base64, as the store sends it.
LARGE_ROW_BITS = 2_800_000
MAX_FIRST_READ_DELAY_S = 0.6
BITS_PER_MEGABIT = 1_000_000


def compress(content: bytes) -> bytes:
    """Return a configuration for a copy."""
    return zlib.compress(content, COMPRESSION_LEVEL)


def decompress(compressed: bytes) -> bytes:
    """Return the configuration of a copy.

    Raises
    ------
    ValueError
        The copy is damaged, incomplete or too large.

    Examples
    --------
    >>> decompress(compress(b'{"version": 7}'))
    b'{"version": 7}'
    >>> decompress(b'')
    Traceback (most recent call last):
        ...
    ValueError: the copy of the configuration is incomplete or too large
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise ValueError(
            f'the copy of the configuration is damaged: {error}'
        ) from None
    if not decompressor.eof:
        raise ValueError(
            'the copy of the configuration is incomplete or too large'
        )
    return content


def first_read_delay_s(link_mbps: float | None) -> float:
    """Return how long a started proxy waits for a copy, in seconds.

    It is the time that a large configuration takes on the proxy's link, so the
    proxies with wide links read first. A proxy whose link is not known reads
    at once.

    Examples
    --------
    >>> round(first_read_delay_s(5.0), 2), round(first_read_delay_s(100.0), 3)
    (0.56, 0.028)
    >>> first_read_delay_s(None), first_read_delay_s(0.1)
    (0.0, 0.6)
    """
    if not link_mbps:
        return 0.0
    return min(
        LARGE_ROW_BITS / (link_mbps * BITS_PER_MEGABIT), MAX_FIRST_READ_DELAY_S
    )
