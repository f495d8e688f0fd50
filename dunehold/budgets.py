"""Budgets of disruption: how much of a team's work may be stopped or moved by choice.

An amount is a number or a share of what there is just now. A budget bounds what is disrupted at
one time: a task counts from its stop until it runs again, and for the window at least.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from typing import Any

from dunehold.types import Duration, Team


@dataclass(frozen=True, slots=True)
class Amount:
    """``number`` of something, or ``share`` of the whole, where one is set."""

    number: float = 0.0
    share: float | None = None

    def of(self, whole: float) -> float:
        """The amount, in the unit of ``whole``; a share is rounded down by who counts."""
        return self.number if self.share is None else self.share * whole

    def __str__(self) -> str:
        return f"{self.number:g}" if self.share is None else f"{self.share * 100:g}%"


@dataclass(frozen=True, slots=True)
class DisruptionBudget:
    """What may be disrupted of one team at one time, by choice.

    Attributes:
        tasks: of its arrays and gangs, of those that it has on machines.
        cpus: of all its work, of what it has on machines.
        replicas: of each service, of those that are wanted.
        least_up: replicas of each service that stay up, of those that are wanted.
        window_s: how long a disruption counts at least, seconds.
    """

    tasks: Amount = Amount(share=0.1)
    cpus: Amount = Amount(share=0.1)
    replicas: Amount = Amount(1.0)
    least_up: Amount = Amount(share=0.5)
    window_s: Duration = Duration(60.0)


@dataclass(frozen=True, slots=True)
class DisruptionBudgets:
    """Each team's budget; ``bind_all``: the scheduler's own doings keep to them as well."""

    default: DisruptionBudget = DisruptionBudget()
    teams: Mapping[Team, DisruptionBudget] = field(default_factory=dict)
    bind_all: bool = False

    def of(self, team: Team) -> DisruptionBudget:
        return self.teams.get(team, self.default)


AMOUNT_FIELDS = ("tasks", "cpus", "replicas", "least_up")


def read(form: Any) -> DisruptionBudgets:
    """``((default (tasks "10%") ...) (team "blue" (cpus 40) ...) (bind-all 1))``.

    A text with a percent sign is a share, a number a number. What a team leaves out is as in
    ``default``. ValueError with one line that names the entry.
    """
    default, teams, bind_all = DisruptionBudget(), {}, False
    entries = [entry for entry in form if isinstance(entry, list) and entry]
    if len(entries) != len(form):
        raise ValueError("every entry must be a list")
    for entry in entries:
        if str(entry[0]) == "default":
            default = _budget(default, entry[1:], "default")
    for entry in entries:
        name = str(entry[0])
        if name == "team":
            if len(entry) < 2 or type(entry[1]) is not str or not entry[1]:
                raise ValueError('team: must be (team "NAME" (tasks ...) ...)')
            if entry[1] in teams:
                raise ValueError(f"team {entry[1]}: named twice")
            teams[Team(entry[1])] = _budget(default, entry[2:], f"team {entry[1]}")
        elif name == "bind-all":
            if len(entry) != 2 or entry[1] not in (0, 1):
                raise ValueError("bind-all: must be 0 or 1")
            bind_all = bool(entry[1])
        elif name != "default":
            raise ValueError(f"{name}: no such entry")
    return DisruptionBudgets(default, teams, bind_all)


def _budget(base: DisruptionBudget, rows: list[Any], where: str) -> DisruptionBudget:
    known = {item.name for item in fields(DisruptionBudget)}
    values: dict[str, Any] = {}
    for row in rows:
        if not isinstance(row, list) or len(row) != 2:
            raise ValueError(f"{where}: every entry must be (name value)")
        name = str(row[0]).replace("-", "_")
        if name not in known:
            raise ValueError(f"{where}: {row[0]}: no such amount")
        values[name] = (
            _amount(row[1], f"{where}: {row[0]}")
            if name in AMOUNT_FIELDS
            else Duration(_number(row[1], f"{where}: {row[0]}"))
        )
    return replace(base, **values)


def _amount(value: Any, where: str) -> Amount:
    if isinstance(value, str) and value.endswith("%"):
        try:
            share = float(value[:-1]) / 100
        except ValueError:
            raise ValueError(f"{where}: not a percentage") from None
        if not 0.0 <= share <= 1.0:
            raise ValueError(f"{where}: must be 0% to 100%")
        return Amount(share=share)
    return Amount(_number(value, where))


def _number(value: Any, where: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f'{where}: must be a number or a share such as "10%"')
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"{where}: must be a number of at least 0")
    return float(value)
