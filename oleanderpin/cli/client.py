"""HTTP client of the admin port, with one request id over all instances."""

import getpass
import json
import secrets
from collections.abc import Sequence
from typing import Any

import urllib3

from ..core.errors import (
    ConflictError,
    NotFoundError,
    OleanderpinError,
    UnavailableError,
    ValidationError,
)

_TIMEOUT_S = 20.0
_CONNECT_TIMEOUT_S = 2.0
_REQUEST_ID_BYTES = 12
_STATUS_OK = 200


class AdminClient:
    """Talks to the first of several instances that answers.

    Parameters
    ----------
    addresses : sequence of str
        Admin addresses as ``ip:port``.
    operator : str
        Name kept in the history; the login name when empty.
    """

    def __init__(self, addresses: Sequence[str], *, operator: str = '') -> None:
        """Check the addresses and prepare the connections."""
        if not addresses:
            raise ValidationError(
                'no instance is given',
                remedy='set --instances or OLEANDERPIN_INSTANCES',
            )
        self._addresses = list(addresses)
        self._operator = operator or getpass.getuser()
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=_CONNECT_TIMEOUT_S, read=_TIMEOUT_S
            ),
        )

    def get(self, path: str) -> Any:
        """Return the decoded answer to ``GET path``.

        Raises
        ------
        OleanderpinError
            The typed error of the instance, or `UnavailableError`.
        """
        return self._call('GET', path, b'')

    def post(self, path: str, document: dict[str, Any]) -> Any:
        """Return the decoded answer to ``POST path``.

        Raises
        ------
        OleanderpinError
            The typed error of the instance, or `UnavailableError`.
        """
        return self._call('POST', path, json.dumps(document).encode())

    def change(
        self,
        command: str,
        arguments: dict[str, Any],
        *,
        expected_revision: int | None,
        wait: str,
        request_id: str = '',
    ) -> Any:
        """Make a change; a resend to another instance keeps its id.

        Parameters
        ----------
        command : str
            Command as ``object.verb``.
        arguments : dict
            Arguments of the command.
        expected_revision : int or None
            Revision of the object that the change is made against.
        wait : str
            ``accepted`` or ``in_force``.
        request_id : str
            Id of an earlier request that is sent again.

        Raises
        ------
        OleanderpinError
            The typed error of the instance, or `UnavailableError`.
        """
        document = {
            'request_id': request_id or secrets.token_hex(_REQUEST_ID_BYTES),
            'command': command,
            'arguments': arguments,
            'expected_revision': expected_revision,
            'operator': self._operator,
            'wait': wait,
        }
        return self.post('/v1/changes', document)

    def _call(self, method: str, path: str, body: bytes) -> Any:
        failures: list[Exception] = []
        for address in self._addresses:
            try:
                return self._call_one(address, method, path, body)
            except (UnavailableError, urllib3.exceptions.HTTPError) as error:
                failures.append(error)
        problems = [str(failure) for failure in failures]
        raise UnavailableError(
            f'no instance could serve the request: {problems}',
            remedy='name other instances, or send it again',
        ) from ExceptionGroup('instances failed', failures)

    def _call_one(
        self, address: str, method: str, path: str, body: bytes
    ) -> Any:
        answer = self._http.request(
            method, f'http://{address}{path}', body=body or None
        )
        try:
            document = json.loads(answer.data)
        except ValueError:
            raise UnavailableError(
                f'{address} gave no JSON (status {answer.status})',
                remedy='check that this is an admin address',
            ) from None
        if answer.status != _STATUS_OK and 'kind' in document:
            raise _typed_error(document)
        return document


def _typed_error(document: dict[str, Any]) -> OleanderpinError:
    problem = str(document.get('problem', ''))
    remedy = str(document.get('remedy', ''))
    kind = document['kind']
    if kind == ConflictError.kind:
        return ConflictError(
            problem,
            winner_request_id=str(document.get('winner_request_id', '')),
            winner_operator=str(document.get('winner_operator', '')),
            revision=int(document.get('revision', 0)),
            remedy=remedy,
        )
    if kind == NotFoundError.kind:
        return NotFoundError(problem, remedy=remedy)
    if kind == ValidationError.kind:
        return ValidationError(problem, remedy=remedy)
    return UnavailableError(problem, remedy=remedy)
