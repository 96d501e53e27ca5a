"""Decoding of JSON that peers send or files contain."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec


def json_decoder(decoded_type: Any) -> Callable[[bytes], Any]:
    """Return a function that decodes JSON into ``decoded_type`` and raises ``msgspec.MsgspecError`` if it is invalid.

    msgspec raises ``RecursionError`` for JSON that is nested too deep, from which its callers could not recover.
    """
    decode_any_depth = msgspec.json.Decoder(decoded_type).decode

    def decode(data: bytes) -> Any:
        try:
            return decode_any_depth(data)
        except RecursionError:
            raise msgspec.DecodeError("expected JSON that is nested less deep") from None

    return decode


def whole_number(number: float) -> int:
    """Return a number without a fraction as an ``int``: in JSON, 7.0 and 7e0 are the same number as 7.

    Raises ``ValueError`` for a fraction. In a struct's ``__post_init__``, msgspec makes a ``ValidationError``.
    """
    if number % 1:
        raise ValueError("expected a whole number")
    return int(number)
