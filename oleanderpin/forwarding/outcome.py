"""First outcomes of requests with an Idempotency-Key."""

import base64
import json
from dataclasses import dataclass

from ..core.errors import Refusal, RefusalDetails
from ..core.http_head import ResponseHead, Headers
from ..core.http_stream import Body
from .answer import Answer

REPLAY_HEADER = 'X-Idempotent-Replay'
_UNKNOWN = 'unknown'
_NOT_KEPT = 'not_kept'
_ANSWER = 'answer'


@dataclass(frozen=True, slots=True)
class Outcome:
    """What is known of the first request."""

    payload: bytes

    @classmethod
    def unknown(cls) -> 'Outcome':
        """Return the outcome of a request that may or may not have run."""
        return cls(json.dumps({'kind': _UNKNOWN}).encode())

    @classmethod
    def of(cls, answer: Answer) -> 'Outcome':
        """Return the outcome that an answer is."""
        if answer.whole is None:
            document = {'kind': _NOT_KEPT, 'status': answer.status}
            return cls(json.dumps(document).encode())
        document = {
            'kind': _ANSWER,
            'status': answer.status,
            'headers': answer.headers(),
            'length': answer.head.content_length,
            'body': base64.b64encode(answer.whole).decode(),
        }
        return cls(json.dumps(document).encode())

    def answer(self) -> Answer:
        """Return the first answer.

        Raises
        ------
        Refusal
            If it is not known or was too long to be kept.
        """
        document = json.loads(self.payload)
        if document['kind'] != _ANSWER:
            raise _no_answer(document)
        headers = Headers([(name, text) for name, text in document['headers']])
        headers.items.append((REPLAY_HEADER, 'true'))
        head = ResponseHead(document['status'], 1, headers, document['length'])
        answer = Answer(head, Body(), on_end=_ignore)
        answer.whole = base64.b64decode(document['body'])
        answer.length = len(answer.whole)
        return answer


def _ignore(_is_complete: bool | None) -> None:
    """Do nothing: a replayed answer holds no connection."""


def _no_answer(document: dict[str, str]) -> Refusal:
    if document['kind'] == _NOT_KEPT:
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
