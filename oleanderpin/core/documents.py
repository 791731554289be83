"""JSON documents of clients."""

from typing import TypeVar

import pydantic

from .errors import ValidationError

# Even an empty item takes a hundred bytes in memory.
_MAX_ITEMS = 100000

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
        If it has too many items.
    pydantic.ValidationError
        If it does not fit the model.
    """
    item_count = sum(document.count(mark) for mark in (b',', b'[', b'{'))
    if item_count > _MAX_ITEMS:
        raise ValidationError(
            f'document of {item_count} items',
            remedy=f'send at most {_MAX_ITEMS}',
        )
    return model.model_validate_json(document)
