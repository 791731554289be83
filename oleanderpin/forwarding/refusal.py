"""Refusals of callers' requests as answers."""

from collections.abc import Sequence
from typing import Any

from ..core.errors import Refusal
from ..core.http import HttpResponse
from ..core.problem import problem_document, retry_headers


def refusal_answer(
    refusal: Refusal, *, request_id: str, instances: Sequence[Any] = ()
) -> HttpResponse:
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
    document = problem_document(
        refusal, request_id=request_id, instances=instances
    )
    return HttpResponse(
        refusal.details.status,
        document,
        content_type='application/problem+json',
        headers=retry_headers(refusal, request_id),
    )
