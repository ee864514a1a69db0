"""Session tokens: the log position that a session has seen of each group.

The token holds all state of a session, so any proxy can serve its next
request. It is signed, because a proxy trusts the positions in it.
"""

import base64
import binascii
import hashlib
import hmac

import msgspec

from toucandeal.errors import BadToken
from toucandeal.positions import NOTHING_SEEN, LogPosition

__all__ = [
    'Session',
    'advance',
    'check_group_limit',
    'decode_token',
    'decode_unverified_token',
    'encode_token',
    'seen_position',
]

SIGNATURE_BYTES = 16
MAX_SECRET_BYTES = hashlib.blake2b.MAX_KEY_SIZE
MAX_TOKEN_CHARS = 8192
MAX_GROUPS = 64
_REMEDY = (
    'Drop the header to start a new session, or send the last token as it came'
)


class Session(msgspec.Struct, frozen=True, array_like=True):
    """A caller's name and the position seen in each group."""

    caller: str
    seen: dict[str, tuple[int, int]] = {}


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Session)


def _sign(payload: bytes, secret: bytes) -> bytes:
    # Keyed BLAKE2 is a message authentication code; HMAC is not needed.
    return hashlib.blake2b(
        payload, digest_size=SIGNATURE_BYTES, key=secret[:MAX_SECRET_BYTES]
    ).digest()


def encode_token(session: Session, secret: bytes) -> str:
    """Return the signed text form of `session`.

    Examples
    --------
    >>> token = encode_token(Session('a', {'g': (1, 2)}), b'secret')
    >>> decode_token(token, 'a', (b'secret',)).seen
    {'g': (1, 2)}
    """
    payload = _encoder.encode(session)
    signed = _sign(payload, secret) + payload
    return base64.urlsafe_b64encode(signed).decode('ascii')


def decode_token(
    token: str | None, caller: str, secrets: tuple[bytes, ...]
) -> Session:
    """Return the session that a token encodes.

    Parameters
    ----------
    token : str or None
        ``None`` or empty starts a new session.
    caller : str
        The caller that sent the token.
    secrets : tuple of bytes
        Accepted signing keys; the first one signs new tokens.

    Raises
    ------
    BadToken
        The token is malformed, forged or belongs to another caller.
    """
    if not token:
        return Session(caller)
    if len(token) > MAX_TOKEN_CHARS:
        raise BadToken('The session token is too long', _REMEDY)
    try:
        signed = base64.b64decode(token, altchars=b'-_', validate=True)
    except (binascii.Error, ValueError):
        raise BadToken('The session token is malformed', _REMEDY) from None
    signature, payload = signed[:SIGNATURE_BYTES], signed[SIGNATURE_BYTES:]
    if not any(
        hmac.compare_digest(signature, _sign(payload, secret))
        for secret in secrets
    ):
        raise BadToken('The session token has a wrong signature', _REMEDY)
    try:
        session = _decoder.decode(payload)
    except msgspec.MsgspecError:
        raise BadToken('The session token is malformed', _REMEDY) from None
    if session.caller != caller:
        raise BadToken('The session token belongs to another caller', _REMEDY)
    return session


def seen_position(session: Session, group: str) -> LogPosition:
    """Return the position that the session has seen of `group`."""
    return LogPosition(*session.seen.get(group, NOTHING_SEEN))


def check_group_limit(session: Session, group: str) -> None:
    """Check, before execution, that the session can record `group`.

    Raises
    ------
    BadToken
        The session already spans the maximum number of groups.
    """
    if group not in session.seen and len(session.seen) >= MAX_GROUPS:
        raise BadToken(
            f'The session spans {MAX_GROUPS} groups, which is the maximum',
            'Start a new session for further groups',
        )


def advance(session: Session, group: str, seen: LogPosition) -> Session:
    """Return the session advanced to `seen`; positions never decrease."""
    if seen <= seen_position(session, group):
        return session
    return Session(session.caller, {**session.seen, group: tuple(seen)})


def decode_unverified_token(token: str) -> dict[str, tuple[int, int]]:
    """Return the positions in a token without checking its signature.

    For diagnostics only: an operator may pass the token of any caller.

    Raises
    ------
    BadToken
        The token is malformed.
    """
    if not token:
        return {}
    try:
        signed = base64.b64decode(token, altchars=b'-_', validate=True)
        return _decoder.decode(signed[SIGNATURE_BYTES:]).seen
    except (ValueError, msgspec.MsgspecError):
        raise BadToken('The session token is malformed', _REMEDY) from None
