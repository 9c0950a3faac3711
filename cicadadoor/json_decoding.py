"""Decode JSON that other processes wrote."""

from typing import Any

import msgspec


def decode_json(encoded: bytes, *, type: Any) -> Any:  # noqa: A002
    """Decode a value; raise msgspec.DecodeError also if it is nested too deeply."""
    try:
        return msgspec.json.decode(encoded, type=type)
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from None
