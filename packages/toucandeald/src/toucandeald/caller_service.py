"""The caller API: statements and transactions.

The service is independent of the transport: it takes a path, a session token
and a body, and returns a reply. Requests for a group or a transaction that
another proxy hosts are forwarded to that proxy.
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
_MAX_INTEGER = 9_223_372_036_854_775_807  # 64 bits, as in SQLite
_Integer = Annotated[int, msgspec.Meta(ge=-_MAX_INTEGER - 1, le=_MAX_INTEGER)]
_Parameter = str | bool | _Integer | float | None
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
    """A reply to a caller, with the HTTP status and the new session token."""

    status: int
    token: str
    body: bytes
    retry_after_s: float = 0.0


class StatementBody(msgspec.Struct, forbid_unknown_fields=True):
    """An SQL statement and its parameters."""

    sql: str
    parameters: list[_Parameter] = []


class RequestBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a request to ``/v1/statements`` or ``/v1/transactions``."""

    caller: str
    request_class: str = msgspec.field(name='class')
    statements: list[StatementBody] = []
    key: Annotated[str, msgspec.Meta(min_length=1)] | None = None
    deadline_ms: Annotated[float, msgspec.Meta(gt=0)] | None = None
    waited_ms: Annotated[float, msgspec.Meta(ge=0)] = 0


class OperationBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a request to an endpoint of an open transaction."""

    caller: str
    statements: list[StatementBody] = []
    deadline_ms: Annotated[float, msgspec.Meta(gt=0)] | None = None


def error_reply(error: ToucandealError) -> Reply:
    """Return the reply to an invalid request."""
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
    """Serves callers independently of the transport."""

    def __init__(
        self,
        runtime: Runtime,
        token_secrets: tuple[bytes, ...],
        max_body_bytes: int,
    ) -> None:
        """Initialize with the runtime, the token secrets and the size limit."""
        self.forward = None
        self._runtime = runtime
        self._secrets = token_secrets
        self._max_body_bytes = max_body_bytes
        self._transaction_numbers = itertools.count(1)

    def handle(
        self, path: str, token: str, body: bytes, *, is_forwarded: bool = False
    ) -> defer.Deferred:
        """Handle a request.

        Parameters
        ----------
        path, token : str
        body : bytes
        is_forwarded : bool
            A peer forwarded the request. It is not forwarded again, so that
            proxies with different views can't forward it in a loop.

        Returns
        -------
        Deferred of Reply
        """
        answer = defer.maybeDeferred(
            self._route, path, token, body, is_forwarded
        )
        return answer.addErrback(_error_to_reply)

    def _route(self, path: str, token: str, body: bytes, is_forwarded: bool):
        if len(body) > self._max_body_bytes:
            raise BodyTooLarge(
                f'The body has {len(body)} bytes',
                f'Send at most {self._max_body_bytes}, or split the request',
            )
        match path.strip('/').split('/'):
            case ['v1', 'statements']:
                return self._handle_statements(token, body, is_forwarded)
            case ['v1', 'transactions']:
                return self._handle_begin(token, body, is_forwarded)
            case ['v1', 'transactions', identity, endpoint] if (
                endpoint in _ENDPOINT_OPERATIONS
            ):
                owner = identity.partition('.')[0]
                if (
                    owner != self._runtime.tables.identity.name
                    and not is_forwarded
                ):
                    return self._forward_to(owner, path, token, body)
                return self._handle_operation(
                    identity, _ENDPOINT_OPERATIONS[endpoint], token, body
                )
        raise BadBody(f'There is no endpoint {path!r}', 'See docs/PROTOCOL.md')

    def _remote_host(self, group: str) -> str:
        """Return the proxy to forward requests of `group` to, or ``''``."""
        if is_host(self._runtime.tables, group):
            return ''
        return self._runtime.process(choose_host, group)

    def _forward_to(self, owner: str, path: str, token: str, body: bytes):
        peer = self._runtime.tables.peers.get(owner)
        if peer is None:
            raise UnknownTransaction(
                'The proxy that held the transaction is gone; the transaction '
                'was rolled back unless its commit had been sent',
                'Begin a new transaction with the same request key',
            )
        return self.forward(peer.peer_address, path, token, body)

    def _handle_statements(
        self, token: str, body: bytes, is_forwarded: bool
    ) -> defer.Deferred:
        decoded = _decode(body, RequestBody)
        request_class = self._find_class(decoded)
        if not decoded.statements:
            raise BadBody('There are no statements', 'Send at least one')
        host = self._remote_host(request_class.group)
        if host and not is_forwarded:
            return self._forward_to(host, '/v1/statements', token, body)
        return self._submit(
            token,
            request_class,
            caller=decoded.caller,
            key=decoded.key,
            waited_s=decoded.waited_ms / 1000,
            body=_to_statements(decoded.statements),
            deadline_s=_to_seconds(decoded.deadline_ms),
        )

    def _handle_begin(
        self, token: str, body: bytes, is_forwarded: bool
    ) -> defer.Deferred:
        decoded = _decode(body, RequestBody)
        request_class = self._find_class(decoded)
        if not request_class.is_write:
            raise BadBody(
                f'Class {request_class.name!r} is a read',
                'Begin transactions with a class that writes',
            )
        if decoded.statements:
            raise BadBody(
                'A begin request must not contain statements',
                'Send them to the statements endpoint of the transaction',
            )
        host = self._remote_host(request_class.group)
        if host and not is_forwarded:
            return self._forward_to(host, '/v1/transactions', token, body)
        owner = self._runtime.tables.identity.name
        identity = (
            f'{owner}.{next(self._transaction_numbers)}.{secrets.token_hex(4)}'
        )
        return self._submit(
            token,
            request_class,
            caller=decoded.caller,
            key=decoded.key,
            waited_s=decoded.waited_ms / 1000,
            body=(),
            deadline_s=_to_seconds(decoded.deadline_ms),
            operation=Operation.BEGIN,
            transaction=identity,
        )

    def _handle_operation(
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
            body=_to_statements(decoded.statements),
            deadline_s=_to_seconds(decoded.deadline_ms),
            operation=operation,
            transaction=identity,
        )

    def _find_class(self, decoded: RequestBody) -> RequestClass:
        request_class = engine.find_class(
            self._runtime.tables, decoded.caller, decoded.request_class
        )
        needs_key = request_class.is_write and not request_class.idempotent
        if needs_key and decoded.key is None:
            raise BadBody(
                f'Class {request_class.name!r} needs a request key',
                'Send a "key" that is unique to this request, and send the '
                'same key when you retry it',
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
        sessions.check_group_limit(session, request_class.group)
        outcome = self._runtime.submit(
            request_class=request_class,
            seen=sessions.seen_position(session, request_class.group),
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
        advanced_session = session
        if seen is not None:
            advanced_session = sessions.advance(session, group, seen)
        if advanced_session is not session or not token:
            token = sessions.encode_token(advanced_session, self._secrets[0])
        body = _OUTCOME_BODIES.get(outcome.tag, _retry_body)(outcome)
        if transaction and outcome.tag == 'served':
            body['transaction'] = None if outcome.replayed else transaction
        return Reply(
            HTTP_STATUS[outcome.tag],
            token,
            msgspec.json.encode(body),
            getattr(outcome, 'retry_after_s', 0.0),
        )


_ENDPOINT_OPERATIONS = {
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


def _error_to_reply(failure) -> Reply:
    failure.trap(BadRequestError)
    return error_reply(failure.value)


def _decode(body: bytes, body_type: type) -> Any:
    try:
        return msgspec.json.decode(body, type=body_type)
    except msgspec.MsgspecError as error:
        raise BadBody(
            f'The body is not accepted: {error}',
            'Send the JSON that docs/PROTOCOL.md describes',
        ) from None
    except UnicodeDecodeError:
        raise BadBody('The body is not UTF-8', 'Send UTF-8') from None


def _to_statements(bodies: list[StatementBody]) -> tuple[Statement, ...]:
    for body in bodies:
        check_statement(body.sql)
    return tuple(Statement(body.sql, tuple(body.parameters)) for body in bodies)


def _to_seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000
