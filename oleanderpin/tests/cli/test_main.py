"""Tests of the command line against a fake admin server."""

import json
import socket
import threading
from collections.abc import Iterator
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest

from ...cli.main import main
from ...cli.output import render

# More than a command takes and the kernel buffers.
MAX_SENT_MB = 128
KEYS = [
    {'key_hash': 'ab' * 32, 'account': 'shop', 'revision': 4},
    {'key_hash': 'cd' * 32, 'account': 'shop', 'revision': 5},
]


class FakeAdminServer:
    """Admin server with canned responses that records submitted changes."""

    def __init__(self) -> None:
        self.changes: list[dict[str, Any]] = []
        self.answer: tuple[int, Any] = (200, {'kind': 'ok', 'revision': 9})
        fake_server = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:  # noqa: N802
                self.reply(200, KEYS if self.path == '/v1/keys' else [])

            def do_POST(self) -> None:  # noqa: N802
                length = int(self.headers['Content-Length'])
                fake_server.changes.append(json.loads(self.rfile.read(length)))
                self.reply(*fake_server.answer)

            def reply(self, status: int, document: Any) -> None:
                body = json.dumps(document).encode()
                self.send_response(status)
                self.send_header('Content-Length', str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_arguments: Any) -> None:
                """Suppress the access log."""

        self.server = ThreadingHTTPServer(('127.0.0.1', 0), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def run(self, *words: str) -> int:
        address = f'127.0.0.1:{self.server.server_port}'
        return main([f'--instances={address}', *words])


@pytest.fixture
def admin() -> Iterator[FakeAdminServer]:
    fake_server = FakeAdminServer()
    yield fake_server
    fake_server.server.shutdown()
    fake_server.server.server_close()


def test_key_is_revoked_by_the_start_of_its_hash(
    admin: FakeAdminServer,
) -> None:
    assert admin.run('key', 'revoke', 'abababab') == 0
    [change] = admin.changes
    assert change['arguments'] == {'key_hash': 'ab' * 32}
    assert change['expected_revision'] == 4


@pytest.mark.parametrize('prefix', ['', '""', '12e45678', 'ab', 'xyzxyzxy'])
def test_ambiguous_hash_revokes_nothing(
    admin: FakeAdminServer, prefix: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against revoking a key by an empty or misparsed prefix."""
    assert admin.run('key', 'revoke', prefix) != 0
    assert not admin.changes


def test_bare_json_flag_takes_no_value(
    admin: FakeAdminServer, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a flag that consumes the next word as its value."""
    assert admin.run('--json', 'key', 'list') == 0
    assert json.loads(capsys.readouterr().out) == KEYS


def test_conflict_names_the_winner_without_a_traceback(
    admin: FakeAdminServer, capsys: pytest.CaptureFixture[str]
) -> None:
    admin.answer = (
        409,
        {
            'kind': 'conflict',
            'problem': "'shop' is at revision 7",
            'remedy': 'read it again',
            'winner_operator': 'anna',
            'winner_request_id': 'request-7',
            'revision': '7',
        },
    )
    words = ('account', 'put', 'shop', '--rate_per_s=5', '--burst=5')
    assert admin.run(*words) == 1
    error = capsys.readouterr().err
    assert 'conflict' in error
    assert 'read it again' in error
    assert 'anna' in error
    assert 'Traceback' not in error


def test_unreachable_instance_has_its_own_exit_status(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(['--instances=127.0.0.1:1', 'status']) == 3


def test_times_are_readable_in_tables() -> None:
    """Guards against deadlines rounded to days by the number format."""
    rows = [{'service': 'desk', 'deadline_unix_s': 1796380000.0}]
    assert '2026-12-04T' in render(rows, as_json=False)


def test_configuration_comes_from_a_file(
    admin: FakeAdminServer, tmp_path: Path
) -> None:
    """Guards against altering the document before it is submitted."""
    document = {'number': 2, 'based_on': 1, 'objects': {}}
    path = tmp_path / 'configuration.json'
    path.write_text(json.dumps(document))
    assert admin.run('configuration', 'replace', str(path)) == 0
    assert admin.changes[0]['command'] == 'configuration.replace'
    assert admin.changes[0]['arguments'] == document


def test_unreadable_configuration_is_refused_here(
    admin: FakeAdminServer, tmp_path: Path
) -> None:
    """Guards against submitting a file that is not a configuration."""
    path = tmp_path / 'configuration.json'
    path.write_text('[')
    assert admin.run('configuration', 'replace', str(path)) == 1
    assert not admin.changes


def test_endless_response_ends_the_command() -> None:
    """Guards against a command that reads until its machine has no memory."""
    ended = threading.Event()

    def serve(listener: socket.socket) -> None:
        connection, _address = listener.accept()
        connection.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
        with connection, suppress(OSError):
            for _part in range(MAX_SENT_MB):
                connection.sendall(bytes(1024 * 1024))
            ended.set()

    with socket.create_server(('127.0.0.1', 0)) as listener:
        thread = threading.Thread(target=serve, args=(listener,))
        thread.start()
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        assert main([f'--instances={address}', 'key', 'list']) == 3
        thread.join()
    assert not ended.is_set()
