"""Stored outcomes of requests with an Idempotency-Key."""

import base64
import json
from dataclasses import dataclass

from ..core.errors import Refusal, RefusalDetails
from ..core.http_head import Headers, ResponseHead
from ..core.http_stream import Body
from .response import Response

REPLAY_HEADER = 'X-Idempotent-Replay'
_KIND_UNKNOWN = 'unknown'
_KIND_NOT_KEPT = 'not_kept'
_KIND_ANSWER = 'answer'


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of the first request with a key, as stored JSON."""

    payload: bytes

    @classmethod
    def unknown(cls) -> 'Outcome':
        """Return the outcome of a request that may or may not have run."""
        return cls(json.dumps({'kind': _KIND_UNKNOWN}).encode())

    @classmethod
    def from_response(cls, response: Response) -> 'Outcome':
        """Return the outcome that stores a response."""
        if response.buffered_body is None:
            document = {'kind': _KIND_NOT_KEPT, 'status': response.status}
            return cls(json.dumps(document).encode())
        document = {
            'kind': _KIND_ANSWER,
            'status': response.status,
            'headers': response.headers(),
            'length': response.head.content_length,
            'body': base64.b64encode(response.buffered_body).decode(),
        }
        return cls(json.dumps(document).encode())

    def response(self) -> Response:
        """Return the stored response.

        Raises
        ------
        Refusal
            If the outcome is unknown or the response was too long to store.
        """
        document = json.loads(self.payload)
        if document['kind'] != _KIND_ANSWER:
            raise _missing_response(document)
        headers = Headers([(name, text) for name, text in document['headers']])
        headers.items.append((REPLAY_HEADER, 'true'))
        head = ResponseHead(document['status'], 1, headers, document['length'])
        response = Response(head, Body(), on_finish=_ignore_completion)
        response.buffered_body = base64.b64decode(document['body'])
        response.length = len(response.buffered_body)
        return response


def _ignore_completion(_is_complete: bool | None) -> None:
    """Do nothing: a replayed response holds no connection."""


def _missing_response(document: dict[str, str]) -> Refusal:
    if document['kind'] == _KIND_NOT_KEPT:
        return Refusal(
            'outcome_not_kept',
            f'the first request was answered with {document["status"]}, '
            'which is too long to be kept',
            remedy='do not repeat it; ask the service for the result',
            details=RefusalDetails(status=409, not_run=False),
        )
    return Refusal(
        'outcome_unknown',
        'it is not known whether the first request ran',
        remedy='ask the service for the result before sending a new key',
        details=RefusalDetails(status=409, not_run=False),
    )
