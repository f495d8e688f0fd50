"""Which hosts can't reach each other: by name, by zone, or by group (``@workers``)."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Mode(StrEnum):
    HOLD = "hold"  # silence; what was sent arrives when the cut ends
    RESET = "reset"
    REFUSE = "refuse"


@dataclass(slots=True)
class Cuts:
    labels: dict[str, tuple[str, ...]] = field(default_factory=dict)  # host -> zone, groups
    _cuts: dict[tuple[str, str], Mode] = field(default_factory=dict)

    def __len__(self) -> int:
        return len({frozenset(ends) for ends in self._cuts})

    def begin(self, a: str, b: str, mode: Mode, one_way: bool = False) -> None:
        """Cut two hosts, zones or groups; a host is never cut from itself.

        ``one_way``: only what goes from ``a`` to ``b`` is.
        """
        self._cuts[a, b] = mode
        if not one_way:
            self._cuts[b, a] = mode

    def end(self, a: str, b: str) -> None:
        self._cuts.pop((a, b), None)
        self._cuts.pop((b, a), None)

    def clear(self) -> None:
        self._cuts.clear()

    def between(self, a: str, b: str) -> Mode | None:
        """What holds up a message from ``a`` to ``b``."""
        if not self._cuts or a == b:
            return None
        for x in (a, *self.labels.get(a, ())):
            for y in (b, *self.labels.get(b, ())):
                mode = self._cuts.get((x, y)) if x != y else None
                if mode is not None:
                    return mode
        return None
