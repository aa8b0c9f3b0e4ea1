"""Parses whole numbers in headers from callers and back ends."""

from __future__ import annotations

# Enough for 31 years in milliseconds. Longer numbers would raise errors later: Python parses at
# most 4,300 digits, and cannot divide integers of more than 308 digits.
_MAX_DIGITS = 12
MAX_NUMBER: int = 10**_MAX_DIGITS - 1


def whole_number(raw: bytes) -> int | None:
    """Parse decimal digits, capped at :data:`MAX_NUMBER`; return ``None`` for other text.

    Example:
        >>> whole_number(b"0250"), whole_number(b"9" * 5_000) == MAX_NUMBER, whole_number(b"-1")
        (250, True, None)
    """
    if not raw.isdigit():
        return None
    digits = raw.lstrip(b"0")
    if len(digits) > _MAX_DIGITS:
        return MAX_NUMBER
    return int(digits or b"0")
