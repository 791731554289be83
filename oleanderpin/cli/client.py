"""HTTP client for the admin API, with failover between instances.

A change keeps its request id when it is sent to another instance, so that it
is applied only once.
"""

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

_READ_TIMEOUT_S = 20.0
_CONNECT_TIMEOUT_S = 2.0
_REQUEST_ID_BYTES = 12
_HTTP_STATUS_OK = 200
# Larger than any table of the largest fleet; whatever listens at an address may
# send without end.
_MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class AdminClient:
    """Sends each request to the first instance that responds.

    Parameters
    ----------
    addresses : sequence of str
        Admin addresses as ``ip:port``.
    operator : str
        Name recorded in the history; the login name if empty.
    """

    def __init__(self, addresses: Sequence[str], *, operator: str = '') -> None:
        """Validate the addresses and create the connection pool."""
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
                connect=_CONNECT_TIMEOUT_S, read=_READ_TIMEOUT_S
            ),
        )

    def get(self, path: str) -> Any:
        """Return the decoded response to ``GET path``.

        Raises
        ------
        OleanderpinError
            The typed error of the instance, or `UnavailableError`.
        """
        return self._call('GET', path, b'')

    def post(self, path: str, document: dict[str, Any]) -> Any:
        """Return the decoded response to ``POST path``.

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
        """Submit a change; a retry on another instance keeps its request id.

        Parameters
        ----------
        command : str
            Command as ``object.verb``.
        arguments : dict
            Arguments of the command.
        expected_revision : int or None
            Revision of the object that the change is based on.
        wait : str
            ``accepted`` or ``in_force``.
        request_id : str
            Id of an earlier request to retry; a new id if empty.

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
            f'no instance served the request: {problems}',
            remedy='name other instances, or retry',
        ) from ExceptionGroup('instances failed', failures)

    def _call_one(
        self, address: str, method: str, path: str, body: bytes
    ) -> Any:
        response = self._http.request(
            method,
            f'http://{address}{path}',
            body=body or None,
            preload_content=False,
        )
        content = _read_bounded(response, address)
        try:
            document = json.loads(content)
        except ValueError:
            raise UnavailableError(
                f'{address} returned no JSON (HTTP status {response.status})',
                remedy='check that this is an admin address',
            ) from None
        if response.status != _HTTP_STATUS_OK and 'kind' in document:
            raise _to_typed_error(document)
        return document


def _read_bounded(response: urllib3.BaseHTTPResponse, address: str) -> bytes:
    content = response.read(_MAX_RESPONSE_BYTES + 1)
    if len(content) > _MAX_RESPONSE_BYTES:
        # The traceback of the error would keep it until the command ends.
        del content
        response.close()
        raise UnavailableError(
            f'{address} sent more than {_MAX_RESPONSE_BYTES} bytes',
            remedy='check that this is an admin address',
        )
    response.release_conn()
    return content


def _to_typed_error(document: dict[str, Any]) -> OleanderpinError:
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
