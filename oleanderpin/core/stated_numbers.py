"""Numbers that other parties state in headers.

A number beyond the range that is used counts as the largest one in it, and is
never converted as a whole: `int` and `float` accept what later arithmetic does not.
"""

import re

_DECIMAL = re.compile(
    rb'^([0-9]{1,18}(\.[0-9]{0,18})?|\.[0-9]{1,18})([eE][+-]?[0-9]{1,3})?$'
)
_DIGITS = re.compile(rb'^[0-9]+$')
_MAX_DIGITS = 18


def stated_count(value: bytes, *, most: int) -> int | None:
    """Return a whole number.

    Parameters
    ----------
    value : bytes
        What was stated, in ASCII digits.
    most : int
        Returned for any larger number.

    Returns
    -------
    int or None
        The number; None if it cannot be read.
    """
    if not _DIGITS.match(value):
        return None
    digits = value.lstrip(b'0')
    if len(digits) > _MAX_DIGITS:
        return most
    return min(int(digits or b'0'), most)


def stated_decimal(value: bytes, *, most: float) -> float | None:
    """Return a number that is not negative.

    Parameters
    ----------
    value : bytes
        What was stated, in decimal or scientific notation.
    most : float
        Returned for any larger number.

    Returns
    -------
    float or None
        The number; None if it cannot be read.
    """
    if not _DECIMAL.match(value.strip()):
        return None
    return min(float(value), most)
