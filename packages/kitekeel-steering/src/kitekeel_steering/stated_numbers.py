"""Reads whole numbers that callers and back ends state in headers."""

from __future__ import annotations

# Enough for 31 years in milliseconds. Longer ones would be errors further on: Python converts at
# most 4,300 digits, and divides no number of more than 308 digits.
_MOST_DIGITS = 12
LARGEST_NUMBER: int = 10**_MOST_DIGITS - 1


def whole_number(raw: bytes) -> int | None:
    """Return a number of plain digits, at most :data:`LARGEST_NUMBER`; ``None`` for other text.

    Example:
        >>> whole_number(b"0250"), whole_number(b"9" * 5_000) == LARGEST_NUMBER, whole_number(b"-1")
        (250, True, None)
    """
    if not raw.isdigit():
        return None
    digits = raw.lstrip(b"0")
    if len(digits) > _MOST_DIGITS:
        return LARGEST_NUMBER
    return int(digits or b"0")
