"""Strict parsing of the heads of HTTP/1.1 requests and answers."""

import re
from dataclasses import dataclass, field
from typing import Any

from .errors import Refusal, RefusalDetails

Header = tuple[str, str]

_TOKEN = re.compile(r"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$")
_BAD_VALUE = re.compile('[\x00-\x08\x0a-\x1f\x7f]')
_REQUEST_LINE = re.compile(
    r"^([!#$%&'*+\-.^_`|~0-9A-Z]{1,32}) ([\x21-\x7e]+) HTTP/(\d)\.(\d)$"
)
_STATUS_LINE = re.compile(r'^HTTP/1\.([01]) ([1-5]\d\d)(?: .*)?$')
_HOST = re.compile(r'^(\[[0-9A-Fa-f:.]+\]|[0-9A-Za-z._-]+)(:\d{1,5})?$')
# More digits than any real length has; int() of long texts is costly.
_LENGTH = re.compile(r'^\d{1,15}$')
_MAX_HEADERS = 200
_SINGLE = frozenset(
    (
        'authorization',
        'content-length',
        'expect',
        'host',
        'idempotency-key',
        'transfer-encoding',
        'x-request-deadline-ms',
    )
)


@dataclass(slots=True)
class Headers:
    """Headers in order, with the ones that may occur only once by name."""

    items: list[Header] = field(default_factory=list)
    by_name: dict[str, str] = field(default_factory=dict)

    def get(self, name: str) -> str | None:
        """Return the first value of the header with this lower-case name."""
        return self.by_name.get(name)

    def tokens(self, name: str) -> list[str]:
        """Return the lower-case tokens of all headers called ``name``."""
        return [
            token.strip().lower()
            for header_name, header_value in self.items
            if header_name.lower() == name
            for token in header_value.split(',')
            if token.strip()
        ]


@dataclass(slots=True)
class RequestHead:
    """A request line and headers that passed all checks."""

    method: str
    target: str
    minor_version: int
    headers: Headers
    content_length: int = 0
    is_chunked: bool = False


@dataclass(slots=True)
class ResponseHead:
    """A status line and headers of a target."""

    status: int
    minor_version: int
    headers: Headers
    content_length: int | None = None
    is_chunked: bool = False


def bad_request(
    reason: str, problem: str, *, remedy: str, status: int = 400
) -> Refusal:
    """Return the refusal of a malformed request, which never ran."""
    details = RefusalDetails(status=status)
    return Refusal(reason, problem, remedy=remedy, details=details)


def parse_request_head(head: bytes) -> RequestHead:
    """Parse and check a request's head.

    Raises
    ------
    Refusal
        If the head is malformed, ambiguous or not supported.
    """
    lines = _lines(head)
    method, target, minor_version = _parse_request_line(lines[0])
    headers = _parse_headers(lines[1:], single=_SINGLE)
    parsed = RequestHead(method, target, minor_version, headers)
    _check_host(parsed)
    expectation = headers.get('expect')
    if expectation is not None and expectation.lower() != '100-continue':
        raise bad_request(
            'unsupported_expectation',
            f'Expect: {expectation[:40]!r}',
            remedy='send 100-continue or none',
            status=417,
        )
    _set_request_framing(parsed)
    return parsed


def _check_host(parsed: RequestHead) -> None:
    host = parsed.headers.get('host')
    if host is None and parsed.minor_version:
        raise bad_request('bad_host', 'no Host', remedy='send a Host header')
    if host is not None and not _HOST.match(host):
        raise bad_request(
            'bad_host', f'Host: {host[:60]!r}', remedy='send name or name:port'
        )


def parse_response_head(head: bytes) -> ResponseHead:
    """Parse and check the head of a target's answer.

    Raises
    ------
    Refusal
        If the head is malformed or its framing ambiguous.
    """
    lines = _lines(head)
    match = _STATUS_LINE.match(lines[0])
    if match is None:
        raise _malformed(f'status line {lines[0][:60]!r}')
    headers = _parse_headers(lines[1:], single=frozenset())
    parsed = ResponseHead(int(match.group(2)), int(match.group(1)), headers)
    _set_answer_framing(parsed)
    return parsed


