"""What is recorded of calls for tokens of small accounts."""

import asyncio
import time
from typing import Any

import pytest

from ...core.clock import monotonic_s
from ...core.errors import UnavailableError
from ...gateway.part_client import PartClient
from ...testing.rates import SMALL, RatesInstance, Reply, sample
from ...wire.generated.parts.ttypes import Given

RESULTS = ('ok', 'empty', 'silent', 'slow')
# Longer than any time after which another instance is asked.
SLOW_S = 0.5


def give_one(*_call: Any) -> list[Given]:
    return [Given(account=SMALL.name, count=1)]


def give_late(*_call: Any) -> list[Given]:
    time.sleep(SLOW_S)
    return give_one()


def give_none(*_call: Any) -> list[Given]:
    return [Given(account=SMALL.name, count=0, wait_ms=60_000)]


def fail(*_call: Any) -> list[Given]:
    raise UnavailableError('no reply')


def take(reply: Reply) -> None:
    """Ask for one token, for at most twice the time of a late reply."""

    async def run() -> None:
        client = PartClient(RatesInstance(reply))
        wait_s = 0.1 if reply is fail else SLOW_S * 2
        await client.take(SMALL.name, deadline_s=monotonic_s() + wait_s)
        # The call ends after its tokens are delivered.
        await asyncio.sleep(0)

    asyncio.run(run())


def counts() -> dict[str, float]:
    """Return the number of calls by result."""
    return {
        result: sample('oleanderpin_owner_calls_total', result=result)
        for result in RESULTS
    }


@pytest.mark.parametrize(
    ('reply', 'result'),
    [
        (give_one, 'ok'),
        (give_none, 'empty'),
        (fail, 'silent'),
        (give_late, 'slow'),
    ],
)
def test_call_is_counted_by_its_result(reply: Reply, result: str) -> None:
    """Guards against refusals that do not tell an empty part from silence.

    Both end with no_rate_share at the caller.
    """
    name = 'oleanderpin_owner_call_seconds'
    before = counts()
    before_s = sample(f'{name}_sum', result=result)
    before_count = sample(f'{name}_count', result=result)
    take(reply)
    changed = {
        each: count - before[each]
        for each, count in counts().items()
        if count != before[each]
    }
    assert set(changed) == {result}
    observed = sample(f'{name}_count', result=result) - before_count
    assert observed == changed[result]
    if reply is give_late:
        assert sample(f'{name}_sum', result=result) - before_s >= SLOW_S
