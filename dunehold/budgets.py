"""Disruption budgets: how much of a team's work may be stopped or moved by choice.

An amount is a number, or a share of what the team has at the moment. A budget bounds what is
disrupted at one time: a task counts from its stop until it runs again, and at least for the
budget's window.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from typing import Any

from dunehold.types import Duration, Team


@dataclass(frozen=True, slots=True)
class Amount:
    """An absolute ``number`` or, if ``share`` is set, that share (0 to 1) of a whole."""

    number: float = 0.0
    share: float | None = None

    def of(self, whole: float) -> float:
        """Returns the amount in the unit of ``whole``.

        The result for a share is not rounded; callers that count compare whole numbers with it,
        which rounds it down.
        """
        return self.number if self.share is None else self.share * whole

    def __str__(self) -> str:
        return f"{self.number:g}" if self.share is None else f"{self.share * 100:g}%"


@dataclass(frozen=True, slots=True)
class DisruptionBudget:
    """What may be disrupted of one team at one time, by choice.

    Attributes:
        tasks: tasks of arrays and gangs; a share is of the team's tasks on machines.
        cpus: CPUs of all its work; a share is of the team's CPUs in use on machines.
        replicas: replicas of each service; a share is of the wanted replicas.
        least_up: replicas of each service that must stay up; a share is of the wanted replicas.
        window_s: minimum number of seconds for which a disruption counts.
    """

    tasks: Amount = Amount(share=0.1)
    cpus: Amount = Amount(share=0.1)
    replicas: Amount = Amount(1.0)
    least_up: Amount = Amount(share=0.5)
    window_s: Duration = Duration(60.0)


@dataclass(frozen=True, slots=True)
class DisruptionBudgets:
    """The budgets of all teams.

    Attributes:
        default: the budget of teams that have none of their own.
        teams: the budgets of single teams.
        bind_all: whether moves and preemption by the scheduler also keep to the budgets.
    """

    default: DisruptionBudget = DisruptionBudget()
    teams: Mapping[Team, DisruptionBudget] = field(default_factory=dict)
    bind_all: bool = False

    def of(self, team: Team) -> DisruptionBudget:
        """Returns the team's budget, or the default."""
        return self.teams.get(team, self.default)


# Fields of DisruptionBudget that may be a number or a share.
AMOUNT_FIELDS = ("tasks", "cpus", "replicas", "least_up")


def read(form: Any) -> DisruptionBudgets:
    """Decodes the ``disruption`` entry of the operators' settings.

    The form is ``((default (tasks "10%") ...) (team "blue" (cpus 40) ...) (bind-all 1))``. A
    string with a percent sign is a share, a number is an absolute amount. Amounts that a team
    does not set are taken from ``default``.

    Raises:
        ValueError: an entry is not valid; the message is one line that names it.
    """
    default, teams, bind_all = DisruptionBudget(), {}, False
    entries = [entry for entry in form if isinstance(entry, list) and entry]
    if len(entries) != len(form):
        raise ValueError("every entry must be a non-empty list")
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
            raise ValueError(f"{where}: not a percentage such as 10%") from None
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
