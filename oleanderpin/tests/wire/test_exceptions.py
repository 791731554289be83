"""Generated exceptions in the hands of Python's own machinery."""

import importlib
import pkgutil
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from thrift.Thrift import TException

from ...wire import generated


def generated_exceptions() -> list[type[TException]]:
    """Return the exceptions that the Thrift compiler generated."""
    found = set()
    for module in pkgutil.walk_packages(
        generated.__path__, f'{generated.__name__}.'
    ):
        if module.name.endswith('.ttypes'):
            for member in vars(importlib.import_module(module.name)).values():
                if (
                    isinstance(member, type)
                    and issubclass(member, TException)
                    and member.__module__.startswith(generated.__name__)
                ):
                    found.add(member)
    return sorted(found, key=lambda each: each.__name__)


@contextmanager
def passing_on() -> Iterator[None]:
    """Let an exception of the block pass."""
    yield


def test_exceptions_are_found() -> None:
    """Guards against a check of the other tests that checks nothing."""
    names = {each.__name__ for each in generated_exceptions()}
    assert names >= {'MemberProblem', 'NotLeader', 'Unavailable'}


@pytest.mark.parametrize('exception', generated_exceptions())
def test_exception_passes_a_context_manager(
    exception: type[TException],
) -> None:
    """Guards against a TypeError in place of the exception.

    ``contextlib`` restores ``__traceback__`` after it has thrown the exception
    into the generator.
    """
    raised = exception()
    with pytest.raises(exception) as caught, passing_on():
        raise raised
    assert caught.value is raised


@pytest.mark.parametrize('exception', generated_exceptions())
def test_python_can_set_its_own_attributes(
    exception: type[TException],
) -> None:
    """Guards against libraries that cannot chain or annotate the exception."""
    raised = exception()
    cause = ValueError('cause')
    raised.__traceback__ = None
    raised.__context__ = cause
    raised.__cause__ = cause
    raised.__suppress_context__ = False
    raised.add_note('note')
    del raised.__notes__
    assert raised.__cause__ is cause


@pytest.mark.parametrize('exception', generated_exceptions())
def test_fields_stay_immutable(exception: type[TException]) -> None:
    """Guards against fields that change although the hash depends on them."""
    raised = exception()
    names = exception.__slots__
    for name in names:
        with pytest.raises(TypeError, match='immutable'):
            setattr(raised, name, 'other')
        with pytest.raises(TypeError, match='immutable'):
            delattr(raised, name)
    assert names
    assert hash(raised) == hash(exception())
