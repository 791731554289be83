"""Retries of all gateways together."""

import pytest

from ...gateway import retry_budget
from ...gateway.retry_budget import RetryBudget, reserve_of

GATEWAYS = 66
PERCENT = 19.0
# Bounds of the users' platform, over all gateways.
MAX_RATIO = 0.2
SLACK = 60
REQUESTS_BEFORE = 1000
REQUESTS_IN_WINDOW = 10


def test_retries_stored_at_all_gateways_stay_within_the_slack() -> None:
    """Guards against a reserve of retries that grows with the fleet.

    Each gateway has had few requests for a long time; then all attempts of one
    window fail.
    """
    retries = 0
    for _gateway in range(GATEWAYS):
        budget = RetryBudget(PERCENT)
        for _request in range(REQUESTS_BEFORE):
            budget.note_request()
        for _request in range(REQUESTS_IN_WINDOW):
            budget.note_request()
            retries += budget.take()
    requests = GATEWAYS * REQUESTS_IN_WINDOW
    assert retries <= requests * MAX_RATIO + SLACK


@pytest.mark.parametrize('gateways', [1, 10, 66, 182, 530])
@pytest.mark.parametrize('slack', [20, 60, 404])
def test_stored_retries_do_not_grow_with_the_fleet(
    gateways: int, slack: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a slack that each gateway takes for itself.

    All gateways have been idle for a while after many requests, and then fail
    at the same time.
    """
    now_s = [0.0]
    monkeypatch.setattr(retry_budget, 'monotonic_s', lambda: now_s[0])
    budgets = [RetryBudget(PERCENT) for _gateway in range(gateways)]
    for rank, budget in enumerate(budgets):
        budget.set_reserve(reserve_of(slack, gateways, rank))
        for _request in range(5 * REQUESTS_BEFORE):
            budget.note_request()
    now_s[0] += 60
    retries = sum(budget.take() for budget in budgets for _each in range(slack))
    assert 0.5 * slack <= retries + gateways - 1
    assert retries <= slack


def test_gateway_without_a_reserve_retries_from_its_own_requests() -> None:
    """Guards against gateways of a large fleet that never retry."""
    budget = RetryBudget(PERCENT)
    budget.set_reserve(0.0)
    retries = 0
    for _request in range(100):
        budget.note_request()
        retries += budget.take()
    assert retries in {18, 19, 20}
