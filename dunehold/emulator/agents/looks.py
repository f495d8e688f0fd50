"""Users who look closely: every node, within milliseconds, after whatever they are told.

And users who ask for what can't be: repetitions of jobs that are known, cancellations of jobs
that are over, jobs that fit no machine or lack a field.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from dunehold.emulator.agents.users import FINAL, JOBS, POLL_ANSWER_S, Users
from dunehold.emulator.history import Event
from dunehold.emulator.model.base import Randomness
from dunehold.emulator.model.jobs import public

ROUNDS = 3
GAPS_S = (0.0, 0.004)
ODD = ("no machine fits", "unknown team", "a field is missing", "no object", "no number")


@dataclass(slots=True)
class CloseLooks:
    """``users`` reach any node; ``at`` gives those who reach one node only."""

    users: Users
    at: list[Users]
    rng: Randomness
    job: Callable[[str], dict[str, Any]]
    cancels: float = 0.0  # share of accepted jobs that are cancelled at once
    met: Counter[str] = field(default_factory=Counter)
    _seen: set[tuple[str, str]] = field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def seen(self, event: Event) -> None:
        """A listener of the history: looks begin with the first answer of each kind."""
        said = event.data.get("phase") if event.kind == "told" else event.kind
        uid = event.data.get("uid", "")
        if said not in ("accepted", *FINAL) or (uid, said) in self._seen:
            return
        self._seen.add((uid, str(said)))
        task = asyncio.get_running_loop().create_task(self._look(uid, str(said)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _look(self, uid: str, said: str) -> None:
        if said == "accepted" and self.rng.random() < self.cancels:
            await self.cancel(uid)
        for _ in range(ROUNDS):
            await asyncio.gather(*(self._ask(users, uid, said) for users in self.at))

    async def _ask(self, users: Users, uid: str, said: str) -> None:
        await asyncio.sleep(self.rng.uniform(*GAPS_S))
        if self.rng.random() < 0.3:
            await users.again(self.job(uid))
        else:
            await users.poll(uid)
        self.met[f"looks after {said}"] += 1

    async def cancel(self, uid: str) -> None:
        users = self.at[int(self.rng.random() * len(self.at))]
        users.history.add("cancel", uid=uid)
        answer = await users.cancel(uid)
        self.met["cancelled at once"] += answer.status == 200


@dataclass(slots=True)
class OddRequests:
    """Answers are counted by what was asked; what is accepted shows in the history."""

    users: Users
    rng: Randomness
    job: Callable[[str], dict[str, Any]]
    answers: Counter[tuple[str, int]] = field(default_factory=Counter)
    _number: int = 800_000

    async def once(self) -> None:
        known = sorted(self.users.accepted)
        if known:
            uid = known[int(self.rng.random() * len(known))]
            over = self.users.final.get(uid)
            if over == "done":
                answer = await self.users.cancel(uid)
                self.answers["over", answer.status] += 1
            elif over is None:
                await self._repeat(uid)
        await self._impossible(ODD[int(self.rng.random() * len(ODD))], known)

    async def _repeat(self, uid: str) -> None:
        """As it was, or with another description: the first one stands."""
        changes: list[dict[str, Any]] = [{}, {"vcpus": 1e6}, {"gpus": None}]
        change = changes[int(self.rng.random() * len(changes))]
        answer = await self.users.again({**self.job(uid), **change})
        self.answers["known", answer.status] += 1

    async def _impossible(self, odd: str, known: list[str]) -> None:
        if not known:
            return
        self._number += 1
        row = public(self.job(known[0])) | {"uid": f"job-{self._number}"}
        if odd == "no machine fits":
            row["vcpus"] = 1e6
        elif odd == "unknown team":
            row["owner"] = "nobody"
        elif odd == "a field is missing":
            names = [n for n in row if n not in ("flavours", "hall", "due_s", "awaits", "uid")]
            del row[names[int(self.rng.random() * len(names))]]
        elif odd == "no number":
            row["vcpus"] = "many"
        body = b"[]" if odd == "no object" else orjson.dumps(row)
        self.users.history.add("job", uid=row["uid"], job=row)
        answer = await self.users.once("POST", JOBS, body, POLL_ANSWER_S)
        self.answers[odd, answer.status] += 1
        if answer.status in (200, 201):
            self.users.history.add("accepted", uid=row["uid"], status=answer.status)
