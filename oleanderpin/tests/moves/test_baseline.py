"""The version that a service is taken to have before its first move."""

from ...control.state import Service
from ...moves.baseline import version_to_adopt
from ...testing.routing import make_target


def adopted(version: str, present: list[str], *, abandoned_s: float) -> str:
    service = Service('desk', 'counter', version=version)
    targets = [
        make_target(f't{number}', failure_domain='north-a', version=each)
        for number, each in enumerate(present)
    ]
    return version_to_adopt(service, targets, abandoned_s=abandoned_s)


def test_first_version_is_the_most_common_one() -> None:
    """Guards against new targets that get work before a move."""
    assert adopted('', ['v1', 'v2', 'v1'], abandoned_s=0) == 'v1'


def test_version_in_use_stays() -> None:
    """Guards against a change of version without a move."""
    assert not adopted('v1', ['v1', 'v2', 'v2'], abandoned_s=60)


def test_version_without_targets_is_replaced_after_a_while() -> None:
    """Guards against a service that refuses all requests for good."""
    assert not adopted('v1', ['v2'], abandoned_s=1)
    assert adopted('v1', ['v2'], abandoned_s=10) == 'v2'
