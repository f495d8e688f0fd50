"""The history of a run: what users, workers and machines observed, for the checker."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

import orjson


@dataclass(slots=True)
class Event:
    """One event: its time in seconds of the run's clock, its kind, and the fields of its kind.

    | kind | fields |
    | --- | --- |
    | ``job`` | uid, job: its user is about to submit it for the first time |
    | ``accepted`` | uid, status, asked: its submission got 200 or 201 |
    | ``refused`` | uid, status: its submission got 400 or 422 |
    | ``gave_up`` | uid, status: its user stopped submitting it without an acceptance |
    | ``told`` | uid, phase, asked: its user got its phase |
    | ``missing`` | uid, asked: a poll got 404 |
    | ``silent`` | uid: a poll got neither 200 nor 404, or no answer |
    | ``cancel`` | uid: its user requests its cancellation |
    | ``on`` | item, attempt, host, flavour, hall, loaner: a task came onto a machine |
    | ``off`` | item, attempt, host, why: a task left its machine |
    | ``completed`` | item, attempt, host: a task was completed |
    | ``machine`` | host, what: up (with flavour, hall, loaner, room), notice or gone |
    | ``controller`` | node, what (ended), code: a controller's process ended |
    | ``fault`` | what (its kind), targets, fault (as in faults.jsonl) |

    ``asked`` is when the request was sent, or, for ``accepted``, when it should have been sent.
    ``room`` holds CPUs, GPUs and GB of memory.
    """

    at: float
    kind: str
    data: dict[str, Any]


@dataclass(slots=True)
class History:
    """Keeps events in memory if ``keep``, writes JSON lines to ``sink``, calls listeners."""

    clock: Callable[[], float]
    sink: IO[bytes] | None = None
    keep: bool = True
    events: list[Event] = field(default_factory=list)
    listeners: list[Callable[[Event], None]] = field(default_factory=list)

    def add(self, kind: str, **data: Any) -> None:
        """Records an event that happens now."""
        self.add_at(self.clock(), kind, **data)

    def add_at(self, at: float, kind: str, **data: Any) -> None:
        """Records an event that happened at the given time."""
        event = Event(at, kind, data)
        if self.keep:
            self.events.append(event)
        if self.sink is not None:
            self.sink.write(orjson.dumps({"at": round(at, 6), "kind": kind, **data}) + b"\n")
        for listener in self.listeners:
            listener(event)


def read(path: Path) -> Iterator[Event]:
    """Reads the events of a file and ignores a last line that a kill has left incomplete."""
    with path.open("rb") as file:
        for line in file:
            if not line.endswith(b"\n"):
                return
            row = orjson.loads(line)
            yield Event(row.pop("at"), row.pop("kind"), row)
