"""Faults on command: one vocabulary for scenarios, ``dunehold fault`` and the seeded tests.

A scenario names what should happen; drawing from the seed turns it into what did happen, with
every host named, and that is written down so that it can be played again.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from dunehold.emulator.model.base import Randomness


class Fault(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="kind"
):
    """``at_s``: when, in a scenario; ``on``: with each such event, at most ``times``."""

    at_s: float = 0.0
    every_s: float = 0.0  # again and again, until until_s
    until_s: float = 0.0
    on: str = ""  # a kind of event in the history: completed, on, accepted, told, ...
    times: int = 1
    for_s: float = 0.0  # how long; 0: for good


class MachineFault(Fault, frozen=True, kw_only=True, tag="machines"):
    """Machines, by name, share, number or zone; with ``on``, the event's own machine."""

    do: Literal["kill", "hang", "slow", "sick", "take", "heal"]
    hosts: list[str] = []
    share: float = 0.0
    count: int = 0
    hall: str = ""
    loaner: bool | None = None
    speed: float = 0.3
    silent: bool | None = None  # taken without notice


class PartitionFault(Fault, frozen=True, kw_only=True, tag="cut"):
    """Two hosts, zones or groups (``@machines``, ``@nodes``); also ``state``, ``users``."""

    a: str
    b: str
    mode: Literal["hold", "reset", "refuse"] = "hold"


class StateFault(Fault, frozen=True, kw_only=True, tag="state"):
    """The state service, for all or (``refuse``) for one node."""

    do: Literal["outage", "refuse", "lag", "kill", "kill_after_write", "delay"]
    node: str = ""
    lag_ms: float = 0.0
    back_s: float = 2.0
    path: str = "/txn"
    count: int = 1


class CloudFault(Fault, frozen=True, kw_only=True, tag="cloud"):
    do: Literal["outage", "boots", "capacity", "delay"]
    dead: float = 0.0
    late: float = 0.0
    factor: float = 1.0
    path: str = "/hosts"
    count: int = 1


class ControllerFault(Fault, frozen=True, kw_only=True, tag="controllers"):
    """``node``: a name, ``leader``, ``any`` or ``all``; one after the other with ``gap_s``."""

    do: Literal["kill", "stop"]
    node: str = "any"
    back_s: float = 3.0
    gap_s: float = 0.0


class CommandDelayFault(Fault, frozen=True, kw_only=True, tag="orders"):
    """Direct commands to some machines come late."""

    delay_s: float
    count: int = 1
    hosts: list[str] = []


class ConnectionFloodFault(Fault, frozen=True, kw_only=True, tag="flood"):
    """Connections to a controller's user port that are opened, kept, and never used."""

    node: str = "leader"
    connections: int = 100


AnyFault = (
    MachineFault
    | PartitionFault
    | StateFault
    | CloudFault
    | ControllerFault
    | CommandDelayFault
    | ConnectionFloodFault
)


def decode(data: bytes) -> AnyFault:
    """From JSON; ``msgspec.ValidationError`` names the field and the reason."""
    return msgspec.json.decode(data, type=AnyFault)


class FaultCandidate(msgspec.Struct, frozen=True):
    """A machine that a fault may choose."""

    name: str
    hall: str
    loaner: bool


def choose_machines(
    fault: MachineFault, candidates: list[FaultCandidate], rng: Randomness
) -> list[str]:
    """The machines that a fault means, in their order, drawn where it gives no names."""
    if fault.hosts:
        return [machine.name for machine in candidates if machine.name in set(fault.hosts)]
    fits = [
        machine
        for machine in candidates
        if (not fault.hall or machine.hall == fault.hall)
        and (fault.loaner is None or machine.loaner == fault.loaner)
    ]
    number = fault.count or round(fault.share * len(fits))
    drawn = sorted(fits, key=lambda _: rng.random())[:number]
    return sorted(machine.name for machine in drawn)
