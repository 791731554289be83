"""Tests that the operator documentation matches the code."""

import json
import re
from dataclasses import MISSING, fields
from pathlib import Path

from ...control.commands import ProfilePut
from ...control.state import Drain, Profile
from ...core.settings import InstanceSettings
from ...operators.drains import drain_progress
from ...testing.routing import make_target

PROFILES_PAGE = Path(__file__).parents[3] / 'docs' / 'operators' / 'profiles.md'


def test_ready_profiles_are_accepted() -> None:
    """Guards against documented profiles that profile.put rejects."""
    text = PROFILES_PAGE.read_text(encoding='utf-8')
    documents = re.findall(r'^    (\{"name": .*?\})\n\n', text, re.S | re.M)
    names = [ProfilePut(**json.loads(each)).name for each in documents]
    assert names == ['counter', 'once', 'transfers', 'open-reads']


def test_page_lists_every_field_with_its_default() -> None:
    """Guards against a field that is added without its documentation."""
    rows = dict(
        re.findall(
            r'^\| `(\w+)` \|[^|]*\|[^|]*\| (\S+)',
            PROFILES_PAGE.read_text(encoding='utf-8'),
            re.M,
        )
    )
    assert list(rows) == [field.name for field in fields(Profile)]
    for field in fields(Profile):
        if field.default is not MISSING:
            shown = rows[field.name].strip('`').lower()
            assert shown == str(field.default).lower().removesuffix('.0')


def test_drain_progress_counts_what_is_drained() -> None:
    """Guards against stopping drained machines with requests in flight."""
    own = InstanceSettings(
        name='north-1', region='north', failure_domain='north-a'
    )
    in_flight = [
        (make_target('t1', failure_domain='north-b'), 2),
        (make_target('t2', failure_domain='south-a'), 3),
    ]

    def count(name: str, kind: str) -> int | None:
        drain = Drain(name, kind)
        progress = drain_progress(drain, own=own, in_flight=in_flight)
        assert progress.is_drained == (
            None if progress.in_flight is None else progress.in_flight == 0
        )
        return progress.in_flight

    assert count('t1', 'target') == 2
    assert count('t9', 'target') == 0
    assert count('south-a', 'failure_domain') == 3
    assert count('north-a', 'failure_domain') == 5
    assert count('north-1', 'instance') == 5
    assert count('south-1', 'instance') is None