def _set_answer_framing(parsed: ResponseHead) -> None:
    codings = parsed.headers.tokens('transfer-encoding')
    lengths = set(parsed.headers.tokens('content-length'))
    if codings and (codings != ['chunked'] or lengths):
        raise _malformed('ambiguous framing of the answer')
    parsed.is_chunked = bool(codings)
    if not lengths:
        return
    text = lengths.pop()
    if lengths or not _LENGTH.match(text):
        raise _malformed('ambiguous Content-Length of the answer')
    parsed.content_length = int(text)


def _lines(head: bytes) -> list[str]:
    text = head.decode('latin-1').removeprefix('\r\n')
    lines = text.split('\r\n')
    if any('\n' in line or '\r' in line for line in lines):
        raise bad_request(
            'malformed_header',
            'a line ends without CRLF',
            remedy='end each line with CRLF',
        )
    # The head ends with an empty line, which split() returns twice.
    return lines[:-2]


def _parse_request_line(line: str) -> tuple[str, str, int]:
    match = _REQUEST_LINE.match(line)
    if match is None:
        raise bad_request(
            'malformed_request_line',
            f'request line {line[:60]!r}',
            remedy='send METHOD /path HTTP/1.1 in visible ASCII characters',
        )
    method, target, major, minor = match.groups()
    if major != '1' or minor not in '01':
        raise bad_request(
            'unsupported_version',
            f'HTTP/{major}.{minor}',
            remedy='send HTTP/1.1',
            status=505,
        )
    if method == 'CONNECT':
        raise bad_request(
            'connect_not_allowed',
            'CONNECT is not supported',
            remedy='send the request itself',
            status=405,
        )
    if target == '*' and method == 'OPTIONS':
        return method, target, int(minor)
    if not target.startswith('/') or '#' in target or target.startswith('//'):
        raise bad_request(
            'bad_request_target',
            f'request target {target[:60]!r}',
            remedy='send a path that starts with one slash',
        )
    return method, target, int(minor)


def _parse_headers(lines: list[str], *, single: Any) -> Headers:
    if len(lines) > _MAX_HEADERS:
        raise bad_request(
            'headers_too_large',
            f'{len(lines)} headers',
            remedy=f'send at most {_MAX_HEADERS}',
            status=431,
        )
    headers = Headers()
    for line in lines:
        name, header_value = _parse_header(line)
        lowered = name.lower()
        if lowered in headers.by_name:
            if lowered in single:
                raise bad_request(
                    'repeated_header',
                    f'{name!r} occurs more than once',
                    remedy='send it once',
                )
        else:
            headers.by_name[lowered] = header_value
        headers.items.append((name, header_value))
    return headers


def _parse_header(line: str) -> Header:
    if line[:1] in {' ', '\t'}:
        raise _malformed('a header is folded over several lines')
    name, separator, header_value = line.partition(':')
    if not separator or not _TOKEN.match(name):
        raise _malformed(f'header line {line[:40]!r}')
    header_value = header_value.strip(' \t')
    if _BAD_VALUE.search(header_value):
        raise _malformed(f'control character in header {name!r}')
    return name, header_value


def _malformed(problem: str) -> Refusal:
    return bad_request(
        'malformed_header', problem, remedy='send Name: value in one line'
    )


def _set_request_framing(parsed: RequestHead) -> None:
    length = parsed.headers.get('content-length')
    coding = parsed.headers.get('transfer-encoding')
    if length is not None and (coding is not None or not _LENGTH.match(length)):
        raise bad_request(
            'ambiguous_length',
            f'Content-Length {length[:40]!r}, Transfer-Encoding {coding!r}',
            remedy='send one Content-Length in digits, or chunked, not both',
        )
    if length is not None:
        parsed.content_length = int(length)
    if coding is None:
        return
    if coding.lower() != 'chunked' or not parsed.minor_version:
        raise bad_request(
            'unsupported_transfer_encoding',
            f'Transfer-Encoding {coding[:40]!r}',
            remedy='send chunked over HTTP/1.1',
            status=501,
        )
    parsed.is_chunked = True
