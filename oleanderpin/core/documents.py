"""JSON documents of clients."""

from typing import TypeVar

import pydantic

from .errors import ValidationError

# Even an empty item takes a hundred bytes in memory.
_MAX_ITEMS = 100000
# Each error holds a copy of the names of the objects around its item.
_MAX_ERROR_BYTES = 16 * 1024 * 1024
# A text of all errors takes some hundred bytes for each of them.
_MAX_ERRORS = 20

ModelT = TypeVar('ModelT', bound=pydantic.BaseModel)


def decode_document(document: bytes, model: type[ModelT]) -> ModelT:
    """Decode a document of bounded size in memory.

    Parameters
    ----------
    document : bytes
        JSON text.
    model : type of BaseModel
        What it has to be.

    Raises
    ------
    ValidationError
        If it has too many items, items with long names, or errors.
    pydantic.ValidationError
        If it does not fit the model.
    """
    item_count = sum(document.count(mark) for mark in (b',', b'[', b'{'))
    if item_count > _MAX_ITEMS:
        raise ValidationError(
            f'document of {item_count} items',
            remedy=f'send at most {_MAX_ITEMS}',
        )
    error_bytes = item_count * _longest_name_bytes(document)
    if error_bytes > _MAX_ERROR_BYTES:
        raise ValidationError(
            f'document of {item_count} items with long names',
            remedy='send shorter names, or fewer items at once',
        )
    try:
        return model.model_validate_json(document)
    except pydantic.ValidationError as error:
        error_count = error.error_count()
        if error_count <= _MAX_ERRORS:
            raise
    # Outside of the block above, so that it does not refer to all errors.
    raise ValidationError(
        f'{error_count} items do not fit',
        remedy=f'correct the document; up to {_MAX_ERRORS} errors are listed',
    )


def _longest_name_bytes(document: bytes) -> int:
    """Return the length of the longest name of a member of an object."""
    unescaped = document.replace(rb'\\', b'--').replace(rb'\"', b'--')
    parts = unescaped.split(b'"')
    return max(
        (
            len(text)
            for text, after in zip(parts[1::2], parts[2::2], strict=False)
            if after.lstrip().startswith(b':')
        ),
        default=0,
    )
