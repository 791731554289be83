"""Refusals as ``application/problem+json``."""

import json
from collections.abc import Sequence
from typing import Any

from ..core.errors import Refusal
from ..core.http import HttpAnswer
from ..core.metrics import REFUSALS


def refusal_answer(
    refusal: Refusal, *, request_id: str, instances: Sequence[Any] = ()
) -> HttpAnswer:
    """Return the answer that tells the caller why it was refused.

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
    headers = [('X-Request-Id', request_id)]
    if details.retry_after_s is not None:
        seconds = max(1, round(details.retry_after_s))
        headers.append(('Retry-After', str(seconds)))
    return HttpAnswer(
        details.status,
        json.dumps(document).encode(),
        content_type='application/problem+json',
        headers=headers,
    )
