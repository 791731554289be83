"""Headers in which the platform's targets say that they leave or pause."""

from adapter.headers import DIALECT

from oleanderpin.gateway.dialect import dialects


def test_leaving_and_pause_are_read_from_the_platforms_headers() -> None:
    """Guards against a target that is not heard."""
    dialect = dialects.get(DIALECT)
    assert dialect.leaving == b'server-leaving'
    assert dialect.pause_s == b'retry-after'
