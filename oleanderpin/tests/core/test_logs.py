"""Fields of log lines."""

from ...core.logs import age_ms


def test_age_of_what_was_never_there_has_no_number() -> None:
    """Guards against requests that fail because of their log line.

    A gateway that had just started logged the age of its control state before
    it had received any, and responded with 502.
    """
    assert age_ms(float('inf')) is None
    assert age_ms(1.25) == 1250
