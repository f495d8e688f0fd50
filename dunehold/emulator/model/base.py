"""What the models share: replies, randomness, rate limits, and reading of bodies."""

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
    """What the models draw from: numpy's ``Generator`` and ``random.Random`` both have it."""

    def random(self) -> float: ...

    def uniform(self, low: float, high: float) -> float: ...


class Malformed(Exception):
    """A request that the protocol answers with 400; the text says why."""


def reply(status: int, value: Any) -> Reply:
    return Reply(status, codec.dump(value))


def bad_request(reason: str) -> Reply:
    return reply(400, {"error": reason})


def split_target(target: str) -> tuple[str, dict[str, str]]:
    url = urlsplit(target)
    return url.path, dict(parse_qsl(url.query, keep_blank_values=True))


def decode_body(body: bytes | None) -> dict[str, Any]:
    try:
        return codec.load_object(body or b"{}")
    except codec.BadMessage as error:
        raise Malformed(str(error)) from None


def decode_uint64(values: dict[str, Any], key: str, default: int | None = None) -> int:
    """A count from a body or a query; Malformed when it is none."""
    value = values.get(key, default)
    if isinstance(value, str) and value.isascii() and value.isdigit():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < codec.UINT64:
        raise Malformed(f"{key} must be a whole number")
    return value


@dataclass(slots=True)
class TokenBucket:
    """So many a second, with ``burst_s`` seconds' worth at once."""

    per_s: float | None  # None: no limit
    burst_s: float = 1.0
    _tokens: float = field(init=False)
    _refilled_at: float = 0.0

    def __post_init__(self) -> None:
        self._tokens = (self.per_s or 0.0) * self.burst_s

    def try_acquire(self, now: float, count: int = 1) -> bool:
        if self.per_s is None:
            return True
        most = max(self.per_s * self.burst_s, 1.0)
        self._tokens = min(most, self._tokens + max(0.0, now - self._refilled_at) * self.per_s)
        self._refilled_at = now
        if self._tokens + 1e-9 < count:
            return False
        self._tokens -= count
        return True
