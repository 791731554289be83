"""What is recorded of waits for rate tokens."""

import asyncio
from typing import Any

import pytest

from ...control.state import Account
from ...core.clock import monotonic_s
from ...core.errors import Refusal, UnavailableError
from ...gateway.rates import AccountRateLimiter
from ...gateway.traffic import TrafficMeter
from ...testing.rates import DIVIDED, SMALL, RatesInstance, sample
from ...wire.generated.parts.ttypes import Given

WAIT_S = 0.15
KINDS = {DIVIDED.name: 'divided', SMALL.name: 'small'}
REASONS = {'exhausted': 'over_rate', 'short': 'no_rate_share'}


def instance(outcome: str) -> RatesInstance:
    """Return an instance whose requests for a token have one outcome."""

    def reply(*_call: Any) -> list[Given]:
        if outcome == 'short':
            raise UnavailableError('no reply')
        is_ok = outcome == 'ok'
        return [
            Given(
                account=SMALL.name,
                count=int(is_ok),
                wait_ms=None if is_ok else 60_000,
                is_exhausted=None if is_ok else True,
            )
        ]

    made = RatesInstance(reply)
    made.share_result = outcome
    return made


def admit(made: RatesInstance, account: Account) -> str:
    """Return where the token of a request comes from."""
    limiter = AccountRateLimiter(made, TrafficMeter())
    deadline_s = monotonic_s() + WAIT_S
    return asyncio.run(limiter.admit(account, deadline_s=deadline_s))


def recorded(kind: str, result: str) -> tuple[float, float]:
    """Return the number of waits and their sum in seconds."""
    name = 'oleanderpin_token_wait_seconds'
    return (
        sample(f'{name}_count', kind=kind, result=result),
        sample(f'{name}_sum', kind=kind, result=result),
    )


@pytest.mark.parametrize('account', [DIVIDED, SMALL])
def test_wait_for_a_token_is_recorded(account: Account) -> None:
    """Guards against waits that are recorded under another kind."""
    kind = KINDS[account.name]
    count, _sum_s = recorded(kind, 'ok')
    assert admit(instance('ok'), account)
    assert recorded(kind, 'ok')[0] == count + 1


@pytest.mark.parametrize('account', [DIVIDED, SMALL])
@pytest.mark.parametrize('outcome', ['exhausted', 'short'])
def test_refused_wait_is_recorded(account: Account, outcome: str) -> None:
    """Guards against refused requests that no figure about waits shows.

    Only waits that ended with a token were recorded: an instance that refused
    most requests after long waits had a short mean wait.
    """
    kind, reason = KINDS[account.name], REASONS[outcome]
    count, sum_s = recorded(kind, reason)
    with pytest.raises(Refusal) as raised:
        admit(instance(outcome), account)
    assert raised.value.reason == reason
    new_count, new_sum_s = recorded(kind, reason)
    assert new_count == count + 1
    if outcome == 'short':
        assert new_sum_s - sum_s >= WAIT_S * 0.9


@pytest.mark.parametrize('account', [DIVIDED, SMALL])
@pytest.mark.parametrize('outcome', ['exhausted', 'short'])
def test_refusal_names_account_and_kind(account: Account, outcome: str) -> None:
    """Guards against refusals that cannot be grouped by account."""
    with pytest.raises(Refusal) as raised:
        admit(instance(outcome), account)
    assert raised.value.details.log_fields == {
        'account': account.name,
        'account_kind': KINDS[account.name],
    }


def test_account_without_a_limit_is_not_recorded() -> None:
    """Guards against waits of zero that hide those of limited accounts."""
    before = [recorded(kind, 'ok') for kind in KINDS.values()]
    assert not admit(instance('ok'), Account('free', rate_per_s=0.0, burst=0.0))
    assert [recorded(kind, 'ok') for kind in KINDS.values()] == before
