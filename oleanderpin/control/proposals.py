"""Changes that the leader proposes by itself."""

import secrets
import time
from typing import Any

from ..wire.generated.common.ttypes import NotLeader, Unavailable
from .change import Change
from .log import ControlLog

_PROPOSAL_TIMEOUT_S = 2.0
_ID_BYTES = 8


def propose_as_leader(
    log: ControlLog, command: str, arguments: dict[str, Any], *, operator: str
) -> str:
    """Propose a change to the own log.

    Parameters
    ----------
    log : ControlLog
        Log of this instance.
    command : str
        Name of the command.
    arguments : dict
        Arguments of the command.
    operator : str
        Component that is named in the history.

    Returns
    -------
    str
        Why the change was not accepted, or is not known to be; empty if it was.
    """
    change = Change(
        request_id=secrets.token_hex(_ID_BYTES),
        command=command,
        arguments=arguments,
        operator=operator,
        proposed_unix_s=time.time(),
    )
    try:
        outcome = log.propose(change.encode(), timeout_s=_PROPOSAL_TIMEOUT_S)
    except (NotLeader, Unavailable) as error:
        return str(error)
    return '' if outcome.kind == 'ok' else outcome.problem
