"""Transactions of several statements, each on a connection of its own.

A transaction uses one target connection from begin to end. Until the commit
is sent, closing that connection rolls the transaction back, so no earlier
failure leaves effects. The request key is inserted right after the begin; a
repeated transaction finds it there and returns the recorded outcome.
"""

import math

from toucandeal.actions import DropTransaction, Execute
from toucandeal.answers import finish, requeue_or_refuse
from toucandeal.entities import Operation, Phase, Request, Transaction
from toucandeal.errors import UnknownTransaction
from toucandeal.outcomes import Failed, Refused, Served, Unknown
from toucandeal.pending_answers import hold_answer
from toucandeal.results import DatabaseFailed, Executed, Result, TargetRefused
from toucandeal.tables import Frame, Tables, record_decision

__all__ = [
    'drop_transaction',
    'expire_operation',
    'find_transaction',
    'operation_answered',
    'roll_back_idle',
    'roll_back_open',
    'start_operation',
]

RETRY_AFTER_S = 0.1
_ROLLED_BACK = 'the transaction was rolled back; begin it again'


def find_transaction(tables: Tables, identity: str, caller: str) -> Transaction:
    """Return an open transaction of `caller`.

    Raises
    ------
    UnknownTransaction
        The transaction has ended, belongs to another caller or is running a
        statement.
    """
    transaction = tables.transactions.get(identity)
    if transaction is None or transaction.caller != caller:
        raise UnknownTransaction(
            f'Transaction {identity!r} is not open',
            'Begin a new one with the same request key; what was committed '
            'under that key is not run again',
        )
    if transaction.busy:
        raise UnknownTransaction(
            f'Transaction {identity!r} is running a statement',
            'Send its statements one after another',
        )
    return transaction


def start_operation(frame: Frame, request: Request) -> None:
    """Send a statement, commit or rollback to its transaction's target."""
    tables = frame.tables
    transaction = tables.transactions[request.transaction]
    tables.transactions[transaction.identity] = transaction._replace(
        busy=True, used_at=frame.now
    )
    view = tables.views.get(transaction.target)
    if view is not None:
        tables.views[transaction.target] = view._replace(
            in_flight=view.in_flight + 1
        )
    tables.requests[request.identity] = request._replace(
        phase=Phase.SENT,
        target=transaction.target,
        term=transaction.term,
        sent_at=frame.now,
        attempts=1,
    )
    frame.actions.append(
        Execute(
            request.identity,
            transaction.target,
            request.operation,
            transaction.term,
            transaction.identity,
            request.deadline_at,
        )
    )
    record_decision(
        frame,
        'route',
        str(request.identity),
        transaction.target,
        'holds the transaction',
        transaction=transaction.identity,
        operation=request.operation.value,
    )


def operation_answered(
    frame: Frame, request: Request, target: str, result: Result
) -> None:
    """Process the result of an operation of a transaction."""
    if request.operation is Operation.BEGIN:
        _begin_answered(frame, request, target, result)
    elif isinstance(result, Executed):
        _operation_ran(frame, request, result)
    else:
        _operation_failed(frame, request, target, result)


def _begin_answered(
    frame: Frame, request: Request, target: str, result: Result
) -> None:
    tables = frame.tables
    if isinstance(result, Executed) and result.replayed:
        hold_answer(frame, request, result)
    elif isinstance(result, Executed):
        tables.transactions[request.transaction] = Transaction(
            request.transaction,
            request.caller,
            request.request_class,
            request.key,
            target,
            request.term,
            frame.now,
        )
        _adjust_pinned(tables, target, 1)
        finish(frame, request, Served(result.answer, target, request.seen))
    elif isinstance(result, DatabaseFailed):
        finish(
            frame,
            request,
            Failed('the transaction did not begin', result.error, target),
        )
    else:
        requeue_or_refuse(frame, request, result.reason)


def _operation_ran(frame: Frame, request: Request, result: Executed) -> None:
    tables = frame.tables
    if request.operation is Operation.STATEMENT:
        transaction = tables.transactions[request.transaction]
        tables.transactions[request.transaction] = transaction._replace(
            busy=False, used_at=frame.now
        )
        outcome = Served(result.answer, request.target, request.seen)
        finish(frame, request, outcome)
        return
    _remove_transaction(tables, request.transaction)
    if request.operation is Operation.COMMIT:
        hold_answer(frame, request, result)
    else:
        outcome = Served(result.answer, request.target, request.seen)
        finish(frame, request, outcome)


def _operation_failed(
    frame: Frame, request: Request, target: str, result: Result
) -> None:
    drop_transaction(frame, request.transaction, 'an operation failed')
    if isinstance(result, DatabaseFailed):
        outcome = Failed(_ROLLED_BACK, result.error, target)
    elif request.operation is Operation.COMMIT and not isinstance(
        result, TargetRefused
    ):
        outcome = Unknown(
            'the answer to the commit was lost; repeat the transaction with '
            'the same request key',
            RETRY_AFTER_S,
        )
    else:
        outcome = Refused(f'{result.reason}; {_ROLLED_BACK}', RETRY_AFTER_S)
    finish(frame, request, outcome)


def expire_operation(frame: Frame, request: Request) -> None:
    """Abandon an operation whose answer is overdue."""
    drop_transaction(frame, request.transaction, 'an operation is overdue')
    if request.operation is Operation.COMMIT:
        outcome = Unknown('the commit is overdue', RETRY_AFTER_S)
    else:
        outcome = Refused(f'overdue; {_ROLLED_BACK}', RETRY_AFTER_S)
    finish(frame, request, outcome)


def _adjust_pinned(tables: Tables, target: str, change: int) -> None:
    view = tables.views.get(target)
    if view is not None:
        pinned = max(view.pinned + change, 0)
        tables.views[target] = view._replace(pinned=pinned)
        tables.dirty.add(tables.targets[target].group)


def _remove_transaction(tables: Tables, identity: str) -> None:
    transaction = tables.transactions.pop(identity, None)
    if transaction is not None:
        _adjust_pinned(tables, transaction.target, -1)


def drop_transaction(frame: Frame, identity: str, reason: str) -> None:
    """End a transaction by closing its connection, which rolls it back."""
    _remove_transaction(frame.tables, identity)
    frame.actions.append(DropTransaction(identity))
    record_decision(frame, 'transaction', identity, 'rolled back', reason)


def roll_back_idle(frame: Frame) -> None:
    """Roll back transactions that have exceeded the idle timeout."""
    cutoff = frame.now - frame.tables.policies.idle_transaction_s
    _roll_back_unused_since(frame, cutoff, 'idle for too long')


def roll_back_open(frame: Frame) -> None:
    """Roll back the transactions that are not running a statement."""
    _roll_back_unused_since(frame, math.inf, 'the proxy is about to stop')


def _roll_back_unused_since(frame: Frame, cutoff: float, reason: str) -> None:
    unused = [
        transaction.identity
        for transaction in frame.tables.transactions.values()
        if not transaction.busy and transaction.used_at < cutoff
    ]
    for identity in unused:
        drop_transaction(frame, identity, reason)
