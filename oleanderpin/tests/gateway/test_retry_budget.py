"""Retries of all gateways together."""

from ...gateway.retry_budget import RetryBudget

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
