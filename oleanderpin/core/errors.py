"""Typed errors; each message states the problem and its remedy."""

from collections.abc import Mapping
from dataclasses import dataclass, field


class OleanderpinError(Exception):
    """Base of all errors of this package.

    Parameters
    ----------
    problem : str
        What is wrong, including the invalid value.
    remedy : str
        How to resolve it.
    """

    kind = 'error'

    def __init__(self, problem: str, *, remedy: str = '') -> None:
        """Join the problem and its remedy into one message."""
        message = f'{problem}; {remedy}' if remedy else problem
        super().__init__(message)
        self.problem = problem
        self.remedy = remedy


class SettingsError(OleanderpinError):
    """A settings file that cannot be used."""

    kind = 'invalid_settings'


class ValidationError(OleanderpinError):
    """Input from a caller, target, operator or peer that is malformed."""

    kind = 'invalid_input'


class NotFoundError(OleanderpinError):
    """A named object that does not exist."""

    kind = 'not_found'


class ConflictError(OleanderpinError):
    """A change that conflicts with a concurrent change.

    Parameters
    ----------
    problem : str
        What is in conflict.
    winner_request_id : str
        Request id of the change that was applied.
    winner_operator : str
        Operator who made that change.
    revision : int
        Current revision of the object.
    remedy : str
        What the operator can do.
    """

    kind = 'conflict'

    def __init__(
        self,
        problem: str,
        *,
        winner_request_id: str,
        winner_operator: str,
        revision: int,
        remedy: str,
    ) -> None:
        """Store which change was applied instead."""
        super().__init__(problem, remedy=remedy)
        self.winner_request_id = winner_request_id
        self.winner_operator = winner_operator
        self.revision = revision


class UnavailableError(OleanderpinError):
    """A service of this system that is currently unreachable.

    Parameters
    ----------
    problem : str
        What cannot be reached.
    remedy : str
        What to do.
    maybe_applied : bool
        Whether a change may have been applied although no response came.
    """

    kind = 'unavailable'

    def __init__(
        self, problem: str, *, remedy: str = '', maybe_applied: bool = False
    ) -> None:
        """Store whether the change may have been applied."""
        super().__init__(problem, remedy=remedy)
        self.maybe_applied = maybe_applied


class StorageError(OleanderpinError):
    """Durable state that cannot be read or written."""

    kind = 'storage'


class StorageAccessError(StorageError):
    """The disk refuses an operation that may succeed later."""


@dataclass(frozen=True, slots=True)
class RefusalDetails:
    """Optional fields of a refusal.

    Parameters
    ----------
    status : int
        HTTP status code.
    not_run : bool
        True only when it is certain that no target ran the request.
    retry_after_s : float or None
        Seconds after which a retry may succeed.
    suggest_instances : bool
        Whether other instances may be able to serve the request.
    log_fields : mapping of str to str
        Further fields of the log line; not sent to the caller.
    """

    status: int = 503
    not_run: bool = True
    retry_after_s: float | None = None
    suggest_instances: bool = False
    log_fields: Mapping[str, str] = field(default_factory=dict)


DEFAULT_DETAILS = RefusalDetails()


class Refusal(OleanderpinError):
    """A refused request; refusals are counted by reason.

    Parameters
    ----------
    reason : str
        Stable identifier, used as metric label and in the problem body.
    problem : str
        What is wrong.
    remedy : str
        What the caller can do.
    details : RefusalDetails
        Status code and retry advice.
    """

    kind = 'refused'

    def __init__(
        self,
        reason: str,
        problem: str,
        *,
        remedy: str = '',
        details: RefusalDetails = DEFAULT_DETAILS,
    ) -> None:
        """Store the reason and the details."""
        super().__init__(problem, remedy=remedy)
        self.reason = reason
        self.details = details
