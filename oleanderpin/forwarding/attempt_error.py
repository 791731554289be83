"""Error of an attempt that yielded no response."""

from ..core.errors import Refusal, RefusalDetails


class AttemptError(Exception):
    """An attempt that yielded no response.

    Parameters
    ----------
    reason : str
        Retry reason, used as metric label.
    problem : str
        Description of the failure.
    may_have_run : bool
        Whether any byte of the request may have reached the target.
    is_crash : bool
        Whether the target seems to have crashed.
    """

    def __init__(
        self,
        reason: str,
        problem: str,
        *,
        may_have_run: bool = True,
        is_crash: bool = False,
    ) -> None:
        """Store the properties on which a retry depends."""
        super().__init__(problem)
        self.reason = reason
        self.may_have_run = may_have_run
        self.is_crash = is_crash

    def refusal(self, *, not_run: bool) -> Refusal:
        """Return the refusal sent to the caller if there is no retry."""
        is_timeout = self.reason in {'first_byte_timeout', 'silent_connection'}
        reason = 'no_target_answered' if not self.may_have_run else self.reason
        status = 504 if is_timeout else 502
        return Refusal(
            reason,
            str(self),
            remedy='try again later'
            if not_run
            else 'the request may have run; check before repeating it',
            details=RefusalDetails(
                status=503 if not_run else status,
                not_run=not_run,
                retry_after_s=1.0,
            ),
        )
