"""Fixtures: running entry instances for the forwarding tests."""

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from .harness import Instance


@pytest.fixture
def make_instance(tmp_path: Path) -> Iterator[Callable[..., Instance]]:
    started: list[Instance] = []

    def make(**options: Any) -> Instance:
        instance = Instance(tmp_path, **options)
        started.append(instance)
        return instance

    yield make
    for instance in started:
        instance.stop()


@pytest.fixture
def instance(make_instance: Callable[..., Instance]) -> Instance:
    return make_instance()
