"""Users written from the protocol: retries, polls, cancellations, questions about nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

import orjson

from dunehold.emulator.history import History
from dunehold.emulator.model.base import Randomness
from dunehold.emulator.model.jobs import public
from dunehold.transport.http import NoResponse

JOBS = "/v1/jobs"
ANSWER_S, POLL_ANSWER_S = 5.0, 2.0
RETRY_S, MOST_RETRY_S, PATIENCE_S, CANCEL_PATIENCE_S = 1.0, 30.0, 60.0, 90.0
FINAL = ("done", "cancelled")


class Answer(NamedTuple):
    status: int  # 0: none came
    row: dict[str, Any]
    retry_after_s: float = 0.0


class Door(Protocol):
    """The way to the service: a load balancer, or any node."""

    async def ask(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes, float]:
        """Status, body and ``Retry-After`` (0 if none); NoResponse when none came."""
        ...


@dataclass(slots=True)
class Users:
    door: Door
    history: History
    rng: Randomness
    poll_s: float = 5.0
    seen_running: int = 0
    submitted: Callable[[float, int], None] = lambda latency, status: None
    asked: Callable[[float, int], None] = lambda latency, status: None
    final: dict[str, str] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)

    async def live(
        self, job: dict[str, Any], cancel_after_s: float | None, intended: float | None = None
    ) -> None:
        """One job's user, from its submission to its end.

        ``intended`` is when the job should have been sent: latency counts from then.
        """
        uid, began = job["uid"], self._now() if intended is None else intended
        self.history.add("job", uid=uid, job=job)
        body = orjson.dumps(public(job))
        answer = await self._insist("POST", JOBS, body, PATIENCE_S)
        self.submitted(self._now() - began, answer.status)
        if answer.status in (400, 422):
            self.history.add("refused", uid=uid, status=answer.status)
        if answer.status not in (200, 201):
            self.history.add("gave_up", uid=uid, status=answer.status)
            return
        self.history.add("accepted", uid=uid, status=answer.status, asked=began)
        self.accepted.add(uid)
        if cancel_after_s is not None:
            await asyncio.sleep(cancel_after_s)
            self.history.add("cancel", uid=uid)
            asked = self._now()
            answer = await self._insist(
                "POST", f"{JOBS}/{uid}/cancel", b"{}", CANCEL_PATIENCE_S
            )
            if answer.status == 200:
                self.told(uid, answer.row, asked)
        await self.follow(uid)

    async def follow(self, uid: str) -> None:
        """Poll until it is over, and seldom after that: the answer must stay."""
        while True:
            factor = 1.0 if self.final.get(uid) is None else 6.0
            await asyncio.sleep(self.poll_s * factor * self.rng.uniform(0.8, 1.2))
            await self.poll(uid)

    async def poll(self, uid: str) -> Answer:
        asked = self._now()
        answer = await self.once("GET", f"{JOBS}/{uid}", None, POLL_ANSWER_S)
        self.asked(self._now() - asked, answer.status)
        if answer.status == 200:
            self.told(uid, answer.row, asked)
        elif answer.status == 404:
            self.history.add("missing", uid=uid, asked=asked)
        else:
            self.history.add("silent", uid=uid)
        return answer

    async def stranger(self, every_s: float) -> None:
        """Asks about jobs that nobody has submitted."""
        while True:
            await asyncio.sleep(every_s)
            await self.poll("job-999999999")

    async def cancel(self, uid: str) -> Answer:
        """Asks once; whether its user has asked before is for the caller to note."""
        asked = self._now()
        answer = await self.once("POST", f"{JOBS}/{uid}/cancel", b"{}", ANSWER_S)
        if answer.status == 200:
            self.told(uid, answer.row, asked)
        return answer

    async def again(self, job: dict[str, Any]) -> Answer:
        """A retry that comes late, even after the job is over."""
        asked = self._now()
        answer = await self.once("POST", JOBS, orjson.dumps(public(job)), ANSWER_S)
        if answer.status in (400, 422):
            self.history.add("refused", uid=job["uid"], status=answer.status)
        elif answer.status in (200, 201):
            self.told(job["uid"], answer.row, asked)
        return answer

    def told(self, uid: str, row: dict[str, Any], asked: float) -> None:
        phase = str(row.get("phase"))
        self.history.add("told", uid=uid, phase=phase, asked=asked)
        self.seen_running += phase == "running"
        if phase in FINAL:
            self.final.setdefault(uid, phase)

    async def _insist(
        self, method: str, path: str, body: bytes | None, patience_s: float
    ) -> Answer:
        """Retry as the protocol lets users do, until it is decided or patience is over."""
        ends = self._now() + patience_s
        while True:
            answer = await self.once(method, path, body, ANSWER_S)
            if answer.status in (200, 201, 400, 422) or self._now() >= ends:
                return answer
            pause = max(RETRY_S, min(answer.retry_after_s, MOST_RETRY_S))
            await asyncio.sleep(pause * self.rng.uniform(1.0, 1.2))

    async def once(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> Answer:
        try:
            status, data, retry_after_s = await self.door.ask(method, path, body, timeout_s)
            row = orjson.loads(data or b"{}")
        except (NoResponse, orjson.JSONDecodeError):
            return Answer(0, {})
        return Answer(status, row if isinstance(row, dict) else {}, retry_after_s)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
