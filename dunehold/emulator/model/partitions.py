"""Which hosts can't reach each other: by name, by zone, or by group (``@workers``)."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class PartitionMode(StrEnum):
    HOLD = "hold"  # silence; what was sent arrives when the cut ends
    RESET = "reset"
    REFUSE = "refuse"


@dataclass(slots=True)
class NetworkPartitions:
    groups: dict[str, tuple[str, ...]] = field(default_factory=dict)  # host -> zone, groups
    _modes: dict[tuple[str, str], PartitionMode] = field(default_factory=dict)

    def __len__(self) -> int:
        return len({frozenset(ends) for ends in self._modes})

    def begin(self, a: str, b: str, mode: PartitionMode, one_way: bool = False) -> None:
        """Cut two hosts, zones or groups; a host is never cut from itself.

        ``one_way``: only what goes from ``a`` to ``b`` is.
        """
        self._modes[a, b] = mode
        if not one_way:
            self._modes[b, a] = mode

    def end(self, a: str, b: str) -> None:
        self._modes.pop((a, b), None)
        self._modes.pop((b, a), None)

    def clear(self) -> None:
        self._modes.clear()

    def mode_between(self, a: str, b: str) -> PartitionMode | None:
        """What holds up a message from ``a`` to ``b``."""
        if not self._modes or a == b:
            return None
        for x in (a, *self.groups.get(a, ())):
            for y in (b, *self.groups.get(b, ())):
                mode = self._modes.get((x, y)) if x != y else None
                if mode is not None:
                    return mode
        return None
