"""Which version a service adopts before its first move."""

from ...control.state import Service
from ...moves.baseline import version_to_adopt
from ...testing.routing import make_target


def adopted(
    version: str, present: list[str], *, without_targets_s: float
) -> str:
    service = Service('desk', 'counter', version=version)
    targets = [
        make_target(
            f't{number}', failure_domain='north-a', version=target_version
        )
        for number, target_version in enumerate(present)
    ]
    return version_to_adopt(
        service, targets, without_targets_s=without_targets_s
    )


def test_first_version_is_the_most_common_one() -> None:
    """Guards against requests to targets of a new version before a move."""
    assert adopted('', ['v1', 'v2', 'v1'], without_targets_s=0) == 'v1'


def test_version_in_use_stays() -> None:
    """Guards against a change of version without a move."""
    assert not adopted('v1', ['v1', 'v2', 'v2'], without_targets_s=60)


def test_version_without_targets_is_replaced_after_a_delay() -> None:
    """Guards against a service that rejects all requests permanently."""
    assert not adopted('v1', ['v2'], without_targets_s=1)
    assert adopted('v1', ['v2'], without_targets_s=10) == 'v2'
