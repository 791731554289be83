"""Rewrites requests for targets and responses for callers."""

import secrets

from ..control.state import Account
from ..core.clock import monotonic_s
from ..targets.announcement import Target
from .dialect import Dialect
from .messages import (
    CallerRequest,
    EncodedRequest,
    Response,
    TargetResponse,
    hop_by_hop,
)

_REQUEST_ID_BYTES = 8


def request_id(request: CallerRequest, dialect: Dialect) -> bytes:
    """Return the request id, generating one if the caller set none."""
    existing = request.header(dialect.request_id)
    if existing:
        return existing
    generated = secrets.token_hex(_REQUEST_ID_BYTES).encode()
    request.headers.append((dialect.request_id, generated))
    return generated


def encode_request(
    request: CallerRequest,
    target: Target,
    account: Account | None,
    *,
    dialect: Dialect,
    deadline_s: float,
) -> EncodedRequest:
    """Return a request as sent to a target.

    Parameters
    ----------
    request : CallerRequest
        The caller's request.
    target : Target
        The intended target.
    account : Account or None
        Client account of the caller.
    dialect : Dialect
        Header names.
    deadline_s : float
        Monotonic time at which the target should stop work.
    """
    removed = hop_by_hop(request.headers) | dialect.managed_headers()
    parts = [b'%s %s HTTP/1.1\r\n' % (request.method, request.target)]
    parts.extend(
        b'%s: %s\r\n' % header
        for header in request.headers
        if header[0] not in removed
    )
    remaining_ms = max(1, int((deadline_s - monotonic_s()) * 1000))
    parts.append(b'%s: %d\r\n' % (dialect.deadline_ms, remaining_ms))
    parts.append(
        b'%s: %s\r\n' % (dialect.expected_target, target.target_id.encode())
    )
    if account is not None:
        parts.append(b'%s: %s\r\n' % (dialect.account, account.name.encode()))
    if request.body or request.method not in {b'GET', b'HEAD'}:
        parts.append(b'content-length: %d\r\n' % len(request.body))
    parts.append(b'\r\n')
    return EncodedRequest(b''.join(parts), request.body)


def response_for_caller(response: TargetResponse) -> Response:
    """Return a target's response without its hop-by-hop headers."""
    removed = hop_by_hop(response.headers)
    return Response(
        response.status,
        response.reason,
        [header for header in response.headers if header[0] not in removed],
        response.body,
    )
