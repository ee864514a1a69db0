"""What callers may ask for: statements and transactions.

The service is independent of the transport: it takes a path, a session token
and a body, and returns a reply. Requests of a transaction that another proxy
holds are passed on to it.
"""

import itertools
import secrets
from http import HTTPStatus
from typing import Annotated, Any, NamedTuple

import msgspec
from twisted.internet import defer

from toucandeal import engine, sessions
from toucandeal.entities import Operation, RequestClass
from toucandeal.errors import (
    BadBody,
    BadRequestError,
    BodyTooLarge,
    ToucandealError,
    UnknownTransaction,
)
from toucandeal.membership import choose_host, is_host
from toucandeal.outcomes import Failed, Outcome, Refused, Served
from toucandeal.request_keys import MAX_KEY_CHARS, Statement, check_statement
from toucandeal.sessions import Session
from toucandeal.transactions import find_transaction
from toucandeald.runtime import Runtime

__all__ = ['CallerService', 'Reply', 'error_reply']

HTTP_STATUS = {'served': 200, 'refused': 503, 'unknown': 504, 'failed': 422}
_ERROR_STATUS = {
    'body_too_large': 413,
    'unknown_name': 404,
    'unknown_transaction': 404,
    'bad_token': 401,
    'store_unavailable': 503,
    'conflict': 409,
    'change_refused': 409,
}


class Reply(NamedTuple):
    """An answer to a caller."""

    status: int
    token: str
    body: bytes
    retry_after_s: float = 0.0


class StatementBody(msgspec.Struct, forbid_unknown_fields=True):
    """One statement of a request."""

    sql: str
    parameters: list[Any] = []


class RequestBody(msgspec.Struct, forbid_unknown_fields=True):
    """A body of ``/v1/statements`` and ``/v1/transactions``."""

    caller: str
    request_class: str = msgspec.field(name='class')
    statements: list[StatementBody] = []
    key: Annotated[str, msgspec.Meta(min_length=1)] | None = None
    deadline_ms: Annotated[float, msgspec.Meta(gt=0)] | None = None
    waited_ms: Annotated[float, msgspec.Meta(ge=0)] = 0


class OperationBody(msgspec.Struct, forbid_unknown_fields=True):
    """A body of a transaction's endpoints."""

    caller: str
    statements: list[StatementBody] = []
    deadline_ms: Annotated[float, msgspec.Meta(gt=0)] | None = None


def error_reply(error: ToucandealError) -> Reply:
    """Return the answer to a request that is in error."""
    body = {
        'error': {
            'kind': error.kind,
            'problem': error.problem,
            'remedy': error.remedy,
        }
    }
    status = _ERROR_STATUS.get(error.kind, HTTPStatus.BAD_REQUEST)
    return Reply(status, '', msgspec.json.encode(body))


