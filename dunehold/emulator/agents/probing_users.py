"""Users who probe the controllers with requests that ordinary users seldom send.

``ConsistencyProbes`` asks every node about a job within milliseconds of an answer about it, so
that the checker notices a node that answers from an older state. ``UnusualRequests`` submits
known jobs again, cancels jobs that are done, and submits jobs that are invalid or that no
machine fits.
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

PROBE_ROUNDS = 3  # requests to each node after an answer
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
    """Probes every node when a user has learnt that a job is accepted or has ended."""

    users: Users  # reach any node
    users_by_node: list[Users]  # each reach one node only
    rng: Randomness
    job: Callable[[str], dict[str, Any]]  # job id -> row as submitted
    cancel_share: float = 0.0  # share of accepted jobs that are cancelled at once
    counts: Counter[str] = field(default_factory=Counter)  # probes by what caused them
    _seen: set[tuple[str, str]] = field(default_factory=set)  # (job id, answer)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def on_event(self, event: Event) -> None:
        """Listens to the history; starts probes at a job's first answer of each kind.

        The kinds are acceptance and the final phases.
        """
        observed = event.data.get("phase") if event.kind == "told" else event.kind
        job_id = event.data.get("uid", "")
        if observed not in ("accepted", *FINAL_PHASES) or (job_id, observed) in self._seen:
            return
        self._seen.add((job_id, str(observed)))
        task = asyncio.get_running_loop().create_task(self._probe(job_id, str(observed)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, job_id: str, observed: str) -> None:
        if observed == "accepted" and self.rng.random() < self.cancel_share:
            await self.cancel(job_id)
        for _ in range(PROBE_ROUNDS):
            await asyncio.gather(
                *(self._probe_node(users, job_id, observed) for users in self.users_by_node)
            )

    async def _probe_node(self, users: Users, job_id: str, observed: str) -> None:
        """Polls the job at one node, or submits it again in 30 % of the probes."""
        await asyncio.sleep(self.rng.uniform(*PROBE_DELAY_RANGE_S))
        if self.rng.random() < 0.3:
            await users.resubmit(self.job(job_id))
        else:
            await users.poll(job_id)
        self.counts[f"looks after {observed}"] += 1

    async def cancel(self, job_id: str) -> None:
        """Cancels a job at a random node and records ``cancel`` in the history."""
        users = self.users_by_node[int(self.rng.random() * len(self.users_by_node))]
        users.history.add("cancel", uid=job_id)
        answer = await users.cancel(job_id)
        self.counts["cancelled at once"] += answer.status == 200


@dataclass(slots=True)
class UnusualRequests:
    """Sends unusual requests and counts the responses.

    Invalid submissions and any acceptance of them are recorded in the history, so that the
    checker finds jobs that should have been refused.
    """

    users: Users
    rng: Randomness
    job: Callable[[str], dict[str, Any]]  # job id -> row as submitted
    # (request, status) -> number of responses. The request is one of INVALID_JOB_CASES, "over"
    # (a job that is done was cancelled) or "known" (another accepted job was submitted again).
    response_counts: Counter[tuple[str, int]] = field(default_factory=Counter)
    _number: int = 800_000  # of the latest invalid job; above the numbers of ordinary jobs

    async def send_requests(self) -> None:
        """Sends a request about a random accepted job, then an invalid submission.

        A job that is done is cancelled, and one without a final phase is submitted again.
        Nothing is sent before a job has been accepted.
        """
        accepted_ids = sorted(self.users.accepted)
        if accepted_ids:
            job_id = accepted_ids[int(self.rng.random() * len(accepted_ids))]
            final_phase = self.users.final_phases.get(job_id)
            if final_phase == "done":
                answer = await self.users.cancel(job_id)
                self.response_counts["over", answer.status] += 1
            elif final_phase is None:
                await self._resubmit(job_id)
        await self._submit_invalid(
            INVALID_JOB_CASES[int(self.rng.random() * len(INVALID_JOB_CASES))], accepted_ids
        )

    async def _resubmit(self, job_id: str) -> None:
        """Submits a job again, unchanged or with another description.

        The controllers must keep the first description.
        """
        changes: list[dict[str, Any]] = [{}, {"vcpus": 1e6}, {"gpus": None}]
        change = changes[int(self.rng.random() * len(changes))]
        answer = await self.users.resubmit({**self.job(job_id), **change})
        self.response_counts["known", answer.status] += 1

    async def _submit_invalid(self, case: str, accepted_ids: list[str]) -> None:
        """Submits a variant of an accepted job, under a new id, that is invalid as ``case``."""
        if not accepted_ids:
            return
        self._number += 1
        row = without_emulator_keys(self.job(accepted_ids[0])) | {"uid": f"job-{self._number}"}
        if case == "no machine fits":
            row["vcpus"] = 1e6
        elif case == "unknown team":
            row["owner"] = "nobody"
        elif case == "a field is missing":
            required = [
                n for n in row if n not in ("flavours", "hall", "due_s", "awaits", "uid")
            ]
            del row[required[int(self.rng.random() * len(required))]]
        elif case == "no number":
            row["vcpus"] = "many"
        body = b"[]" if case == "no object" else orjson.dumps(row)
        self.users.history.add("job", uid=row["uid"], job=row)
        answer = await self.users.request("POST", JOBS_PATH, body, POLL_TIMEOUT_S)
        self.response_counts[case, answer.status] += 1
        if answer.status in (200, 201):
            self.users.history.add("accepted", uid=row["uid"], status=answer.status)
