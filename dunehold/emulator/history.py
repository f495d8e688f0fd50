"""What users, workers and machines saw, written as it happens, for the checker."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

import orjson


@dataclass(slots=True)
class Event:
    """``at`` in seconds of one clock; ``data`` holds the fields that its kind names.

    | kind | fields |
    | --- | --- |
    | ``job`` | uid, job: made by its user, before the first try |
    | ``accepted`` | uid, status, asked |
    | ``refused`` | uid, status: 400 or 422 |
    | ``gave_up`` | uid, status: never heard that it is accepted |
    | ``told`` | uid, phase, asked: when the question was sent |
    | ``missing`` | uid, asked: 404 |
    | ``silent`` | uid: neither 200 nor 404 |
    | ``cancel`` | uid: its user asks to cancel it |
    | ``on``, ``off`` | item, attempt, host; on: flavour, hall, loaner; off: why |
    | ``completed`` | item, attempt, host |
    | ``machine`` | host, what; up: flavour, hall, loaner, room (CPUs, GPUs, GB) |
    | ``fault`` | what, and what it was done to |
    """

    at: float
    kind: str
    data: dict[str, Any]


@dataclass(slots=True)
class History:
    clock: Callable[[], float]
    sink: IO[bytes] | None = None
    keep: bool = True
    events: list[Event] = field(default_factory=list)
    listeners: list[Callable[[Event], None]] = field(default_factory=list)

    def add(self, kind: str, **data: Any) -> None:
        self.add_at(self.clock(), kind, **data)

    def add_at(self, at: float, kind: str, **data: Any) -> None:
        event = Event(at, kind, data)
        if self.keep:
            self.events.append(event)
        if self.sink is not None:
            self.sink.write(orjson.dumps({"at": round(at, 6), "kind": kind, **data}) + b"\n")
        for listener in self.listeners:
            listener(event)


def read(path: Path) -> Iterator[Event]:
    """The events of a file; a last line that was cut off by a kill is left out."""
    with path.open("rb") as file:
        for line in file:
            if not line.endswith(b"\n"):
                return
            row = orjson.loads(line)
            yield Event(row.pop("at"), row.pop("kind"), row)
