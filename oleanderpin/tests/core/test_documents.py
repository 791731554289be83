"""Documents of clients whose errors cost more than their size."""

import pydantic
import pytest

from ...core.documents import decode_document
from ...core.errors import ValidationError


class Lists(pydantic.BaseModel):
    """Lists of texts by name."""

    by_name: dict[str, list[str]]


def document(name: bytes, items: int) -> bytes:
    """Return a document with a list of numbers where texts are due."""
    return b'{"by_name": {"%b": [1%b]}}' % (name, b',1' * (items - 1))


@pytest.mark.parametrize('letter', [b'k', rb'\"', rb'\\'])
def test_many_items_below_a_long_name_are_refused(letter: bytes) -> None:
    """Guards against a copy of the name in the error of each item."""
    with pytest.raises(ValidationError, match='long names'):
        decode_document(document(letter * 400_000, 500), Lists)


def test_text_of_many_errors_is_short() -> None:
    """Guards against a text that is a hundred times the document."""
    with pytest.raises(ValidationError, match='50000 items') as caught:
        decode_document(document(b'a', 50_000), Lists)
    assert caught.value.__context__ is None


def test_few_errors_are_listed() -> None:
    """Guards against a refusal that does not tell what to correct."""
    with pytest.raises(pydantic.ValidationError, match='by_name.a.0'):
        decode_document(document(b'a', 3), Lists)


def test_long_text_among_many_items_is_taken() -> None:
    """Guards against a limit on texts that are no names."""
    items = b','.join([b'"%b"' % (b'x' * 10_000), *[b'""'] * 50_000])
    decoded = decode_document(b'{"by_name": {"a": [%b]}}' % items, Lists)
    assert len(decoded.by_name['a']) == 50_001
