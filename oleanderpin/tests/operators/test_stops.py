"""Calls of operators while an instance stops."""

import json
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

from ...control.distribution import Distribution
from ...core.kernel import Kernel
from ...operators.admin import Admin
from ..control.group import Group, wait_until


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    made = Group(tmp_path)
    made.start('c0', 'c1', 'c2')
    yield made
    made.stop()


def change(kernel: Kernel) -> int:
    """Make a change and return the status of the response."""
    document = {
        'request_id': 'request-1',
        'command': 'account.put',
        'arguments': {'name': 'shop', 'rate_per_s': 10, 'burst': 10},
    }
    response = urllib3.request(
        'POST',
        f'http://{kernel.settings.listen.admin}/v1/changes',
        body=json.dumps(document),
        retries=False,
        timeout=10,
    )
    return response.status


def test_change_in_progress_is_answered_before_an_instance_stops(
    group: Group, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a change that waits for a log that has ended.

    After the stop of the leader had begun, operators got no response to their
    changes for five seconds.
    """
    kernel = group.kernels[group.leader()]
    distribution = kernel.plugin(Distribution)
    propose = distribution.propose
    begun = threading.Event()
    released = threading.Event()

    def propose_when_released(*arguments: object, **options: object) -> object:
        begun.set()
        released.wait(10)
        return propose(*arguments, **options)

    monkeypatch.setattr(distribution, 'propose', propose_when_released)
    statuses = []
    changing = threading.Thread(
        target=lambda: statuses.append(change(kernel)), daemon=True
    )
    changing.start()
    wait_until('the change', begun.is_set)
    admin = kernel.plugin(Admin)
    deadline_s = kernel.clock.now_s() + 6
    draining = threading.Thread(
        target=lambda: admin.drain(deadline_s=deadline_s)
    )
    draining.start()
    draining.join(0.2)
    assert draining.is_alive()
    released.set()
    changing.join(10)
    draining.join(10)
    assert statuses == [200]


def test_change_during_a_stop_is_refused(group: Group) -> None:
    """Guards against changes that keep a stopping leader for five seconds."""
    kernel = group.kernels[group.leader()]
    assert change(kernel) == 200
    kernel.draining.set()
    assert change(kernel) == 503
