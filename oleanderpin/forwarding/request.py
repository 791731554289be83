"""Parses a caller's request and filters its headers for the target."""

import re
from collections.abc import Callable
from dataclasses import dataclass

from ..control.authority import hash_key
from ..core.http import Header, HttpRequest
from ..core.http_head import bad_request
from .keys import contains_key

DEADLINE_HEADER = 'X-Request-Deadline-Ms'
IDEMPOTENCY_HEADER = 'Idempotency-Key'
REQUEST_ID_HEADER = 'X-Request-Id'
_IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    )
)
_REPLACED_HEADERS = frozenset(
    (
        'authorization',
        'content-length',
        'host',
        'x-not-run',
        DEADLINE_HEADER.lower(),
        REQUEST_ID_HEADER.lower(),
    )
)
_BEARER = re.compile(r'^bearer +(\S+)$', re.IGNORECASE)
_NUMBER = re.compile(r'^\d{1,15}$')
_IDEMPOTENCY_KEY = re.compile(r'^[\x21-\x7e]{1,255}$')


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Parsed request with the headers to forward."""

    service_name: str
    method: str
    path_and_query: str
    route: str
    key_hash: str | None
    idempotency_key: str | None
    deadline_ms: float | None
    headers: tuple[Header, ...]

    @property
    def is_idempotent(self) -> bool:
        """Whether the request method is idempotent."""
        return self.method in _IDEMPOTENT_METHODS


def parse_caller_request(
    request: HttpRequest,
    *,
    is_key_hash: Callable[[str], bool],
) -> CallerRequest:
    """Parse a request and remove what a target must not see.

    Parameters
    ----------
    request : HttpRequest
        The request as received.
    is_key_hash : callable
        Returns whether a hash belongs to an issued key.

    Raises
    ------
    Refusal
        If a header is malformed or a key is outside ``Authorization``.
    """
    key = _bearer_key(request)
    request_target = request.path
    if request.query:
        request_target = f'{request_target}?{request.query}'
    headers = end_to_end_headers(request.headers)
    texts = {request_target, request.path, request.query}
    for header in headers:
        texts.update(header)
    if contains_key(
        texts,
        own_key=key,
        is_key_hash=is_key_hash,
    ):
        raise bad_request(
            'key_in_unexpected_place',
            'a key stands outside the Authorization header',
            remedy='send it in the Authorization header only',
        )
    segments = request.path.split('/', 2)
    first_segment = segments[1] if len(segments) > 1 else ''
    return CallerRequest(
        service_name=_service_name(request),
        method=request.method,
        path_and_query=request_target,
        route=f'{request.method} /{first_segment}',
        key_hash=hash_key(key) if key is not None else None,
        idempotency_key=_idempotency_key(request),
        deadline_ms=_deadline_ms(request),
        headers=headers,
    )


def end_to_end_headers(headers: list[Header]) -> tuple[Header, ...]:
    """Return the headers to forward, without hop-by-hop headers.

    Headers that the instance sets itself are removed as well.
    """
    named = {
        token.strip().lower()
        for name, header_value in headers
        if name.lower() == 'connection'
        for token in header_value.split(',')
    }
    dropped = HOP_BY_HOP | _REPLACED_HEADERS | named
    return tuple(
        (name, header_value)
        for name, header_value in headers
        if name.lower() not in dropped
    )


def _service_name(request: HttpRequest) -> str:
    host = request.header('Host') or ''
    return host.partition(':')[0].lower()


def _bearer_key(request: HttpRequest) -> str | None:
    authorization = request.header('Authorization')
    if authorization is None:
        return None
    match = _BEARER.match(authorization)
    if match is None:
        raise bad_request(
            'bad_authorization',
            'Authorization does not hold a bearer key',
            remedy='send Authorization: Bearer <key>',
        )
    return match.group(1)


def _idempotency_key(request: HttpRequest) -> str | None:
    text = request.header(IDEMPOTENCY_HEADER)
    if text is not None and not _IDEMPOTENCY_KEY.match(text):
        raise bad_request(
            'bad_header',
            f'{IDEMPOTENCY_HEADER}: {text[:40]!r}',
            remedy='send 1 to 255 visible ASCII characters',
        )
    return text


def _deadline_ms(request: HttpRequest) -> int | None:
    text = request.header(DEADLINE_HEADER)
    if text is None:
        return None
    if not _NUMBER.match(text):
        raise bad_request(
            'bad_header',
            f'{DEADLINE_HEADER}: {text[:40]!r} is not a number',
            remedy='send at most 15 digits',
        )
    return int(text)
