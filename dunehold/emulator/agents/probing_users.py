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

from dunehold.emulator.agents.users import FINAL_PHASES, JOBS_PATH, POLL_TIMEOUT_S, Users
from dunehold.emulator.history import Event
from dunehold.emulator.model.base import Randomness
from dunehold.emulator.model.jobs import without_emulator_keys

PROBE_ROUNDS = 3
PROBE_DELAY_RANGE_S = (0.0, 0.004)
INVALID_JOB_CASES = (
    "no machine fits",
    "unknown team",
    "a field is missing",
    "no object",
    "no number",
)


@dataclass(slots=True)
class ConsistencyProbes:
    """``users`` reach any node; ``at`` gives those who reach one node only."""

    users: Users
    users_by_node: list[Users]
    rng: Randomness
    job: Callable[[str], dict[str, Any]]
    cancel_share: float = 0.0  # share of accepted jobs that are cancelled at once
    counts: Counter[str] = field(default_factory=Counter)
    _seen: set[tuple[str, str]] = field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def on_event(self, event: Event) -> None:
        """A listener of the history: looks begin with the first answer of each kind."""
        said = event.data.get("phase") if event.kind == "told" else event.kind
        uid = event.data.get("uid", "")
        if said not in ("accepted", *FINAL_PHASES) or (uid, said) in self._seen:
            return
        self._seen.add((uid, str(said)))
        task = asyncio.get_running_loop().create_task(self._probe(uid, str(said)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, uid: str, said: str) -> None:
        if said == "accepted" and self.rng.random() < self.cancel_share:
            await self.cancel(uid)
        for _ in range(PROBE_ROUNDS):
            await asyncio.gather(
                *(self._probe_node(users, uid, said) for users in self.users_by_node)
            )

    async def _probe_node(self, users: Users, uid: str, said: str) -> None:
        await asyncio.sleep(self.rng.uniform(*PROBE_DELAY_RANGE_S))
        if self.rng.random() < 0.3:
            await users.resubmit(self.job(uid))
        else:
            await users.poll(uid)
        self.counts[f"looks after {said}"] += 1

    async def cancel(self, uid: str) -> None:
        users = self.users_by_node[int(self.rng.random() * len(self.users_by_node))]
        users.history.add("cancel", uid=uid)
        answer = await users.cancel(uid)
        self.counts["cancelled at once"] += answer.status == 200


@dataclass(slots=True)
class UnusualRequests:
    """Answers are counted by what was asked; what is accepted shows in the history."""

    users: Users
    rng: Randomness
    job: Callable[[str], dict[str, Any]]
    response_counts: Counter[tuple[str, int]] = field(default_factory=Counter)
    _number: int = 800_000

    async def send_requests(self) -> None:
        known = sorted(self.users.accepted)
        if known:
            uid = known[int(self.rng.random() * len(known))]
            over = self.users.final_phases.get(uid)
            if over == "done":
                answer = await self.users.cancel(uid)
                self.response_counts["over", answer.status] += 1
            elif over is None:
                await self._resubmit(uid)
        await self._submit_invalid(
            INVALID_JOB_CASES[int(self.rng.random() * len(INVALID_JOB_CASES))], known
        )

    async def _resubmit(self, uid: str) -> None:
        """As it was, or with another description: the first one stands."""
        changes: list[dict[str, Any]] = [{}, {"vcpus": 1e6}, {"gpus": None}]
        change = changes[int(self.rng.random() * len(changes))]
        answer = await self.users.resubmit({**self.job(uid), **change})
        self.response_counts["known", answer.status] += 1

    async def _submit_invalid(self, case: str, known: list[str]) -> None:
        if not known:
            return
        self._number += 1
        row = without_emulator_keys(self.job(known[0])) | {"uid": f"job-{self._number}"}
        if case == "no machine fits":
            row["vcpus"] = 1e6
        elif case == "unknown team":
            row["owner"] = "nobody"
        elif case == "a field is missing":
            names = [n for n in row if n not in ("flavours", "hall", "due_s", "awaits", "uid")]
            del row[names[int(self.rng.random() * len(names))]]
        elif case == "no number":
            row["vcpus"] = "many"
        body = b"[]" if case == "no object" else orjson.dumps(row)
        self.users.history.add("job", uid=row["uid"], job=row)
        answer = await self.users.request("POST", JOBS_PATH, body, POLL_TIMEOUT_S)
        self.response_counts[case, answer.status] += 1
        if answer.status in (200, 201):
            self.users.history.add("accepted", uid=row["uid"], status=answer.status)
