"""The faults that scenarios, ``dunehold fault`` and the seeded tests can inject.

A scenario may leave a fault's targets open. They are then drawn with the run's seed, and the
fault is logged with the targets that were drawn, so that the run can be replayed.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from dunehold.emulator.model.base import Randomness


class Fault(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="kind"
):
    """What all faults have in common: when they happen and for how long.

    Times are in seconds from the start of a scenario. A fault with ``on`` happens at such
    events of the history, from ``at_s`` on and at most ``times`` times.
    """

    at_s: float = 0.0
    every_s: float = 0.0  # the interval at which it is repeated; 0 means that it is not
    until_s: float = 0.0  # the end of the repetitions
    on: str = ""  # a kind of event in the history: completed, on, accepted, told, ...
    times: int = 1
    # Duration. 0 means that the fault is permanent, or the default if it has to end.
    for_s: float = 0.0


class MachineFault(Fault, frozen=True, kw_only=True, tag="machines"):
    """A fault of machines, which are given by name or drawn by count or share.

    With ``on`` and neither names nor a share, it hits the machine of the event.

    | ``do`` | effect |
    | --- | --- |
    | ``kill`` | the machine fails, with everything on it |
    | ``hang`` | it stands still and does not answer for ``for_s``, 10 s by default |
    | ``slow`` | it runs at ``speed``, permanently |
    | ``sick`` | every task that starts on it fails |
    | ``heal`` | ``sick`` ends |
    | ``take`` | the cloud reclaims it |
    """

    do: Literal["kill", "hang", "slow", "sick", "take", "heal"]
    hosts: list[str] = []
    share: float = 0.0  # of the machines that fit; used if count is 0
    count: int = 0
    hall: str = ""  # only machines in this zone; empty means any zone
    loaner: bool | None = None  # only spot machines, or only ordinary ones; None means both
    speed: float = 0.3  # of a slow machine; 1 is the usual speed
    silent: bool | None = None  # reclaimed without notice; None means drawn by the cloud


class PartitionFault(Fault, frozen=True, kw_only=True, tag="cut"):
    """A network partition between two hosts, zones or groups (``@machines``, ``@nodes``).

    ``state``, ``cloud`` and ``users`` are hosts, too. ``hold`` delivers what was sent when the
    partition ends, ``reset`` resets connections, ``refuse`` refuses them.
    """

    a: str
    b: str
    mode: Literal["hold", "reset", "refuse"] = "hold"


class StateFault(Fault, frozen=True, kw_only=True, tag="state"):
    """A fault of the state service.

    | ``do`` | effect |
    | --- | --- |
    | ``outage`` | it answers 503 to everybody |
    | ``refuse`` | it answers 503 to ``node`` alone |
    | ``lag`` | it answers each request ``lag_ms`` later |
    | ``kill`` | its process is killed, and started again after ``back_s`` |
    | ``kill_after_write`` | the same, between its next commit and the answer |
    | ``delay`` | the next ``count`` requests to ``path`` are handled ``for_s`` later |
    """

    do: Literal["outage", "refuse", "lag", "kill", "kill_after_write", "delay"]
    node: str = ""
    lag_ms: float = 0.0
    back_s: float = 2.0
    path: str = "/txn"
    count: int = 1


class CloudFault(Fault, frozen=True, kw_only=True, tag="cloud"):
    """A fault of the cloud.

    | ``do`` | effect |
    | --- | --- |
    | ``outage`` | it answers 503 to everybody |
    | ``boots`` | a share ``dead`` of the machines never boots, a share ``late`` boots late |
    | ``capacity`` | all free capacities are multiplied by ``factor``, permanently |
    | ``delay`` | the next ``count`` requests to ``path`` are handled ``for_s`` later |
    """

    do: Literal["outage", "boots", "capacity", "delay"]
    dead: float = 0.0
    late: float = 0.0
    factor: float = 1.0
    path: str = "/hosts"
    count: int = 1


class ControllerFault(Fault, frozen=True, kw_only=True, tag="controllers"):
    """Kills controllers with SIGKILL, or stalls them with SIGSTOP until a SIGCONT.

    A stall lasts for ``for_s``, 5 s by default.
    """

    do: Literal["kill", "stop"]
    node: str = "any"  # a name, leader, any or all
    back_s: float = 3.0  # a killed controller is started again after this time
    gap_s: float = 0.0  # between two controllers


class CommandDelayFault(Fault, frozen=True, kw_only=True, tag="orders"):
    """Delays controllers' commands to some machines."""

    delay_s: float
    # Commands that are delayed for each machine. If ``hosts`` is empty, this is also the number
    # of machines, which are the first ones by name.
    count: int = 1
    hosts: list[str] = []


class RequestCopyFault(Fault, frozen=True, kw_only=True, tag="copies"):
    """Delivers answered requests once more, after ``min_s`` to ``max_s``.

    It applies to requests whose path starts with ``path``, whoever sends them: ``/orders`` and
    ``/status`` are sent to workers, ``/v1/report`` and ``/v1/jobs`` to controllers, ``/hosts``
    and ``/flavors`` to the cloud, ``/txn``, ``/leases``, ``/store`` and ``/changes`` to the
    state service. Requests between controllers are not copied. ``for_s`` limits for how long
    requests are copied, not when the copies arrive.
    """

    path: str = "/orders"
    share: float = 1.0  # of these requests
    min_s: float = 0.3
    max_s: float = 9.0


class ConnectionFloodFault(Fault, frozen=True, kw_only=True, tag="flood"):
    """Opens connections to a controller's user port and holds them without using them.

    They are held for ``for_s``, 30 s by default.
    """

    node: str = "leader"  # a name, leader, any or all
    connections: int = 100  # to each controller


AnyFault = (
    MachineFault
    | PartitionFault
    | StateFault
    | CloudFault
    | ControllerFault
    | CommandDelayFault
    | RequestCopyFault
    | ConnectionFloodFault
)


def decode(data: bytes) -> AnyFault:
    """Decodes a fault from JSON.

    Raises ``msgspec.DecodeError``, or its subclass ``msgspec.ValidationError``, which names the
    field and the reason.
    """
    return msgspec.json.decode(data, type=AnyFault)


class FaultCandidate(msgspec.Struct, frozen=True):
    """A machine that a fault may choose, with its zone and whether it is a spot machine."""

    name: str
    hall: str
    loaner: bool


def choose_machines(
    fault: MachineFault, candidates: list[FaultCandidate], rng: Randomness
) -> list[str]:
    """Returns the machines that a fault hits; they are drawn if the fault names none."""
    if fault.hosts:
        return [machine.name for machine in candidates if machine.name in set(fault.hosts)]
    eligible = [
        machine
        for machine in candidates
        if (not fault.hall or machine.hall == fault.hall)
        and (fault.loaner is None or machine.loaner == fault.loaner)
    ]
    drawn_count = fault.count or round(fault.share * len(eligible))
    drawn = sorted(eligible, key=lambda _: rng.random())[:drawn_count]
    return sorted(machine.name for machine in drawn)
