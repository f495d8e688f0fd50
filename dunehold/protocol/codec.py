"""JSON messages, and typed access to their fields.

The readers raise BadMessage with the field and the reason.
"""

from __future__ import annotations

import math
from typing import Any

import orjson

UINT64 = 1 << 64  # counts must be below this


class BadMessage(Exception):
    """A message does not follow the protocol; the text gives the reason."""


def dump(value: Any) -> bytes:
    """Encodes a value as JSON."""
    return orjson.dumps(value)


def load(data: bytes) -> Any:
    """Decodes JSON; raises BadMessage if it is malformed or nested too deeply."""
    try:
        return orjson.loads(data)
    except (orjson.JSONDecodeError, RecursionError):
        raise BadMessage("message is not valid JSON") from None


def load_object(data: bytes) -> dict[str, Any]:
    """Decodes JSON that must be an object."""
    value = load(data)
    if not isinstance(value, dict):
        raise BadMessage("message must be a JSON object")
    return value


def text(row: dict[str, Any], key: str) -> str:
    """Reads a string of 1 to 200 characters."""
    value = row.get(key)
    if not isinstance(value, str) or not value or len(value) > 200:
        raise BadMessage(f"{key} must be a string of 1 to 200 characters")
    return value


def opt_text(row: dict[str, Any], key: str) -> str | None:
    """Reads a string; None if the field is missing or null."""
    return None if row.get(key) is None else text(row, key)


def count(row: dict[str, Any], key: str) -> int:
    """Reads an integer of at least 0 that fits in 64 bits."""
    value = row.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < UINT64:
        raise BadMessage(f"{key} must be a whole number from 0 to 2**64 - 1")
    return value


def amount(row: dict[str, Any], key: str) -> float:
    """Reads a finite number of at least 0."""
    value = row.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BadMessage(f"{key} must be a number")
    if not math.isfinite(value) or value < 0:
        raise BadMessage(f"{key} must be finite and not negative")
    return float(value)


def opt_amount(row: dict[str, Any], key: str) -> float | None:
    """Reads a finite number of at least 0; None if the field is missing or null."""
    return None if row.get(key) is None else amount(row, key)


def flag(row: dict[str, Any], key: str, default: bool | None = None) -> bool:
    """Reads a boolean; a missing or null field gives the default, if there is one."""
    value = row.get(key)
    if value is None and default is not None:
        return default
    if not isinstance(value, bool):
        raise BadMessage(f"{key} must be true or false")
    return value


def lists(row: dict[str, Any], key: str) -> list[list[Any]]:
    """Reads a list of lists."""
    value = row.get(key)
    if not isinstance(value, list) or not all(isinstance(item, list) for item in value):
        raise BadMessage(f"{key} must be a list of lists")
    return value


def rows(row: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """Reads a list of objects; a missing or null field is an empty list."""
    value = row.get(key)
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise BadMessage(f"{key} must be a list of objects")
    return value
