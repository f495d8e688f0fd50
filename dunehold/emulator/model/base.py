"""Helpers that the models share: replies, randomness, rate limits and parsing of requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol
from urllib.parse import parse_qsl, urlsplit

from dunehold.protocol import codec


class Reply(NamedTuple):
    """An HTTP status and a body that is already encoded."""

    status: int
    body: bytes = b"{}"


class Randomness(Protocol):
    """Source of random numbers; numpy's ``Generator`` and ``random.Random`` both satisfy it."""

    def random(self) -> float:
        """Returns a number from the range 0.0 to 1.0, without 1.0."""
        ...

    def uniform(self, low: float, high: float) -> float:
        """Returns a number between ``low`` and ``high``."""
        ...


class Malformed(Exception):
    """A request that the protocol answers with 400; the text becomes the answer's error."""


def reply(status: int, value: Any) -> Reply:
    """Returns a reply whose body is ``value`` as JSON."""
    return Reply(status, codec.dump(value))


def bad_request(reason: str) -> Reply:
    """Returns a 400 reply with ``reason`` as its error."""
    return reply(400, {"error": reason})


def split_target(target: str) -> tuple[str, dict[str, str]]:
    """Splits a request target into its path and its query parameters."""
    url = urlsplit(target)
    return url.path, dict(parse_qsl(url.query, keep_blank_values=True))


def decode_body(body: bytes | None) -> dict[str, Any]:
    """Returns the JSON object in a body; an empty body counts as an empty object.

    Raises Malformed when the body is not a JSON object.
    """
    try:
        return codec.load_object(body or b"{}")
    except codec.BadMessage as error:
        raise Malformed(str(error)) from None


def decode_uint64(values: dict[str, Any], key: str, default: int | None = None) -> int:
    """Returns an unsigned 64-bit integer from a body, or from a query as decimal digits.

    Raises Malformed when the value is no such integer, or is missing and has no default.
    """
    value = values.get(key, default)
    if isinstance(value, str) and value.isascii() and value.isdigit():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < codec.UINT64:
        raise Malformed(f"{key} must be a whole number")
    return value


@dataclass(slots=True)
class TokenBucket:
    """Rate limiter that allows ``per_s`` units per second and bursts of ``burst_s`` seconds."""

    per_s: float | None  # None means no limit
    burst_s: float = 1.0
    _tokens: float = field(init=False)
    _refilled_at: float = 0.0

    def __post_init__(self) -> None:
        self._tokens = (self.per_s or 0.0) * self.burst_s

    def try_acquire(self, now: float, count: int = 1) -> bool:
        """Takes ``count`` tokens if that many are available at time ``now``.

        Returns whether they were taken. After a refill the bucket can hold at least one token,
        so that a low rate still lets single requests through.
        """
        if self.per_s is None:
            return True
        capacity = max(self.per_s * self.burst_s, 1.0)
        self._tokens = min(
            capacity, self._tokens + max(0.0, now - self._refilled_at) * self.per_s
        )
        self._refilled_at = now
        if self._tokens + 1e-9 < count:  # 1e-9 allows for rounding errors of the refill
            return False
        self._tokens -= count
        return True