class CallerService:
    """Serves callers, over whichever transport."""

    def __init__(
        self,
        runtime: Runtime,
        token_secrets: tuple[bytes, ...],
        max_body_bytes: int,
    ) -> None:
        """Take the runtime and the limits."""
        self.forward = None
        self._runtime = runtime
        self._secrets = token_secrets
        self._max_body_bytes = max_body_bytes
        self._numbers = itertools.count(1)

    def handle(
        self, path: str, token: str, body: bytes, *, passed_on: bool = False
    ) -> defer.Deferred:
        """Answer a request.

        Parameters
        ----------
        path, token : str
        body : bytes
        passed_on : bool
            A peer has passed the request on; it goes no further, so that
            proxies whose views differ can't send it round in circles.

        Returns
        -------
        Deferred of Reply
        """
        answer = defer.maybeDeferred(self._route, path, token, body, passed_on)
        return answer.addErrback(_to_reply)

    def _route(self, path: str, token: str, body: bytes, passed_on: bool):
        if len(body) > self._max_body_bytes:
            raise BodyTooLarge(
                f'The body has {len(body)} bytes',
                f'Send at most {self._max_body_bytes}, or split the request',
            )
        match path.strip('/').split('/'):
            case ['v1', 'statements']:
                return self._statements(token, body, passed_on)
            case ['v1', 'transactions']:
                return self._begin(token, body, passed_on)
            case ['v1', 'transactions', identity, word] if word in _WORDS:
                owner = identity.partition('.')[0]
                if (
                    owner != self._runtime.tables.identity.name
                    and not passed_on
                ):
                    return self._pass_on(owner, path, token, body)
                return self._operate(identity, _WORDS[word], token, body)
        raise BadBody(f'There is no endpoint {path!r}', 'See docs/PROTOCOL.md')

    def _other_host(self, group: str) -> str:
        """Return a proxy to pass requests of `group` on to, or nothing."""
        if is_host(self._runtime.tables, group):
            return ''
        return self._runtime.enter(choose_host, group)

    def _pass_on(self, owner: str, path: str, token: str, body: bytes):
        peer = self._runtime.tables.peers.get(owner)
        if peer is None:
            raise UnknownTransaction(
                'The proxy that held the transaction is gone, which rolled it '
                'back unless its commit had been sent',
                'Begin a new transaction with the same request key',
            )
        return self.forward(peer.peer_address, path, token, body)

    def _statements(
        self, token: str, body: bytes, passed_on: bool
    ) -> defer.Deferred:
        decoded = _decode(body, RequestBody)
        request_class = self._class_of(decoded)
        if not decoded.statements:
            raise BadBody('There are no statements', 'Send at least one')
        host = self._other_host(request_class.group)
        if host and not passed_on:
            return self._pass_on(host, '/v1/statements', token, body)
        return self._submit(
            token,
            request_class,
            caller=decoded.caller,
            key=decoded.key,
            waited_s=decoded.waited_ms / 1000,
            body=_statements_of(decoded.statements),
            deadline_s=_seconds(decoded.deadline_ms),
        )

    def _begin(
        self, token: str, body: bytes, passed_on: bool
    ) -> defer.Deferred:
        decoded = _decode(body, RequestBody)
        request_class = self._class_of(decoded)
        if not request_class.is_write:
            raise BadBody(
                f'Class {request_class.name!r} is a read',
                'Begin transactions under a class that writes',
            )
        if decoded.statements:
            raise BadBody(
                'A begin carries no statements',
                'Send them to the statements endpoint of the transaction',
            )
        host = self._other_host(request_class.group)
        if host and not passed_on:
            return self._pass_on(host, '/v1/transactions', token, body)
        owner = self._runtime.tables.identity.name
        identity = f'{owner}.{next(self._numbers)}.{secrets.token_hex(4)}'
        return self._submit(
            token,
            request_class,
            caller=decoded.caller,
            key=decoded.key,
            waited_s=decoded.waited_ms / 1000,
            body=(),
            deadline_s=_seconds(decoded.deadline_ms),
            operation=Operation.BEGIN,
            transaction=identity,
        )

    def _operate(
        self, identity: str, operation: Operation, token: str, body: bytes
    ) -> defer.Deferred:
        decoded = _decode(body, OperationBody)
        transaction = find_transaction(
            self._runtime.tables, identity, decoded.caller
        )
        is_statement = operation is Operation.STATEMENT
        if is_statement != bool(decoded.statements):
            raise BadBody(
                f'The {operation.value} has the wrong number of statements',
                'Send at least one to the statements endpoint, and none to '
                'the others',
            )
        return self._submit(
            token,
            transaction.request_class,
            caller=decoded.caller,
            key=transaction.key,
            body=_statements_of(decoded.statements),
            deadline_s=_seconds(decoded.deadline_ms),
            operation=operation,
            transaction=identity,
        )

    def _class_of(self, decoded: RequestBody) -> RequestClass:
        request_class = engine.find_class(
            self._runtime.tables, decoded.caller, decoded.request_class
        )
        needs_key = request_class.is_write and not request_class.idempotent
        if needs_key and decoded.key is None:
            raise BadBody(
                f'Class {request_class.name!r} needs a request key',
                'Send a "key" that is unique to this request, and the same '
                'one when you repeat it',
            )
        if decoded.key is not None and len(decoded.key) > MAX_KEY_CHARS:
            raise BadBody(
                'The request key is too long',
                f'Use at most {MAX_KEY_CHARS} characters',
            )
        return request_class

    def _submit(
        self, token: str, request_class: RequestClass, **fields: Any
    ) -> defer.Deferred:
        session = sessions.decode_token(token, fields['caller'], self._secrets)
        sessions.check_room(session, request_class.group)
        outcome = self._runtime.submit(
            request_class=request_class,
            seen=sessions.seen_of(session, request_class.group),
            **fields,
        )
        began = fields.get('operation') is Operation.BEGIN
        transaction = fields['transaction'] if began else None
        return outcome.addCallback(
            self._reply, token, session, request_class.group, transaction
        )

    def _reply(
        self,
        outcome: Outcome,
        token: str,
        session: Session,
        group: str,
        transaction: str | None,
    ) -> Reply:
        seen = getattr(outcome, 'seen', None)
        advanced = session
        if seen is not None:
            advanced = sessions.advance(session, group, seen)
        if advanced is not session or not token:
            token = sessions.encode_token(advanced, self._secrets[0])
        body = _OUTCOME_BODIES.get(outcome.tag, _retry_body)(outcome)
        if transaction and outcome.tag == 'served':
            body['transaction'] = None if outcome.replayed else transaction
        return Reply(
            HTTP_STATUS[outcome.tag],
            token,
            msgspec.json.encode(body),
            getattr(outcome, 'retry_after_s', 0.0),
        )


_WORDS = {
    'statements': Operation.STATEMENT,
    'commit': Operation.COMMIT,
    'rollback': Operation.ROLLBACK,
}


def _served_body(outcome: Served) -> dict[str, Any]:
    staleness_ms = None
    if outcome.staleness_s is not None:
        staleness_ms = round(outcome.staleness_s * 1000, 3)
    return {
        'outcome': outcome.tag,
        'results': outcome.answer or [],
        'target': outcome.target,
        'from_replica': outcome.from_replica,
        'staleness_ms': staleness_ms,
        'replayed': outcome.replayed,
    }


def _failed_body(outcome: Failed) -> dict[str, Any]:
    return {
        'outcome': outcome.tag,
        'reason': outcome.reason,
        'database_error': outcome.error,
        'target': outcome.target,
    }


def _retry_body(outcome: Refused) -> dict[str, Any]:
    return {
        'outcome': outcome.tag,
        'reason': outcome.reason,
        'retry_after_ms': round(outcome.retry_after_s * 1000),
    }


_OUTCOME_BODIES = {'served': _served_body, 'failed': _failed_body}


def _to_reply(failure) -> Reply:
    failure.trap(BadRequestError)
    return error_reply(failure.value)


def _decode(body: bytes, shape: type) -> Any:
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.MsgspecError as error:
        raise BadBody(
            f'The body is not accepted: {error}',
            'Send the JSON that docs/PROTOCOL.md describes',
        ) from None
    except UnicodeDecodeError:
        raise BadBody('The body is not UTF-8', 'Send UTF-8') from None


def _statements_of(bodies: list[StatementBody]) -> tuple[Statement, ...]:
    for body in bodies:
        check_statement(body.sql)
    return tuple(Statement(body.sql, tuple(body.parameters)) for body in bodies)


def _seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000
