"""Executes operators' commands."""

import secrets
from http import HTTPStatus
from typing import Annotated, Any

import msgspec
from twisted.internet import defer

from toucandeal import sessions
from toucandeal.command_language import HELP, Explain, Help, Show, Switch, parse
from toucandeal.configuration_changes import plan_change
from toucandeal.errors import BadBody, ToucandealError, UnknownName
from toucandeal.failover import start_switchover
from toucandeal.operator_queries import explain_read, show
from toucandeald.caller_service import Reply, error_reply
from toucandeald.configuration_sync import ConfigurationSync
from toucandeald.logs import log_event
from toucandeald.runtime import Runtime

__all__ = ['OperatorService']

_CHANGE_ID = r'\A([A-Za-z0-9][A-Za-z0-9._-]{0,99})?\Z'


class CommandBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a request to ``/v1/commands``."""

    command: str
    change_id: Annotated[str, msgspec.Meta(pattern=_CHANGE_ID)] = ''


class OperatorService:
    """Serves operators independently of the transport."""

    def __init__(
        self,
        runtime: Runtime,
        configuration: ConfigurationSync,
        token_secrets: tuple[bytes, ...],
    ) -> None:
        """Initialize with the components created by the composition root."""
        self._runtime = runtime
        self._configuration = configuration
        self._secrets = token_secrets

    def handle(self, path: str, token: str, body: bytes) -> defer.Deferred:
        """Handle a request.

        Returns
        -------
        Deferred of Reply
        """
        del token
        answer = defer.maybeDeferred(self._handle_command, path, body)
        answer.addCallback(
            lambda result: Reply(HTTPStatus.OK, '', msgspec.json.encode(result))
        )
        return answer.addErrback(_error_to_reply)

    def _handle_command(self, path: str, body: bytes) -> Any:
        if path != '/v1/commands':
            raise BadBody(
                f'There is no endpoint {path!r}', 'Post to /v1/commands'
            )
        try:
            decoded = msgspec.json.decode(body, type=CommandBody)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise BadBody(
                f'The body is not accepted: {error}',
                'Send {"command": "..."}, or use the toucandeal command',
            ) from None
        return self._execute(decoded)

    def _execute(self, decoded: CommandBody) -> Any:
        command = parse(decoded.command)
        if isinstance(command, Help):
            return {'help': _help(command.command)}
        if isinstance(command, Show):
            return {'rows': self._runtime.process(show, command)}
        if isinstance(command, Explain):
            return {'rows': self._explain(command)}
        if isinstance(command, Switch):
            return self._switch(command)
        return self._change(decoded, command)

    def _explain(self, command: Explain) -> list[dict[str, Any]]:
        seen = sessions.decode_unverified_token(command.session)
        return self._runtime.process(explain_read, command, seen)

    def _switch(self, command: Switch) -> dict[str, str]:
        if command.group not in self._runtime.tables.groups:
            raise UnknownName(
                f'There is no group {command.group!r}',
                'Use one that `show groups` lists',
            )
        self._runtime.process(start_switchover, command.group, command.target)
        log_event('command', group=command.group, target=command.target)
        return {
            'accepted': 'switchover begun',
            'next': f'show groups where group = {command.group}',
        }

    @defer.inlineCallbacks
    def _change(self, decoded: CommandBody, command: Any):
        change = plan_change(self._configuration.current, command)
        change_id = decoded.change_id or secrets.token_hex(8)
        accepted = yield self._configuration.change(change, change_id)
        log_event(
            'command',
            command=decoded.command,
            change_id=change_id,
            version=accepted.version,
            in_force=accepted.in_force,
        )
        return {
            'accepted': change.key,
            'change_id': change_id,
            'version': accepted.version,
            'in_force': accepted.in_force,
            'proxies': accepted.proxies,
        }


def _help(command: str) -> str:
    if command in HELP:
        return HELP[command]
    return '\n'.join(HELP.values())


def _error_to_reply(failure) -> Reply:
    failure.trap(ToucandealError)
    return error_reply(failure.value)
