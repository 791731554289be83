"""Requests as targets get them, and answers as callers get them."""

import secrets
import time

from ..control.state import Account
from ..targets.announcement import Target
from .dialect import Dialect
from .messages import Response, CallerRequest, TargetAnswer, hop_by_hop

_ID_BYTES = 8


def request_id(request: CallerRequest, dialect: Dialect) -> bytes:
    """Return the caller's id of a request, or a new one."""
    known = request.header(dialect.request_id)
    if known:
        return known
    made = secrets.token_hex(_ID_BYTES).encode()
    request.headers.append((dialect.request_id, made))
    return made


def encode_request(
    request: CallerRequest,
    target: Target,
    account: Account | None,
    *,
    dialect: Dialect,
    deadline_s: float,
) -> bytes:
    """Return the bytes of a request for a target.

    Parameters
    ----------
    request : CallerRequest
        The caller's request.
    target : Target
        The target it is meant for.
    account : Account or None
        The caller's account.
    dialect : Dialect
        Names of the headers.
    deadline_s : float
        Monotonic time at which the target is to stop work.
    """
    skipped = hop_by_hop(request.headers) | dialect.own_headers()
    parts = [b'%s %s HTTP/1.1\r\n' % (request.method, request.target)]
    parts.extend(
        b'%s: %s\r\n' % header
        for header in request.headers
        if header[0] not in skipped
    )
    left_ms = max(1, int((deadline_s - time.monotonic()) * 1000))
    parts.append(b'%s: %d\r\n' % (dialect.deadline_ms, left_ms))
    parts.append(
        b'%s: %s\r\n' % (dialect.expected_target, target.target_id.encode())
    )
    if account is not None:
        parts.append(b'%s: %s\r\n' % (dialect.account, account.name.encode()))
    if request.body or request.method not in {b'GET', b'HEAD'}:
        parts.append(b'content-length: %d\r\n' % len(request.body))
    parts.append(b'\r\n')
    parts.append(request.body)
    return b''.join(parts)


def for_caller(answer: TargetAnswer) -> Response:
    """Return a target's answer without what concerns its connection."""
    skipped = hop_by_hop(answer.headers)
    return Response(
        answer.status,
        answer.reason,
        [header for header in answer.headers if header[0] not in skipped],
        answer.body,
    )
