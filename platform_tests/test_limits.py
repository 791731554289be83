"""Limits that the platform's targets name."""

from adapter.headers import DIALECT

from oleanderpin.gateway.dialect import dialects


def test_limit_of_a_target_is_read_from_the_platforms_header() -> None:
    """Guards against a limit that the gateway never sees."""
    assert dialects.get(DIALECT).limit_per_s == b'server-limit'
