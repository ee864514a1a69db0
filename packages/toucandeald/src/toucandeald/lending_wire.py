"""Messages by which proxies lend each other connections to servers.

A borrower requests a connection (`LoanRequest`), is granted one or not
(`LoanReply`), sends requests over it (`BorrowedRequest`, `BorrowedAnswer`),
and returns it (`LoanReturn`).
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
    ReportStatus,
    RollBack,
    ServerAnswer,
    ServerRequest,
    StepDown,
)

__all__ = [
    'BorrowedAnswer',
    'BorrowedRequest',
    'LoanReply',
    'LoanRequest',
    'LoanReturn',
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


class LoanRequest(msgspec.Struct, tag='w', array_like=True):
    """A request for a connection to `server` within `wait_s`.

    `loan_id` identifies the loan among all of the sender's name; a build before
    gives the same ones in each of its processes. The connection has to be one
    of `workspace`; None is any, for the sender's own requests. `priority`,
    `database` and `late_in_s`, the remaining time until it is late, are those
    of the statement that the connection is for; a sender without them gives
    None, and its statement is late after `wait_s`.
    """

    sender: str
    incarnation: int
    address: str
    loan_id: int
    server: str
    wait_s: float
    workspace: str | None = ''
    priority: int = 1
    database: str = ''
    late_in_s: float | None = None


class LoanReply(msgspec.Struct, tag='l', array_like=True):
    """The answer to `LoanRequest`, with the connection state if granted.

    `busy` is whether it was refused because others wait for the connections.
    `takes_any_shape` is whether shapes of any text may be prepared; a lender
    of a build without the field mixes up those that are not a single field.
    """

    sender: str
    loan_id: int
    granted: bool
    values: dict[str, str]
    shapes: list[tuple[str, bool]]
    busy: bool = False
    takes_any_shape: bool = False


class BorrowedRequest(msgspec.Struct, tag='q', array_like=True):
    """A request over a lent connection; `sequence` numbers its requests."""

    sender: str
    incarnation: int
    loan_id: int
    sequence: int
    timeout_s: float
    kind: str
    request: bytes


class BorrowedAnswer(msgspec.Struct, tag='n', array_like=True):
    """The server's answer to the request with the same `sequence`."""

    sender: str
    loan_id: int
    sequence: int
    answer: bytes


class LoanReturn(msgspec.Struct, tag='g', array_like=True):
    """The end of a loan at the borrower.

    The connection is `reusable` if it is outside a transaction and no request
    is outstanding.
    """

    sender: str
    incarnation: int
    loan_id: int
    reusable: bool


def encode_request(request: ServerRequest) -> tuple[str, bytes]:
    """Encode a request as its kind and content."""
    return type(request).__name__, _encode(request)


def decode_request(kind: str, content: bytes) -> ServerRequest:
    """Decode a request that :func:`encode_request` has encoded.

    Raises
    ------
    ValueError
        The kind is unknown or the content is invalid.
    """
    if kind not in _REQUESTS:
        raise ValueError(f'request kind {kind!r} is unknown')
    return msgspec.msgpack.decode(content, type=_REQUESTS[kind])


def encode_answer(answer: ServerAnswer) -> bytes:
    """Encode a server's answer."""
    return _encode(answer)


def decode_answer(content: bytes) -> ServerAnswer:
    """Decode an answer that :func:`encode_answer` has encoded.

    Raises
    ------
    ValueError
        The content is not an answer.
    """
    return msgspec.msgpack.decode(content, type=ServerAnswer)
