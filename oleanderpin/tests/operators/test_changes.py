"""Tests of `POST /v1/changes` and its `wait` option."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import urllib3

from ... import daemon  # noqa: F401  registers all plug-ins
from ...core.kernel import Kernel
from ...testing.fleet import build_fleet


@pytest.fixture
def leader(tmp_path: Path) -> Iterator[Kernel]:
    kernel = build_fleet(['north-a'], data_dir=str(tmp_path))[0]
    kernel.start()
    yield kernel
    kernel.stop()


def post(kernel: Kernel, **changes: Any) -> tuple[int, Any]:
    document = {
        'request_id': 'request-1',
        'command': 'profile.put',
        'arguments': {'name': 'counter'},
    }
    answer = urllib3.PoolManager(retries=False, timeout=20.0).request(
        'POST',
        f'http://{kernel.settings.listen.admin}/v1/changes',
        body=json.dumps(document | changes),
    )
    return answer.status, json.loads(answer.data)


def test_wait_takes_accepted_and_in_force_only(leader: Kernel) -> None:
    """Guards against a misspelt `wait` that is treated as `accepted`."""
    status, document = post(leader, wait='in-force')
    assert status == 400
    assert document['kind'] == 'invalid_input'
    assert "wait='in-force'" in document['problem']
    assert post(leader)[1]['state'] == 'accepted'
    status, document = post(leader, wait='in_force')
    assert (status, document['state']) == (200, 'in_force')
