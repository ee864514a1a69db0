"""Decoding of JSON that another writer may have left in the store."""

from typing import Annotated, TypeVar

import msgspec

__all__ = ['NaturalNumber', 'decode_stored']

Decoded = TypeVar('Decoded')

# The largest signed 64-bit integer: log lines and messages hold no larger one.
MAX_INTEGER = 9_223_372_036_854_775_807
NaturalNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


def decode_stored(content: bytes, kind: type[Decoded]) -> Decoded:
    """Decode JSON of a type.

    Raises
    ------
    ValueError
        The content is not JSON of that type, or is nested too deeply.

    Examples
    --------
    >>> decode_stored(b'[1, 2]', list[int])
    [1, 2]
    >>> decode_stored(b'[' * 100_000, list)
    Traceback (most recent call last):
    ...
    ValueError: the content is nested too deeply
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except RecursionError:
        raise ValueError('the content is nested too deeply') from None
