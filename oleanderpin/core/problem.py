"""Refused requests as problem documents (``application/problem+json``)."""

import json
from collections.abc import Sequence
from typing import Any

from .errors import Refusal
from .metrics import REFUSALS


def problem_document(
    refusal: Refusal, *, request_id: str, instances: Sequence[Any] = ()
) -> bytes:
    """Count a refusal and return its problem document as JSON.

    Parameters
    ----------
    refusal : Refusal
        The reason and retry advice.
    request_id : str
        Identifies the request in the logs.
    instances : sequence of dict
        Other instances that may serve the request.
    """
    REFUSALS.labels(refusal.reason).inc()
    details = refusal.details
    document = {
        'type': f'urn:oleanderpin:refusal:{refusal.reason}',
        'title': refusal.reason.replace('_', ' '),
        'status': details.status,
        'detail': str(refusal),
        'reason': refusal.reason,
        'not_run': details.not_run,
        'retry_after_s': details.retry_after_s,
        'request_id': request_id,
    }
    if instances:
        document['instances'] = list(instances)
    return json.dumps(document).encode()


def retry_headers(refusal: Refusal, request_id: str) -> list[tuple[str, str]]:
    """Return the response headers that accompany a problem document."""
    headers = [('X-Request-Id', request_id)]
    retry_after_s = refusal.details.retry_after_s
    if retry_after_s is not None:
        headers.append(('Retry-After', str(max(1, round(retry_after_s)))))
    return headers
