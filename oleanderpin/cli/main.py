"""``oleanderpin``: entry point of the operators' command line."""

import os
import sys
from collections.abc import Sequence
from typing import Any

import fire

from ..core.errors import (
    ConflictError,
    OleanderpinError,
    UnavailableError,
    ValidationError,
)
from .client import AdminClient
from .configuration import Configurations
from .groups import (
    Accounts,
    Blocks,
    Drains,
    Keys,
    Members,
    Moves,
    Profiles,
    Services,
    Session,
)

_ENVIRONMENT = 'OLEANDERPIN_INSTANCES'
_WAITS = ('accepted', 'in_force')
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3


class Cli:
    """Operate an oleanderpin fleet.

    Exit status: 0 done, 1 refused, 2 wrong usage, 3 no instance answered.

    Parameters
    ----------
    instances : str
        Admin addresses, separated by commas; by default the environment
        variable OLEANDERPIN_INSTANCES.
    json : bool
        Print JSON instead of tables.
    wait : str
        ``accepted`` or ``in_force``: which state of a change to wait for.
    operator : str
        Name kept in the history; the login name by default.
    """

    def __init__(
        self,
        *,
        instances: Any = '',
        json: bool = False,
        wait: str = 'accepted',
        operator: str = '',
    ) -> None:
        """Open a session and build the command groups."""
        if wait not in _WAITS:
            raise ValidationError(
                f'wait={wait!r} is unknown', remedy=f'use one of {_WAITS}'
            )
        client = AdminClient(_addresses(instances), operator=operator)
        session = Session(client, as_json=json, wait=wait)
        self._session = session
        self.profile = Profiles(session)
        self.service = Services(session)
        self.account = Accounts(session)
        self.key = Keys(session)
        self.drain = Drains(session)
        self.move = Moves(session)
        self.members = Members(session)
        self.blocks = Blocks(session)
        self.configuration = Configurations(session)

    def status(self) -> str:
        """Show revision, freshness and live instances."""
        return self._session.show(self._session.client.get('/v1/status'))

    def history(self, *, last: int = 20) -> str:
        """Show the last accepted changes, oldest first."""
        records = self._session.client.get('/v1/history')
        return self._session.show(records[-last:])


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line.

    Returns
    -------
    int
        0 done, 1 refused, 2 wrong usage, 3 no instance answered.
    """
    command = list(sys.argv[1:] if arguments is None else arguments)
    # fire would take the word after a bare flag for its value.
    command = ['--json=True' if word == '--json' else word for word in command]
    try:
        fire.Fire(Cli, command=command, name='oleanderpin')
    except UnavailableError as error:
        return _fail(error, EXIT_UNAVAILABLE)
    except OleanderpinError as error:
        return _fail(error, EXIT_REFUSED)
    except fire.core.FireExit as usage:
        return int(usage.code)
    return 0


def _fail(error: OleanderpinError, status: int) -> int:
    sys.stderr.write(f'{error.kind}: {error}\n')
    if isinstance(error, ConflictError) and error.winner_operator:
        sys.stderr.write(
            f'winner: {error.winner_operator}, '
            f'request {error.winner_request_id}\n'
        )
    return status


def _addresses(instances: Any) -> list[str]:
    if isinstance(instances, list | tuple):
        return [str(address) for address in instances]
    text = str(instances) or os.environ.get(_ENVIRONMENT, '')
    return [part.strip() for part in text.split(',') if part.strip()]


if __name__ == '__main__':
    sys.exit(main())
