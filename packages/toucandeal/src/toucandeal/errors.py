"""Exception hierarchy of the library.

Every message names the problem and then the remedy.
"""

from typing import ClassVar

__all__ = [
    'BadBody',
    'BadCommand',
    'BadField',
    'BadRequestError',
    'BadSetting',
    'BadToken',
    'BodyTooLarge',
    'ChangeConflict',
    'ChangeRefused',
    'KeyReused',
    'PromotionAbandoned',
    'StoreUnavailable',
    'ToucandealError',
    'UnknownName',
    'UnknownTransaction',
]


class ToucandealError(Exception):
    """Base class of all errors of the project.

    Parameters
    ----------
    problem : str
        Description of the problem.
    remedy : str
        How to resolve the problem.
    """

    kind: ClassVar[str] = 'error'

    def __init__(self, problem: str, remedy: str) -> None:
        """Store the problem and the remedy, and join them into the message."""
        super().__init__(f'{problem}. {remedy}.')
        self.problem = problem
        self.remedy = remedy


class BadRequestError(ToucandealError):
    """A request that was rejected as invalid before anything ran."""

    kind = 'bad_request'


class BadBody(BadRequestError):
    """The body is not JSON of the documented shape."""

    kind = 'bad_body'


class BadField(BadRequestError):
    """A text that a line of a protocol can't carry as this field."""

    kind = 'bad_field'


class BodyTooLarge(BadRequestError):
    """The body exceeds the size limit."""

    kind = 'body_too_large'


class BadToken(BadRequestError):
    """The session token is malformed, forged or belongs to another caller."""

    kind = 'bad_token'


class UnknownName(BadRequestError):
    """A caller, class, group or target that is not declared."""

    kind = 'unknown_name'


class UnknownTransaction(BadRequestError):
    """The transaction has ended or was never open."""

    kind = 'unknown_transaction'


class KeyReused(BadRequestError):
    """The request key was already used for a different request."""

    kind = 'key_reused'


class BadCommand(BadRequestError):
    """An operator command that does not parse or does not apply."""

    kind = 'bad_command'


class BadSetting(ToucandealError):
    """A flag or environment variable with an invalid value."""

    kind = 'bad_setting'


class ChangeConflict(ToucandealError):
    """Another change of the same rows was accepted first."""

    kind = 'conflict'


class ChangeRefused(ToucandealError):
    """A change that cannot be applied now; nothing was changed."""

    kind = 'change_refused'


class StoreUnavailable(ToucandealError):
    """The platform's store does not answer.

    `uncertain` is set if the call may still take effect.
    """

    kind = 'store_unavailable'

    def __init__(
        self, problem: str, remedy: str, *, uncertain: bool = False
    ) -> None:
        """Store whether the call may still take effect."""
        super().__init__(problem, remedy)
        self.uncertain = uncertain


class PromotionAbandoned(ToucandealError):
    """A promotion that cannot continue; it is retried while still needed."""

    kind = 'promotion_abandoned'

    def __init__(self, problem: str) -> None:
        """Store the problem that stopped the promotion."""
        super().__init__(problem, 'It is tried again soon if still needed')
