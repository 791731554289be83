"""Authorization of requests by key.

While the control state is not fresh, requests with a key are rejected, because
the key may have been revoked in the meantime.
"""

import hashlib
from typing import Any

from ..core.errors import Refusal, RefusalDetails
from ..core.plugin import Plugin, plugins
from .state import Account, Service
from .view import ControlView


# Most instances have caught up by then; a shorter time would fill the links of
# those that have not with bodies.
OUTDATED_RETRY_S = 1.0


def require_current(view: ControlView, what: str) -> None:
    """Raise unless it is certain that something is not configured.

    A caller takes a refusal with 401 or 404 for final, although the control
    state of another instance may allow the request.

    Parameters
    ----------
    view : ControlView
        Copy of the control state by which the request would be refused.
    what : str
        What is not configured, for the message.

    Raises
    ------
    Refusal
        If the control state may have been changed.
    """
    if not view.is_known_current():
        raise Refusal(
            'configuration_unconfirmed',
            f'{what} may have been added since this instance was updated',
            remedy='try another instance, or this one after the given time',
            details=RefusalDetails(
                retry_after_s=OUTDATED_RETRY_S, suggest_instances=True
            ),
        )


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key's text, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


@plugins.register('authority')
class Authority(Plugin):
    """Checks keys against the control state while it is fresh."""

    def __init__(self, kernel: Any) -> None:
        """Look up the view of the control state."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)

    def check(self, *, key_hash: str | None, service: Service) -> Account:
        """Return the client account of a key that may use ``service``.

        Parameters
        ----------
        key_hash : str or None
            Hash of the request's key; None if the request has no key.
        service : Service
            Requested service.

        Raises
        ------
        Refusal
            If the request has no key, the control state is not fresh, the key
            is unknown or revoked, or the account may not use the service.
        """
        if key_hash is None:
            raise Refusal(
                'missing_key',
                f'service {service.name!r} needs a key',
                remedy='send it as Authorization: Bearer',
                details=RefusalDetails(status=401),
            )
        if not self._view.is_fresh():
            raise Refusal(
                'no_fresh_authority',
                'this instance cannot confirm that the key is still valid',
                remedy='try another instance',
                details=RefusalDetails(
                    retry_after_s=1.0, suggest_instances=True
                ),
            )
        state = self._view.state
        key = state.keys.get(key_hash)
        account = state.accounts.get(key.account) if key else None
        if account is None:
            raise Refusal(
                'unknown_key',
                'the key is unknown or revoked',
                remedy='ask the operator for a valid key',
                details=RefusalDetails(status=401),
            )
        if service.accounts and account.name not in service.accounts:
            raise Refusal(
                'account_not_allowed',
                f'account {account.name!r} may not use {service.name!r}',
                remedy='ask the operator for access',
                details=RefusalDetails(status=403),
            )
        return account
