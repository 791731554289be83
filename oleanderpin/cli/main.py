"""Entry point of the ``oleanderpin`` command line."""

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

_INSTANCES_VARIABLE = 'OLEANDERPIN_INSTANCES'
_WAIT_STATES = ('accepted', 'in_force')
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3


class Cli:
    """Operate an oleanderpin fleet.

    Exit status: 0 done, 1 refused, 2 wrong usage, 3 no instance answered.

    Parameters
    ----------
    instances : str
        Comma-separated admin addresses; by default the value of the
        environment variable OLEANDERPIN_INSTANCES.
    json : bool
        Print JSON instead of tables.
    wait : str
        State of a change to wait for: ``accepted`` or ``in_force``.
    operator : str
        Name recorded in the history; the login name by default.
    """

    def __init__(
        self,
        *,
        instances: Any = '',
        json: bool = False,
        wait: str = 'accepted',
        operator: str = '',
    ) -> None:
        """Create the session and the command groups."""
        if wait not in _WAIT_STATES:
            raise ValidationError(
                f'wait={wait!r} is unknown', remedy=f'use one of {_WAIT_STATES}'
            )
        client = AdminClient(_parse_addresses(instances), operator=operator)
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
        """Show the control revision, its freshness and the live instances."""
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
    # fire would parse the word after a bare flag as the value of the flag.
    command = ['--json=True' if word == '--json' else word for word in command]
    try:
        fire.Fire(Cli, command=command, name='oleanderpin')
    except UnavailableError as error:
        return _print_error(error, EXIT_UNAVAILABLE)
    except OleanderpinError as error:
        return _print_error(error, EXIT_REFUSED)
    except fire.core.FireExit as usage:
        return int(usage.code)
    return 0


def _print_error(error: OleanderpinError, status: int) -> int:
    sys.stderr.write(f'{error.kind}: {error}\n')
    if isinstance(error, ConflictError) and error.winner_operator:
        sys.stderr.write(
            f'winner: {error.winner_operator}, '
            f'request {error.winner_request_id}\n'
        )
    return status


def _parse_addresses(instances: Any) -> list[str]:
    if isinstance(instances, list | tuple):
        return [str(address) for address in instances]
    text = str(instances) or os.environ.get(_INSTANCES_VARIABLE, '')
    return [part.strip() for part in text.split(',') if part.strip()]


if __name__ == '__main__':
    sys.exit(main())
