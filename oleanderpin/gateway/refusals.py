"""Refusals and their HTTP responses."""

from ..core.errors import Refusal, RefusalDetails
from ..core.problem import problem_document
from .dialect import Dialect
from .messages import Response


def refusal_response(
    refusal: Refusal, request_id: bytes, dialect: Dialect
) -> Response:
    """Return the HTTP response for a refusal."""
    body = problem_document(refusal, request_id=request_id.decode('latin-1'))
    headers = [
        (b'Content-Type', b'application/problem+json'),
        (dialect.request_id, request_id),
    ]
    retry_after_s = refusal.details.retry_after_s
    if retry_after_s is not None:
        if dialect.has_retry_fractions:
            value = f'{max(retry_after_s, 0.01):.2f}'
        else:
            value = str(max(1, round(retry_after_s)))
        headers.append((b'Retry-After', value.encode()))
    return Response(refusal.details.status, b'', headers, body)


def not_run_refusal(
    reason: str, problem: str, *, retry_after_s: float
) -> Refusal:
    """Return a refusal of a request that no target has run."""
    return Refusal(
        reason,
        problem,
        remedy='send it again after the given time',
        details=RefusalDetails(retry_after_s=retry_after_s),
    )


def maybe_run_refusal(
    reason: str, problem: str, *, status: int = 502
) -> Refusal:
    """Return a refusal of a request that a target may have run."""
    return Refusal(
        reason,
        problem,
        remedy='check whether it ran before sending it again',
        details=RefusalDetails(status=status, not_run=False),
    )
