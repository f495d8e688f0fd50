"""Model of network partitions: which hosts, zones and groups cannot reach each other.

Hosts are named singly, by their zone, or by a group such as ``@machines``.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class PartitionMode(StrEnum):
    """What happens to a message that a partition blocks."""

    HOLD = "hold"  # no answer; the message arrives when the partition ends
    RESET = "reset"  # the connection is reset
    REFUSE = "refuse"  # the connection is refused


@dataclass(slots=True)
class NetworkPartitions:
    """The partitions in force, each between two hosts, zones or groups."""

    # host -> its zone and groups
    groups: dict[str, tuple[str, ...]] = field(default_factory=dict)
    # (sender, receiver) -> mode
    _modes: dict[tuple[str, str], PartitionMode] = field(default_factory=dict)

    def __len__(self) -> int:
        """Number of pairs that are partitioned in at least one direction."""
        return len({frozenset(ends) for ends in self._modes})

    def begin(self, a: str, b: str, mode: PartitionMode, one_way: bool = False) -> None:
        """Partitions two hosts, zones or groups.

        A host that belongs to both sides can still reach itself. With ``one_way``, only
        messages from ``a`` to ``b`` are blocked.
        """
        self._modes[a, b] = mode
        if not one_way:
            self._modes[b, a] = mode

    def end(self, a: str, b: str) -> None:
        """Ends the partition between ``a`` and ``b`` in both directions, if there is one."""
        self._modes.pop((a, b), None)
        self._modes.pop((b, a), None)

    def clear(self) -> None:
        """Ends all partitions."""
        self._modes.clear()

    def mode_between(self, a: str, b: str) -> PartitionMode | None:
        """Returns how messages from host ``a`` to host ``b`` are blocked, or None.

        Partitions of the hosts' own names take precedence over those of zones and groups. A
        zone or group is never partitioned from itself.
        """
        if not self._modes or a == b:
            return None
        for x in (a, *self.groups.get(a, ())):
            for y in (b, *self.groups.get(b, ())):
                mode = self._modes.get((x, y)) if x != y else None
                if mode is not None:
                    return mode
        return None
