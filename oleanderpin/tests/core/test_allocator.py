"""Settings of the C library's allocator."""

import ctypes
from types import SimpleNamespace

import pytest

from ...core.allocator import return_freed_memory


def test_other_c_library_ends_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that ends at start without the GNU C library."""
    monkeypatch.setattr(ctypes, 'CDLL', lambda _name: SimpleNamespace())
    return_freed_memory()
