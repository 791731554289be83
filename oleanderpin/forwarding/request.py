"""A caller's request, taken apart and cleaned for the target."""

import re
from dataclasses import dataclass
from urllib.parse import unquote

from ..control.authority import hash_key
from ..core.errors import Refusal, RefusalDetails
from ..core.http import Header, HttpRequest

DEADLINE_HEADER = 'X-Request-Deadline-Ms'
IDEMPOTENCY_HEADER = 'Idempotency-Key'
_IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
_HOP_BY_HOP = frozenset(
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
_REPLACED = frozenset(('host', 'content-length', DEADLINE_HEADER.lower()))
_BEARER = re.compile(r'^bearer +(\S+)$', re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """What forwarding needs to know of a caller's request."""

    service_name: str
    method: str
    path_and_query: str
    route: str
    key_hash: str | None
    idempotency_key: str | None
    deadline_ms: float | None
    content_length: int | None
    has_body: bool
    headers: tuple[Header, ...]

    @property
    def is_idempotent(self) -> bool:
        """Whether running the request twice equals running it once."""
        return self.method in _IDEMPOTENT_METHODS


def parse_caller_request(request: HttpRequest) -> CallerRequest:
    """Take a request apart and drop what a target must not see.

    Raises
    ------
    Refusal
        If a header is malformed or the key stands in a wrong place.
    """
    key = _bearer_key(request)
    length = _number(request, 'Content-Length')
    has_body = bool(length) or request.header('Transfer-Encoding') is not None
    target = request.path
    if request.query:
        target = f'{target}?{request.query}'
    headers = _clean_headers(request.headers)
    if key is not None:
        _refuse_key_elsewhere(key, target, headers)
    segments = request.path.split('/', 2)
    first_segment = segments[1] if len(segments) > 1 else ''
    return CallerRequest(
        service_name=_service_name(request),
        method=request.method,
        path_and_query=target,
        route=f'{request.method} /{first_segment}',
        key_hash=hash_key(key) if key is not None else None,
        idempotency_key=request.header(IDEMPOTENCY_HEADER),
        deadline_ms=_number(request, DEADLINE_HEADER),
        content_length=length,
        has_body=has_body,
        headers=headers,
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
        raise _bad_request(
            'bad_authorization',
            'Authorization does not hold a bearer key',
            'send Authorization: Bearer <key>',
        )
    return match.group(1)


def _number(request: HttpRequest, name: str) -> int | None:
    text = request.header(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise _bad_request(
            'bad_header', f'{name}: {text!r} is not a number', 'send digits'
        )
    return int(text)


def _clean_headers(headers: list[Header]) -> tuple[Header, ...]:
    named = {
        token.strip().lower()
        for name, header_value in headers
        if name.lower() == 'connection'
        for token in header_value.split(',')
    }
    dropped = _HOP_BY_HOP | _REPLACED | named | {'authorization'}
    return tuple(
        (name, header_value)
        for name, header_value in headers
        if name.lower() not in dropped
    )


def _refuse_key_elsewhere(
    key: str, target: str, headers: tuple[Header, ...]
) -> None:
    places = [header_value for _name, header_value in headers]
    places.extend((target, unquote(target)))
    if any(key in place for place in places):
        raise _bad_request(
            'key_in_unexpected_place',
            'the key stands outside the Authorization header',
            'send it in the Authorization header only',
        )


def _bad_request(reason: str, problem: str, remedy: str) -> Refusal:
    return Refusal(
        reason, problem, remedy=remedy, details=RefusalDetails(status=400)
    )
