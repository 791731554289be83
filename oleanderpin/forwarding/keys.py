"""Detects keys in the parts of a request that a target would see."""

import base64
import binascii
import re
from collections.abc import Callable, Iterable
from functools import lru_cache
from urllib.parse import unquote_plus

from ..control.authority import hash_key

_SEPARATORS = re.compile(r'[\s;,&=?"\'/:|<>()\[\]{}]+')
_BASE64 = re.compile(r'[A-Za-z0-9+/_-]{8,}={0,2}')
# Callers percent-encode a value at most once and frameworks once more.
_DECODE_ROUNDS = 3
_CACHED_TEXTS = 2000
_MAX_CACHED_CHARS = 200


def contains_key(
    texts: Iterable[str],
    *,
    own_key: str | None,
    is_key_hash: Callable[[str], bool],
) -> bool:
    """Return whether one of the texts contains a key.

    Percent-encoded and base64-encoded keys are found as well.

    Parameters
    ----------
    texts : iterable of str
        Path, query, header names and header values sent to the target.
    own_key : str or None
        The key in ``Authorization``; it is also found inside words.
    is_key_hash : callable
        Returns whether a hash belongs to an issued key.
    """
    for text in texts:
        is_short = len(text) <= _MAX_CACHED_CHARS
        variants, hashes = (_cached_scan if is_short else _scan)(text)
        if own_key is not None and any(own_key in each for each in variants):
            return True
        if any(is_key_hash(each) for each in hashes):
            return True
    return False


def _scan(text: str) -> tuple[frozenset[str], frozenset[str]]:
    """Return a text's decoded variants and the hashes of their words."""
    variants = frozenset(_variants(text))
    words = {word for variant in variants for word in _words(variant)}
    return variants, frozenset(hash_key(word) for word in words)


# Most header values and paths recur in many requests.
_cached_scan = lru_cache(maxsize=_CACHED_TEXTS)(_scan)


def _words(text: str) -> set[str]:
    words = set(_SEPARATORS.split(text))
    words.add(text)
    words.discard('')
    return words


def _variants(text: str) -> set[str]:
    variants = {text}
    while len(variants) <= _DECODE_ROUNDS:
        text = unquote_plus(text)
        if text in variants:
            break
        variants.add(text)
    encoded = {
        match for variant in variants for match in _BASE64.findall(variant)
    }
    variants.update(filter(None, map(_decode_base64, encoded)))
    return variants


def _decode_base64(text: str) -> str:
    unpadded = text.rstrip('=').replace('-', '+').replace('_', '/')
    padded = unpadded + '=' * (-len(unpadded) % 4)
    try:
        return base64.b64decode(padded, validate=True).decode()
    except (binascii.Error, ValueError):
        return ''
