"""Versions of the entries that gateways share."""

from ...routing.change_versions import ChangeVersions


def test_gateway_is_told_what_changed_after_its_version() -> None:
    """Guards against changes that are never told, or told each time."""
    versions: ChangeVersions[str] = ChangeVersions()
    versions.note('a')
    told = versions.version
    assert versions.changed_since(told) == []
    versions.note('b')
    assert versions.changed_since(told) == ['b']
    versions.note('a')
    assert sorted(versions.changed_since(told)) == ['a', 'b']


def test_version_of_another_instance_is_told_everything() -> None:
    """Guards against entries that are missing after the aggregator changes."""
    versions: ChangeVersions[str] = ChangeVersions()
    versions.note('a')
    versions.note('b')
    for other in (0, versions.version + 1):
        assert versions.changed_since(other) == ['a', 'b']


def test_forgotten_entry_is_not_told() -> None:
    """Guards against entries of targets that are gone."""
    versions: ChangeVersions[str] = ChangeVersions()
    versions.note('a')
    versions.forget('a')
    assert versions.changed_since(0) == []
