"""The messages by which proxies lend each other connections to servers.

A borrower asks for a connection (`Wanted`), is given one or not (`Lent`), sends
requests over it (`Asked`, `Answered`), and gives it back (`GivenBack`).
"""

import msgspec

from toucandeal.caller_sessions import (
    PrepareShape,
    ResetSession,
    SetValue,
)
from toucandeald.session_messages import (
    BeginTransaction,
    Forward,
    LinkRequest,
    ReportStatus,
    RollBack,
    ServerAnswer,
    StepDown,
)

__all__ = [
    'Answered',
    'Asked',
    'GivenBack',
    'Lent',
    'Wanted',
    'decode_answer',
    'decode_request',
    'encode_answer',
    'encode_request',
]

_REQUESTS = {
    kind.__name__: kind
    for kind in (
        BeginTransaction,
        Forward,
        PrepareShape,
        ReportStatus,
        ResetSession,
        RollBack,
        SetValue,
        StepDown,
    )
}
_encode = msgspec.msgpack.encode


class Wanted(msgspec.Struct, tag='w', array_like=True):
    """The sender wants a connection to `server` within `wait_s`.

    `number` identifies the loan among those of the sender's incarnation.
    """

    sender: str
    incarnation: int
    address: str
    number: int
    server: str
    wait_s: float


class Lent(msgspec.Struct, tag='l', array_like=True):
    """The answer to `Wanted`; `values` and `shapes` lie on the connection."""

    sender: str
    number: int
    granted: bool
    values: dict[str, str]
    shapes: list[tuple[str, bool]]


class Asked(msgspec.Struct, tag='q', array_like=True):
    """A request over a lent connection; `turn` counts them."""

    sender: str
    incarnation: int
    number: int
    turn: int
    timeout_s: float
    kind: str
    request: bytes


class Answered(msgspec.Struct, tag='n', array_like=True):
    """The server's answer to the request of a turn."""

    sender: str
    number: int
    turn: int
    answer: bytes


class GivenBack(msgspec.Struct, tag='g', array_like=True):
    """The sender needs a connection no longer.

    It is `sound` if it is outside a transaction and owes no answer.
    """

    sender: str
    incarnation: int
    number: int
    sound: bool


def encode_request(request: LinkRequest) -> tuple[str, bytes]:
    """Return a request's kind and content."""
    return type(request).__name__, _encode(request)


def decode_request(kind: str, content: bytes) -> LinkRequest:
    """Return the request that :func:`encode_request` has encoded.

    Raises
    ------
    ValueError
        The kind or the content is not known.
    """
    if kind not in _REQUESTS:
        raise ValueError(f'a request of kind {kind!r} is not known')
    return msgspec.msgpack.decode(content, type=_REQUESTS[kind])


def encode_answer(answer: ServerAnswer) -> bytes:
    """Encode a server's answer."""
    return _encode(answer)


def decode_answer(content: bytes) -> ServerAnswer:
    """Return the answer that :func:`encode_answer` has encoded.

    Raises
    ------
    ValueError
        The content is no answer.
    """
    return msgspec.msgpack.decode(content, type=ServerAnswer)
