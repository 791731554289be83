"""Tests of the admin routes for members of the control group."""

import io
import json
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from ...core.http import HttpResponse, HttpRequest
from ...core.http_stream import Body
from ...operators.admin import Admin
from ...testing import free_ports
from ..control.group import Group


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    group_under_test = Group(tmp_path, size=2, initial=1)
    group_under_test.start()
    group_under_test.leader()
    yield group_under_test
    group_under_test.stop()


class StoredBody(Body):
    """A body that has arrived."""

    def __init__(self, content: bytes) -> None:
        super().__init__()
        self.read_some = io.BytesIO(content).read  # type: ignore


def send_request(
    group: Group, method: str, path: str, document: Any = None
) -> Any:
    body = json.dumps(document).encode()
    raw = SimpleNamespace(
        open_body=lambda: StoredBody(body), has_whole_body=lambda: True
    )
    request = HttpRequest(method, path, '', [], '127.0.0.1', raw)
    answer: HttpResponse = group.kernels['c0'].plugin(Admin).handle(request)
    return answer.status, json.loads(answer.body)


def test_members_are_added_and_removed(group: Group) -> None:
    """Guards against a repeated command that changes the members again."""
    status, shown = send_request(group, 'GET', '/v1/members')
    assert status == 200
    assert shown['this_instance']['role'] == 'leader'
    assert [each['name'] for each in shown['members']] == ['c0']
    group.start('c1')
    added = {'address': group.address('c1')}
    for _each in range(2):
        status, shown = send_request(group, 'POST', '/v1/members/add', added)
        assert status == 200
        assert [each['name'] for each in shown['members']] == ['c0', 'c1']
    group.wait_for_same_revision()
    for _each in range(2):
        # The promotion of the learner may still be in progress.
        status, shown = send_request(
            group, 'POST', '/v1/members/remove', {'member': 'c1'}
        )
        assert status == 200
        assert [each['name'] for each in shown['members']] == ['c0']


@pytest.mark.parametrize(
    ('address', 'expected'),
    [
        ('10.0.0.1', 'IPv4 address and port'),
        (f'127.0.0.1:{free_ports(1)[0]}', 'no control instance answers'),
    ],
)
def test_bad_address_is_refused(
    group: Group, address: str, expected: str
) -> None:
    """Guards against adding members that cannot join the control group."""
    status, problem = send_request(
        group, 'POST', '/v1/members/add', {'address': address}
    )
    assert status == 400
    assert expected in problem['problem']
    assert problem['remedy']
