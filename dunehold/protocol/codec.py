"""JSON between processes, and checked reading of its fields."""

from __future__ import annotations

import math
from typing import Any

import orjson

UINT64 = 1 << 64


class BadMessage(Exception):
    """A message that does not follow the protocol, with the reason."""


def dump(value: Any) -> bytes:
    return orjson.dumps(value)


def load(data: bytes) -> Any:
    try:
        return orjson.loads(data)
    except (orjson.JSONDecodeError, RecursionError):
        raise BadMessage("not JSON") from None


def load_object(data: bytes) -> dict[str, Any]:
    value = load(data)
    if not isinstance(value, dict):
        raise BadMessage("not an object")
    return value


def text(row: dict[str, Any], key: str) -> str:
    value = row.get(key)
    if not isinstance(value, str) or not value or len(value) > 200:
        raise BadMessage(f"{key} must be a text of 1 to 200 characters")
    return value


def opt_text(row: dict[str, Any], key: str) -> str | None:
    return None if row.get(key) is None else text(row, key)


def count(row: dict[str, Any], key: str) -> int:
    value = row.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < UINT64:
        raise BadMessage(f"{key} must be a whole number")
    return value


def amount(row: dict[str, Any], key: str) -> float:
    value = row.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BadMessage(f"{key} must be a number")
    if not math.isfinite(value) or value < 0:
        raise BadMessage(f"{key} must be finite and not negative")
    return float(value)


def opt_amount(row: dict[str, Any], key: str) -> float | None:
    return None if row.get(key) is None else amount(row, key)


def flag(row: dict[str, Any], key: str, default: bool | None = None) -> bool:
    value = row.get(key)
    if value is None and default is not None:
        return default
    if not isinstance(value, bool):
        raise BadMessage(f"{key} must be true or false")
    return value


def lists(row: dict[str, Any], key: str) -> list[list[Any]]:
    value = row.get(key)
    if not isinstance(value, list) or not all(isinstance(item, list) for item in value):
        raise BadMessage(f"{key} must be a list of lists")
    return value


def rows(row: dict[str, Any], key: str) -> list[dict[str, Any]]:
    value = row.get(key)
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise BadMessage(f"{key} must be a list of objects")
    return value
