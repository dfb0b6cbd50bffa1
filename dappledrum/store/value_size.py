"""Size of a value as the store may count it.

The store may keep a value in a JSON form of its own. The longest usual one escapes all characters
outside of printable ASCII, and writes negative exponents with two digits.
"""

import re
from typing import Any

import msgspec

ESCAPE_BYTES = 6  # of a UTF-16 code unit
SHORT_EXPONENT = re.compile(rb"\de-\d(?!\d)")


def value_size(value: bytes) -> int:
    """Upper bound for the bytes of a JSON value in the store."""
    exponents = len(SHORT_EXPONENT.findall(value))
    if value.isascii() and b"\x7f" not in value:
        return len(value) + exponents
    text = value.decode()
    plain = sum(character < "\x7f" for character in text)
    code_units = len(text.encode("utf-16-le")) // 2
    return plain + (code_units - plain) * ESCAPE_BYTES + exponents


def encoded_size(item: Any) -> int:  # noqa: ANN401 - anything that msgspec encodes
    """Upper bound for the bytes of an item in the store, as a value or as a part of one."""
    return value_size(msgspec.json.encode(item))
